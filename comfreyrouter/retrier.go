package comfreyrouter

import (
	"time"

	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// defaultMaxTries is how often a request is sent at most.
const defaultMaxTries = 3

// RetrierConfig holds the parts of a Retrier. The zero value of each field
// selects its default.
type RetrierConfig struct {
	// MaxAttempts is how often a request is sent at most, the first try
	// included; the default is 3.
	MaxAttempts int
	// Backoff spaces the tries.
	Backoff Backoff
	// Budget bounds the retries; nil selects a new default budget.
	Budget *RetryBudget
}

// FailedAttempt is a try that ended without an answer.
type FailedAttempt struct {
	// Attempts is how often the request was sent, this try included.
	Attempts int
	// Idempotent says whether the request may run more than once.
	Idempotent bool
	// ResponseStarted says whether a part of the answer went to the caller.
	ResponseStarted bool
	// Deadline is when the caller stops waiting; zero means never.
	Deadline time.Time
	// Err is how the try ended.
	Err comfreyverdict.Error
	// Random is uniform in [0, 1) and spreads the retries.
	Random float64
}

// RetryDecision says what to do after a failed try. The zero value means to give the
// caller the final answer at once.
type RetryDecision struct {
	// ShouldRetry says whether to send the request once more, to another upstream.
	ShouldRetry bool
	// Delay is how long to wait before that.
	Delay time.Duration
	// Reason is the cause of the retry, or why there is none.
	Reason comfreyverdict.Reason
}

// Retrier decides whether a failed try is repeated. It is safe for concurrent
// use.
type Retrier struct {
	config RetrierConfig
}

// NewRetrier returns a retrier.
func NewRetrier(c RetrierConfig) *Retrier {
	if c.MaxAttempts <= 0 {
		c.MaxAttempts = defaultMaxTries
	}
	if c.Budget == nil {
		c.Budget = NewRetryBudget(RetryBudgetConfig{})
	}
	return &Retrier{config: c}
}

// Budget returns the budget that bounds the retries.
func (r *Retrier) Budget() *RetryBudget {
	return r.config.Budget
}

// IsLastAttempt reports whether a try with this number, from 1, would not be followed
// by another.
func (r *Retrier) IsLastAttempt(try int) bool {
	return try >= r.config.MaxAttempts || r.config.Budget.IsExhausted()
}

// Decide decides at now what follows a failed try. Only a request that is proven
// not to have run, or an idempotent one of which nothing was delivered, is
// sent again. The time that a refusing upstream told is for the final answer:
// it says nothing about the other upstreams.
func (r *Retrier) Decide(now time.Time, a FailedAttempt) RetryDecision {
	safe := a.Err.Verdict == comfreyverdict.VerdictNotRun || a.Idempotent
	if a.ResponseStarted || !safe || !IsTransient(a.Err.Reason) || a.Attempts >= r.config.MaxAttempts {
		return RetryDecision{Reason: a.Err.Reason}
	}
	w := r.config.Backoff.Delay(a.Attempts, 0, a.Random)
	if !a.Deadline.IsZero() && !now.Add(w).Before(a.Deadline) {
		return RetryDecision{Reason: comfreyverdict.ReasonDeadline}
	}
	if !r.config.Budget.TryRetry(now, a.Err.Reason) {
		return RetryDecision{Reason: comfreyverdict.ReasonRetryBudget}
	}
	return RetryDecision{ShouldRetry: true, Delay: w, Reason: a.Err.Reason}
}

// IsTransient reports whether another upstream, or a later try, may do better.
func IsTransient(r comfreyverdict.Reason) bool {
	switch r {
	case comfreyverdict.ReasonAdmissionFull,
		comfreyverdict.ReasonConnectionLost,
		comfreyverdict.ReasonDialFailed,
		comfreyverdict.ReasonDrainLimit,
		comfreyverdict.ReasonEngineFailed,
		comfreyverdict.ReasonLeaving,
		comfreyverdict.ReasonNoConfiguration,
		comfreyverdict.ReasonUnknownGeneration,
		comfreyverdict.ReasonUnknownService:
		return true
	default:
		return false
	}
}
