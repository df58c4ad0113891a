package comfreyforward

import "sync"

// waitList wakes the requests that wait for a place. The zero value is ready
// to use. It is safe for concurrent use.
type waitList struct {
	mu sync.Mutex
	c  chan struct{}
}

// changed returns a channel that is closed at the next change.
func (l *waitList) changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.c == nil {
		l.c = make(chan struct{})
	}
	return l.c
}

// wake lets every waiting request look again.
func (l *waitList) wake() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.c != nil {
		close(l.c)
		l.c = nil
	}
}
