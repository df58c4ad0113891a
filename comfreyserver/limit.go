package comfreyserver

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
)

// limitedListener bounds the number of open connections. Further ones wait in
// the kernel's accept queue, so that the process keeps descriptors for
// replicas.
type limitedListener struct {
	net.Listener
	slots  chan struct{}
	closed chan struct{}
	once   sync.Once
	// isFull is true while the limit allows no further connection, and wasFull if that
	// was so since the last call of hasBeenFull.
	isFull, wasFull atomic.Bool
}

func newLimitedListener(l net.Listener, limit int) *limitedListener {
	return &limitedListener{Listener: l, slots: make(chan struct{}, limit), closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	if len(l.slots) == cap(l.slots) {
		l.isFull.Store(true)
		l.wasFull.Store(true)
	}
	select {
	case l.slots <- struct{}{}:
		l.isFull.Store(false)
	case <-l.closed:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{Conn: c, listener: l}, nil
}

// hasBeenFull reports whether the limit allowed no further connection at any time since
// its last call.
func (l *limitedListener) hasBeenFull() bool {
	wasFull := l.wasFull.Swap(false)
	return wasFull || l.isFull.Load()
}

// Close implements net.Listener.
func (l *limitedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	if err := l.Listener.Close(); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// limitedConn frees its slot at the listener when it is closed.
type limitedConn struct {
	net.Conn
	listener *limitedListener
	once     sync.Once
}

// SyscallConn implements syscall.Conn.
func (c *limitedConn) SyscallConn() (syscall.RawConn, error) {
	k, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, fmt.Errorf("comfreyserver: expected a connection of the system, got %T", c.Conn)
	}
	return k.SyscallConn()
}

// CloseWrite closes the side of the connection that the server writes to.
func (c *limitedConn) CloseWrite() error {
	return closeWrite(c.Conn)
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.once.Do(func() { <-c.listener.slots })
	return c.Conn.Close()
}
