package comfreyrouter

import (
	"math"
	"sync"
	"time"

	"comfreyridge.example/comfreyridge/comfreyinvariant"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// invariantRetryBudget says that retries stay within their share of requests.
const invariantRetryBudget comfreyinvariant.Name = "retry-budget"

// Defaults of a RetryConfig.
const (
	defaultRetryRatio = 0.09
	defaultRetryBurst = 2
	// retryUnit is one retry in the integer units of the bucket, which add up
	// without rounding.
	retryUnit = 1_000_000
)

// RetryBudgetConfig holds the bounds of a RetryBudget. The zero value of each field
// selects its default.
type RetryBudgetConfig struct {
	// Ratio is how many retries each request earns, from 0 to 1; the default
	// is 0.09, which leaves room for the burst below a tenth. A negative value
	// allows none.
	Ratio float64
	// Burst is how many retries may be saved up; the default is 2.
	Burst float64
	// Initial is how many retries a new budget holds before any request has
	// earned one, so that the first requests of a gateway can be retried at
	// all; the default is none. More than Burst counts as Burst.
	Initial float64
}

// RetryBudgetCounts are the totals of a RetryBudget.
type RetryBudgetCounts struct {
	// Requests is how many requests earned a share of a retry.
	Requests uint64
	// Retries is how many retries were allowed.
	Retries uint64
	// Refused is how many retries the budget refused.
	Refused uint64
}

// RetryBudget is the token bucket that bounds the retries of one gateway for
// one service, so that a fault multiplies the load by no more than one plus
// the ratio. It is safe for concurrent use.
type RetryBudget struct {
	mu      sync.Mutex
	earned  int64
	limit   int64
	reserve int64
	tokens  int64
	counts  RetryBudgetCounts
	reasons map[comfreyverdict.Reason]uint64
}

// NewRetryBudget returns a budget that holds its reserve.
func NewRetryBudget(c RetryBudgetConfig) *RetryBudget {
	if c.Ratio == 0 {
		c.Ratio = defaultRetryRatio
	}
	if c.Burst <= 0 {
		c.Burst = defaultRetryBurst
	}
	reserve := int64(min(max(c.Initial, 0), c.Burst) * retryUnit)
	return &RetryBudget{
		earned:  int64(math.Round(max(c.Ratio, 0) * retryUnit)),
		limit:   int64(c.Burst * retryUnit),
		reserve: reserve,
		tokens:  reserve,
		reasons: map[comfreyverdict.Reason]uint64{},
	}
}

// RecordRequest records one first attempt at now.
func (b *RetryBudget) RecordRequest(_ time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts.Requests++
	b.tokens = min(b.tokens+b.earned, b.limit)
}

// TryRetry reports whether one retry for the given reason may be sent at now,
// and counts it.
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
	earned := b.counts.Requests*uint64(b.earned) + uint64(b.reserve)
	comfreyinvariant.Check(b.counts.Retries*retryUnit <= earned, invariantRetryBudget, "retries exceed the share of requests")
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
