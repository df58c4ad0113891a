package comfreyserver

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// acceptQuiet is how long no connection must have arrived before a listener stops.
	acceptQuiet = time.Millisecond
	// handshakeQuiet is the same for a listener that drops new connections. Handshakes
	// that have begun end within it unless the round trip is longer.
	handshakeQuiet = 100 * time.Millisecond
	// maxStopDelay bounds how long a listener takes to stop while connections arrive.
	maxStopDelay = 300 * time.Millisecond
)

// stoppableListener is a listener that accepts what is in its queue before it closes.
// The kernel resets the connections in the queue of a listener that is closed, although
// their callers may have sent requests.
type stoppableListener struct {
	*net.TCPListener
	isStopping atomic.Bool
	// quiet is how long no connection must have arrived before the listener stops.
	quiet time.Duration
	// dropsNew is whether the listener drops new connections.
	dropsNew bool
	// accept accepts a connection and closeSocket closes the socket; TCPListener.Accept
	// and TCPListener.Close by default.
	accept      func() (net.Conn, error)
	closeSocket func() error
	// stopped is closed when the listener accepts no more, and closed when it is
	// closed.
	stopped, closed         chan struct{}
	stoppedOnce, closedOnce sync.Once
}

// Listen opens a listener on TCP. It is not one of Multipath TCP, which net.Listen opens
// where it can, because a planned stop attaches a filter, which such a socket does not take.
func Listen(address string) (net.Listener, error) {
	var c net.ListenConfig
	c.SetMultipathTCP(false)
	return c.Listen(context.Background(), "tcp", address)
}

func newStoppableListener(l *net.TCPListener) *stoppableListener {
	return &stoppableListener{
		TCPListener: l, quiet: acceptQuiet, accept: l.Accept, closeSocket: l.Close,
		stopped: make(chan struct{}), closed: make(chan struct{}),
	}
}

// Accept implements net.Listener. Once the listener has stopped, it blocks until Close.
func (l *stoppableListener) Accept() (net.Conn, error) {
	if l.isStopping.Load() {
		_ = l.SetDeadline(time.Now().Add(l.quiet)) // It fails only if the listener is closed.
	}
	c, err := l.accept()
	for errors.Is(err, os.ErrDeadlineExceeded) && l.hasPending() {
		// The deadline can pass before the first look at the queue if the host is slow.
		_ = l.SetDeadline(time.Now().Add(maxStopDelay))
		c, err = l.accept()
	}
	if err == nil {
		return c, nil
	}
	isStopped := errors.Is(err, os.ErrDeadlineExceeded)
	if isStopped {
		err = errors.Join(net.ErrClosed, l.closeSocket())
	}
	if errors.Is(err, net.ErrClosed) { // Else the server accepts again, as when it has no descriptors.
		l.stoppedOnce.Do(func() { close(l.stopped) })
	}
	if isStopped {
		<-l.closed // The server takes an earlier error for a failure.
	}
	return nil, err
}

// DropNew makes the listener drop the first packet of each new connection. Its caller has
// sent no request, and connects again or finds the port closed. Without it, connections
// arrive until the socket is closed, which resets the latest. It must be called before Stop.
func (l *stoppableListener) DropNew() error {
	if err := dropSYNs(l.TCPListener); err != nil {
		return err
	}
	l.dropsNew, l.quiet = true, handshakeQuiet
	return nil
}

// Stop accepts what is in the queue and closes the socket. It returns when that is done,
// or after maxStopDelay, or when ctx ends. It goes on while connections wait in the queue
// and either no new ones join them or makeRoom reports that there was no place for them.
func (l *stoppableListener) Stop(ctx context.Context, makeRoom func() bool) {
	l.isStopping.Store(true)
	_ = l.SetDeadline(time.Now().Add(l.quiet)) // It fails only if the listener is closed.
	for {
		t := time.NewTimer(maxStopDelay)
		select {
		case <-l.stopped:
		case <-t.C:
			if (makeRoom() || l.dropsNew) && l.hasPending() {
				continue
			}
		case <-ctx.Done():
		}
		t.Stop()
		return
	}
}

// hasPending reports whether a connection is in the queue.
func (l *stoppableListener) hasPending() bool {
	return isReadable(l.TCPListener)
}

// Close implements net.Listener.
func (l *stoppableListener) Close() error {
	l.closedOnce.Do(func() { close(l.closed) })
	if err := l.closeSocket(); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}
