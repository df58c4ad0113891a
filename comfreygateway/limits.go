package comfreygateway

import (
	"sync"
	"time"

	"comfreyridge.example/comfreyridge/comfreyconfig"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// customerLimits limits the concurrent requests of each customer at this
// gateway. It is safe for concurrent use.
type customerLimits struct {
	mu           sync.Mutex
	openRequests map[string]int
}

func newCustomerLimits() *customerLimits {
	return &customerLimits{openRequests: map[string]int{}}
}

// customerLimitRetryAfter is the retry-after of a refusal for the customer
// limit.
const customerLimitRetryAfter = time.Second

// acquire counts a request against the customer's limit until release is
// called. The error is a comfreyverdict.Error with verdict not-run.
func (l *customerLimits) acquire(c comfreyconfig.Customer) (release func(), err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.ConcurrentStreams > 0 && l.openRequests[c.Name] >= c.ConcurrentStreams {
		return nil, comfreyverdict.NotRun(comfreyverdict.ReasonCustomerLimit, "the customer has too many open requests").WithRetryAfter(customerLimitRetryAfter)
	}
	l.openRequests[c.Name]++
	return func() { l.release(c.Name) }, nil
}

func (l *customerLimits) release(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.openRequests[name]--
	if l.openRequests[name] == 0 {
		delete(l.openRequests, name)
	}
}
