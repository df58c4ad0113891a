package comfreyforward

import (
	"errors"
	"net"
	"sync"
)

// limitedListener accepts at most a number of connections at a time. Further
// ones wait in the kernel's queue, so that the process never runs out of
// descriptors for replicas.
type limitedListener struct {
	net.Listener
	places chan struct{}
	closed chan struct{}
	once   sync.Once
}

func newLimitedListener(l net.Listener, most int) *limitedListener {
	return &limitedListener{Listener: l, places: make(chan struct{}, most), closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	select {
	case l.places <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.places
		return nil, err
	}
	return &limitedConn{Conn: c, listener: l}, nil
}

// Close implements net.Listener.
func (l *limitedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	if err := l.Listener.Close(); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// limitedConn gives its place back when it is closed.
type limitedConn struct {
	net.Conn
	listener *limitedListener
	once     sync.Once
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.once.Do(func() { <-c.listener.places })
	return c.Conn.Close()
}
