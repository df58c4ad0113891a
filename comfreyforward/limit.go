package comfreyforward

import (
	"errors"
	"net"
	"runtime/debug"
	"sync"
)

const (
	// fileDescriptors are kept for files; the platform reserves as many.
	fileDescriptors = 200
	// callerShare is the part of the other descriptors that callers may take;
	// the rest is for connections to replicas, the store and other gateways.
	callerShare = 0.6
	// memoryShare is the part of the allowed memory that the garbage collector
	// works with; the rest is for stacks, sockets and what it does not count.
	memoryShare = 0.75
)

// callerConnections returns how many connections of callers may be open; zero
// means no bound.
func callerConnections(descriptors int) int {
	return int(callerShare * float64(max(descriptors-fileDescriptors, 0)))
}

// limitMemory keeps the heap within its part of the allowed memory.
func limitMemory(allowed int64) {
	if allowed > 0 {
		debug.SetMemoryLimit(int64(float64(allowed) * memoryShare))
	}
}

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
