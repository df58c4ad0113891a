package comfreygateway

import (
	"sync"
	"time"

	"comfreyridge.example/comfreyridge/comfreyconfig"
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
