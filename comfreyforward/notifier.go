package comfreyforward

import "sync"

// changeNotifier wakes the requests in the queues after a change that may have
// freed capacity. The zero value is ready to use. It is safe for concurrent
// use.
type changeNotifier struct {
	mu sync.Mutex
	c  chan struct{}
}

// changed returns a channel that is closed at the next change.
func (n *changeNotifier) changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.c == nil {
		n.c = make(chan struct{})
	}
	return n.c
}

// notify wakes all waiting requests.
func (n *changeNotifier) notify() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.c != nil {
		close(n.c)
		n.c = nil
	}
}
