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
	// MaxTries is how often a request is sent at most, the first try
	// included; the default is 3.
	MaxTries int
	// Backoff spaces the tries.
	Backoff Backoff
	// Budget bounds the retries; nil selects a new default budget.
	Budget *RetryBudget
}

// Attempt is a try that ended without an answer.
type Attempt struct {
	// Tries is how often the request was sent, this try included.
	Tries int
	// Idempotent says whether the request may run more than once.
	Idempotent bool
	// Delivered says whether a part of the answer went to the caller.
	Delivered bool
	// Deadline is when the caller stops waiting; zero means never.
	Deadline time.Time
	// Err is how the try ended.
	Err comfreyverdict.Error
	// Random is uniform in [0, 1) and spreads the retries.
	Random float64
}

// Retry says what to do after a failed try. The zero value means to give the
// caller the final answer at once.
type Retry struct {
	// Again says whether to send the request once more, to another upstream.
	Again bool
	// After is how long to wait before that.
	After time.Duration
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
	if c.MaxTries <= 0 {
		c.MaxTries = defaultMaxTries
	}
	if c.Budget == nil {
		c.Budget = NewRetryBudget(RetryConfig{})
	}
	return &Retrier{config: c}
}

// Budget returns the budget that bounds the retries.
func (r *Retrier) Budget() *RetryBudget {
	return r.config.Budget
}

// Next decides at now what follows a failed try. Only a request that is proven
// not to have run, or an idempotent one of which nothing was delivered, is
// sent again. The time that a refusing upstream told is for the final answer:
// it says nothing about the other upstreams.
func (r *Retrier) Next(now time.Time, a Attempt) Retry {
	safe := a.Err.Verdict == comfreyverdict.VerdictNotRun || a.Idempotent
	if a.Delivered || !safe || !transient(a.Err.Reason) || a.Tries >= r.config.MaxTries {
		return Retry{Reason: a.Err.Reason}
	}
	w := r.config.Backoff.After(a.Tries, 0, a.Random)
	if !a.Deadline.IsZero() && !now.Add(w).Before(a.Deadline) {
		return Retry{Reason: comfreyverdict.ReasonDeadline}
	}
	if !r.config.Budget.TryRetry(now, a.Err.Reason) {
		return Retry{Reason: comfreyverdict.ReasonRetryBudget}
	}
	return Retry{Again: true, After: w, Reason: a.Err.Reason}
}

// transient reports whether another upstream may do better.
func transient(r comfreyverdict.Reason) bool {
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
