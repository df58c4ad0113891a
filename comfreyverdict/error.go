package comfreyverdict

import (
	"errors"
	"fmt"
	"time"
)

// Error is a refusal or failure of a request, with its verdict and reason. The
// zero value means that the request may have run, without a reason. Errors are
// immutable values.
type Error struct {
	// Verdict says whether the request may have run.
	Verdict Verdict
	// Reason is the cause, one of the Reason constants.
	Reason Reason
	// RetryAfter is the estimated time from now until a new request can be
	// served. Zero means that a retry is not expected to help or that there is no
	// estimate.
	RetryAfter time.Duration
	// Detail is a message for people. It never contains keys or request bodies.
	Detail string
	// Cause is the wrapped error, for errors.Is; nil if there is none. It is not
	// sent to other processes.
	Cause error
}

// NotRun returns an error for a request that is proven not to have run and not
// to run later.
func NotRun(r Reason, detail string) Error {
	return Error{Verdict: VerdictNotRun, Reason: r, Detail: detail}
}

// MayHaveRun returns an error for a request of which it is unknown whether it
// ran.
func MayHaveRun(r Reason, detail string) Error {
	return Error{Verdict: VerdictMayHaveRun, Reason: r, Detail: detail}
}

// Ran returns an error for a request that ran, completely or in part, and whose
// complete response cannot be delivered.
func Ran(r Reason, detail string) Error {
	return Error{Verdict: VerdictRan, Reason: r, Detail: detail}
}

// WithRetryAfter returns a copy of e with the given retry-after time.
func (e Error) WithRetryAfter(d time.Duration) Error {
	e.RetryAfter = d
	return e
}

// WithCause returns a copy of e that wraps err.
func (e Error) WithCause(err error) Error {
	e.Cause = err
	return e
}

// Unwrap returns the cause.
func (e Error) Unwrap() error {
	return e.Cause
}

// Error returns the verdict, the reason and the detail, if there is one.
func (e Error) Error() string {
	if e.Detail == "" {
		return fmt.Sprintf("comfreyverdict: %s: %s", e.Verdict, e.Reason)
	}
	return fmt.Sprintf("comfreyverdict: %s: %s: %s", e.Verdict, e.Reason, e.Detail)
}

// From returns the Error in the chain of err. If there is none, it returns an
// Error with VerdictMayHaveRun, ReasonInternal and the text of err.
func From(err error) Error {
	var e Error
	if errors.As(err, &e) {
		return e
	}
	return MayHaveRun(ReasonInternal, err.Error())
}
