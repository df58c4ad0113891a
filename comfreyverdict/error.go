package comfreyverdict

import (
	"errors"
	"fmt"
	"time"
)

// Error is a typed refusal or failure. The zero value means that the request
// may have run, for no stated reason. Errors are immutable values.
type Error struct {
	// Verdict says whether the request may have run.
	Verdict Verdict
	// Reason is the closed-set cause.
	Reason Reason
	// RetryAfter is when a new request is expected to be served, counted from
	// now. Zero means that repeating the request is not expected to help or
	// that no estimate exists.
	RetryAfter time.Duration
	// Detail is for people. It never holds keys or request bodies.
	Detail string
	// Cause is the error of a library, for errors.Is; nil if there is none. It
	// does not travel between processes.
	Cause error
}

// NotRun returns an error that proves that the request did not run.
func NotRun(r Reason, detail string) Error {
	return Error{Verdict: VerdictNotRun, Reason: r, Detail: detail}
}

// MayHaveRun returns an error that leaves open whether the request ran.
func MayHaveRun(r Reason, detail string) Error {
	return Error{Verdict: VerdictMayHaveRun, Reason: r, Detail: detail}
}

// Ran returns an error for a request that began to run and did not complete.
func Ran(r Reason, detail string) Error {
	return Error{Verdict: VerdictRan, Reason: r, Detail: detail}
}

// WithRetryAfter returns a copy of e that tells the caller when to come back.
func (e Error) WithRetryAfter(d time.Duration) Error {
	e.RetryAfter = d
	return e
}

// WithCause returns a copy of e that wraps an error of a library.
func (e Error) WithCause(err error) Error {
	e.Cause = err
	return e
}

// Unwrap returns the cause.
func (e Error) Unwrap() error {
	return e.Cause
}

// Error implements the error interface.
func (e Error) Error() string {
	if e.Detail == "" {
		return fmt.Sprintf("comfreyverdict: %s: %s", e.Verdict, e.Reason)
	}
	return fmt.Sprintf("comfreyverdict: %s: %s: %s", e.Verdict, e.Reason, e.Detail)
}

// From returns the Error in the chain of err. An err that holds none becomes
// an internal failure that may have run.
func From(err error) Error {
	var e Error
	if errors.As(err, &e) {
		return e
	}
	return MayHaveRun(ReasonInternal, err.Error())
}
