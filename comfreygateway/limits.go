package comfreygateway

import (
	"sync"
	"time"

	"comfreyridge.example/comfreyridge/comfreyconfig"
	"comfreyridge.example/comfreyridge/comfreyrouter"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// customerLimits bounds the concurrent requests of each customer at this
// gateway. It is safe for concurrent use.
type customerLimits struct {
	mu   sync.Mutex
	open map[string]int
}

func newCustomerLimits() *customerLimits {
	return &customerLimits{open: map[string]int{}}
}

// customerLimitRetry is when a customer over its limit should come back.
const customerLimitRetry = time.Second

// acquire takes one of the customer's places. The error is a
// comfreyverdict.Error with verdict not-run.
func (l *customerLimits) acquire(c comfreyconfig.Customer) (release func(), err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.ConcurrentStreams > 0 && l.open[c.Name] >= c.ConcurrentStreams {
		return nil, comfreyverdict.NotRun(comfreyverdict.ReasonCustomerLimit, "the customer has too many open requests").WithRetryAfter(customerLimitRetry)
	}
	l.open[c.Name]++
	return func() { l.release(c.Name) }, nil
}

func (l *customerLimits) release(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[name]--
	if l.open[name] == 0 {
		delete(l.open, name)
	}
}

// retryReserve is how many retries a new gateway may send for a service before
// its requests have earned any.
const retryReserve = 3

// retryBudgets holds one retry budget a service. It is safe for concurrent
// use.
type retryBudgets struct {
	mu        sync.Mutex
	byService map[string]*comfreyrouter.RetryBudget
}

func newRetryBudgets() *retryBudgets {
	return &retryBudgets{byService: map[string]*comfreyrouter.RetryBudget{}}
}

// of returns the budget of a service. The ratio counts when the budget is made.
func (b *retryBudgets) of(service string, ratio float64) *comfreyrouter.RetryBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.byService[service]
	if !ok {
		r = comfreyrouter.NewRetryBudget(comfreyrouter.RetryConfig{Ratio: ratio, Reserve: retryReserve})
		b.byService[service] = r
	}
	return r
}
