package comfreyforward

import (
	"maps"
	"net/http"
	"slices"
	"sync"
)

// openRequests are the requests in the handler. It is safe for concurrent use.
type openRequests struct {
	mu        sync.Mutex
	exchanges map[*http.Request]*exchange
}

func (o *openRequests) add(x *exchange) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.exchanges == nil {
		o.exchanges = map[*http.Request]*exchange{}
	}
	o.exchanges[x.r] = x
}

func (o *openRequests) remove(x *exchange) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.exchanges, x.r)
}

// get returns the exchange of a request; nil if the handler has returned.
func (o *openRequests) get(r *http.Request) *exchange {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.exchanges[r]
}

func (o *openRequests) all() []*exchange {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Collect(maps.Values(o.exchanges))
}

// unanswered returns how many requests were read whole and have no response.
func (o *openRequests) unanswered() int {
	n := 0
	for _, x := range o.all() {
		if x.response.Load() == responsePending {
			n++
		}
	}
	return n
}
