package comfreyrouter

import (
	"math"
	"sync"
	"time"

	"comfreyridge.example/comfreyridge/comfreyinvariant"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// invariantRetryBudget is the invariant that retries stay within their share of
// requests.
const invariantRetryBudget comfreyinvariant.Name = "retry-budget"

// Defaults of a RetryBudgetConfig.
const (
	defaultRetryRatio = 0.09
	defaultRetryBurst = 2
	// retryUnit is one retry in the units of the bucket, which are integers so
	// that sums have no rounding error.
	retryUnit = 1_000_000
)

// RetryBudgetConfig configures a RetryBudget. The zero value of each field
// selects its default.
type RetryBudgetConfig struct {
	// Ratio is the number of retries that each request adds to the budget, from 0
	// to 1; the default is 0.09, which leaves room for the burst below one retry
	// per ten requests. A negative value adds none.
	Ratio float64
	// Burst is the size of the token bucket in retries; the default is 2.
	Burst float64
	// Initial is the number of retries in a new budget, so that the first requests
	// of a gateway can be retried at all; the default is none. More than Burst
	// counts as Burst.
	Initial float64
}

// RetryBudgetCounts holds the totals of a RetryBudget.
type RetryBudgetCounts struct {
	// Requests is the number of first attempts.
	Requests uint64
	// Retries is the number of allowed retries.
	Retries uint64
	// Refused is the number of refused retries.
	Refused uint64
}

// RetryBudget is the token bucket that bounds the retries of one gateway for
// one service, so that a fault multiplies the load by no more than one plus the
// ratio. It is safe for concurrent use.
type RetryBudget struct {
	mu sync.Mutex
	// perRequest, burst, initial and tokens are in retryUnits.
	perRequest int64
	burst      int64
	initial    int64
	tokens     int64
	counts     RetryBudgetCounts
	reasons    map[comfreyverdict.Reason]uint64
}

// NewRetryBudget returns a budget that holds its initial retries.
func NewRetryBudget(c RetryBudgetConfig) *RetryBudget {
	if c.Ratio == 0 {
		c.Ratio = defaultRetryRatio
	}
	if c.Burst <= 0 {
		c.Burst = defaultRetryBurst
	}
	initial := int64(min(max(c.Initial, 0), c.Burst) * retryUnit)
	return &RetryBudget{
		perRequest: int64(math.Round(max(c.Ratio, 0) * retryUnit)),
		burst:      int64(c.Burst * retryUnit),
		initial:    initial,
		tokens:     initial,
		reasons:    map[comfreyverdict.Reason]uint64{},
	}
}

// SetBurst changes the size of the token bucket, in retries. Retries beyond it
// are lost.
func (b *RetryBudget) SetBurst(retries float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.burst = int64(retries * retryUnit)
	b.tokens = min(b.tokens, b.burst)
}

// RecordRequest records the first attempt of a request.
func (b *RetryBudget) RecordRequest(_ time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts.Requests++
	b.tokens = min(b.tokens+b.perRequest, b.burst)
}

// TryRetry reports whether one retry for the given reason may be sent, and
// takes it from the budget.
func (b *RetryBudget) TryRetry(_ time.Time, reason comfreyverdict.Reason) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < retryUnit {
		b.counts.Refused++
		return false
	}
	b.tokens -= retryUnit
	b.counts.Retries++
	b.reasons[reason]++
	earned := b.counts.Requests*uint64(b.perRequest) + uint64(b.initial)
	comfreyinvariant.Check(b.counts.Retries*retryUnit <= earned, invariantRetryBudget, "retries exceed their share of the requests")
	return true
}

// IsExhausted reports whether no retry is allowed at present.
func (b *RetryBudget) IsExhausted() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens < retryUnit
}

// Counts returns the totals so far.
func (b *RetryBudget) Counts() RetryBudgetCounts {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.counts
}

// RetriesFor returns how many retries were allowed for one reason.
func (b *RetryBudget) RetriesFor(reason comfreyverdict.Reason) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reasons[reason]
}
