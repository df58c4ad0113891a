package comfreyforward

import (
	"net"
	"testing"
	"time"
)

// TestSlowHostAcceptsQueueOfStoppedListener lets the time in which no connection must
// arrive pass before the listener looks at its queue, as on a host with a small share of a
// core. It guards against connections that are reset although their callers have sent
// requests.
func TestSlowHostAcceptsQueueOfStoppedListener(t *testing.T) {
	const callers = 8
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := newStoppableListener(inner.(*net.TCPListener))
	l.quiet = -time.Second
	l.isStopping.Store(true)
	for range callers {
		c, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
	}
	accepted := make(chan error, callers+1)
	go func() {
		for err := error(nil); err == nil; {
			_, err = l.Accept()
			accepted <- err
		}
	}()
	for i := range callers {
		select {
		case err := <-accepted:
			if err != nil {
				t.Fatalf("accepted %d of %d connections, then got %v", i, callers, err)
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("accepted %d of %d connections", i, callers)
		}
	}
	if err := l.Close(); err != nil {
		t.Error(err)
	}
	if err := <-accepted; err == nil {
		t.Error("a closed listener accepted a connection")
	}
}
