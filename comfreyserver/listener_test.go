package comfreyserver

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"
)

// newTestListener returns a listener on loopback.
func newTestListener(t *testing.T) *stoppableListener {
	t.Helper()
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return newStoppableListener(l.(*net.TCPListener))
}

// TestSlowHostAcceptsQueueOfStoppedListener lets the time in which no connection must
// arrive pass before the listener looks at its queue, as on a host with a small share of a
// core. It guards against connections that are reset although their callers have sent
// requests.
func TestSlowHostAcceptsQueueOfStoppedListener(t *testing.T) {
	const callers = 8
	l := newTestListener(t)
	l.quiet = -time.Second
	l.isStopping.Store(true)
	for range callers {
		c, err := net.Dial("tcp", l.Addr().String())
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

// TestConnectionIsNotResetAsListenerCloses connects between the listener's last look at its
// queue and its close. It guards against callers who are connected, send a request, and are
// reset.
func TestConnectionIsNotResetAsListenerCloses(t *testing.T) {
	l := newTestListener(t)
	if err := l.DropNew(); err != nil {
		t.Fatal(err)
	}
	dialed := make(chan error, 1)
	l.closeSocket = func() error {
		c, err := net.DialTimeout("tcp", l.Addr().String(), 200*time.Millisecond)
		if err == nil {
			_ = c.Close()
		}
		select {
		case dialed <- err:
		default:
		}
		return l.TCPListener.Close()
	}
	var g sync.WaitGroup
	g.Go(func() {
		if c, err := l.Accept(); err == nil {
			t.Errorf("expected no connection, got one from %v", c.RemoteAddr())
		}
	})
	l.Stop(context.Background(), func() bool { return false })
	_ = l.Close()
	g.Wait()
	if err := <-dialed; err == nil {
		t.Error("a caller was connected to a listener that accepts no more")
	}
}

// TestStoppedListenerAcceptsConnectedCallers stops a listener while a caller is in its
// queue.
func TestStoppedListenerAcceptsConnectedCallers(t *testing.T) {
	l := newTestListener(t)
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := c.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if err := l.DropNew(); err != nil {
		t.Fatal(err)
	}
	var g sync.WaitGroup
	g.Go(func() { l.Stop(context.Background(), func() bool { return false }) })
	for !l.isStopping.Load() {
		time.Sleep(time.Millisecond)
	}
	k, err := l.Accept()
	if err != nil {
		t.Fatalf("a connection in the queue: got %v", err)
	}
	if _, err := k.Read(make([]byte, 1)); err != nil {
		t.Errorf("reading on an accepted connection: got %v", err)
	}
	g.Go(func() {
		if _, err := l.Accept(); err == nil {
			t.Error("a listener that has stopped accepted a connection")
		}
	})
	<-l.stopped
	_ = l.Close()
	g.Wait()
}

// TestFailedAcceptDoesNotEndStop lets a listener run out of descriptors before it is
// stopped. It guards against a stop that takes the listener for closed, and resets the
// connections in its queue.
func TestFailedAcceptDoesNotEndStop(t *testing.T) {
	l := newTestListener(t)
	accept := l.accept
	l.accept = func() (net.Conn, error) { return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE} }
	if _, err := l.Accept(); !errors.Is(err, syscall.EMFILE) {
		t.Fatalf("got %v", err)
	}
	select {
	case <-l.stopped:
		t.Error("a listener that has no descriptors counts as stopped")
	default:
	}
	l.accept = accept
	_ = l.Close()
}
