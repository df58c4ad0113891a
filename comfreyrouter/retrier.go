package comfreyrouter

import (
	"time"

	"comfreyridge.example/comfreyridge/comfreyverdict"
)

const defaultMaxAttempts = 3

// RetrierConfig configures a Retrier. The zero value of each field selects its
// default.
type RetrierConfig struct {
	// MaxAttempts bounds how often a request is sent, the first attempt included;
	// the default is 3.
	MaxAttempts int
	// Backoff is the delay between attempts.
	Backoff Backoff
	// Budget bounds the retries; nil selects a new default budget.
	Budget *RetryBudget
}

// FailedAttempt describes an attempt that ended without a complete response,
// and its request.
type FailedAttempt struct {
	// Attempts is how often the request was sent, this attempt included.
	Attempts int
	// Idempotent says whether the request may run more than once.
	Idempotent bool
	// ResponseStarted says whether a part of the response was sent to the caller.
	ResponseStarted bool
	// Deadline is when the request times out; zero means never.
	Deadline time.Time
	// Err is the error that ended the attempt.
	Err comfreyverdict.Error
	// Random is uniform in [0, 1). It is the jitter of the delay.
	Random float64
}

// RetryDecision says what to do after a failed attempt. The zero value means to
// send the final response to the caller at once.
type RetryDecision struct {
	// ShouldRetry says whether to send the request again, to another upstream.
	ShouldRetry bool
	// Delay is how long to wait before the retry.
	Delay time.Duration
	// Reason is the cause of the retry, or why there is none.
	Reason comfreyverdict.Reason
}

// Retrier decides whether a request is sent again after a failed attempt. It is
// safe for concurrent use.
type Retrier struct {
	config RetrierConfig
}

// NewRetrier returns a retrier with the configuration c.
func NewRetrier(c RetrierConfig) *Retrier {
	if c.MaxAttempts <= 0 {
		c.MaxAttempts = defaultMaxAttempts
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

// IsLastAttempt reports whether the attempt with this number, from 1, would not
// be followed by another.
func (r *Retrier) IsLastAttempt(attempt int) bool {
	return attempt >= r.config.MaxAttempts || r.config.Budget.IsExhausted()
}

// Decide returns what to do at now after a failed attempt. A request is sent
// again only if no part of a response was sent to the caller, and if the
// request is proven not to have run or is idempotent. The retry-after of a
// refusing upstream applies to the final response only: it says nothing about
// the other upstreams.
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

// IsTransient reports whether a request that failed for this reason may succeed
// at another upstream or in a later attempt.
func IsTransient(r comfreyverdict.Reason) bool {
	switch r {
	case comfreyverdict.ReasonAdmissionFull,
		comfreyverdict.ReasonConnectionLost,
		comfreyverdict.ReasonDialFailed,
		comfreyverdict.ReasonDrainLimit,
		comfreyverdict.ReasonEngineFailed,
		comfreyverdict.ReasonLeaving,
		comfreyverdict.ReasonMalformedAnswer,
		comfreyverdict.ReasonNoConfiguration,
		comfreyverdict.ReasonUnknownGeneration,
		comfreyverdict.ReasonUnknownService:
		return true
	default:
		return false
	}
}
