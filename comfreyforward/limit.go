package comfreyforward

import (
	"errors"
	"fmt"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
)

const (
	// reservedDescriptors are set aside for files; the platform reserves as
	// many. A limit that leaves less than minDescriptorShare of the descriptors
	// reserves fewer.
	reservedDescriptors = 200
	minDescriptorShare  = 0.25
	// callerDescriptorShare is the part of the other descriptors that
	// connections of callers may use; the rest is for connections to replicas,
	// the store and other gateways.
	callerDescriptorShare = 0.6
	// heapShare is the part of the allowed memory that is set as the memory
	// limit of the Go runtime; the rest is for stacks, sockets and memory that
	// the runtime does not count.
	heapShare = 0.75
)

// maxCallerConnections returns how many connections of callers may be open for
// a limit of descriptors; zero means no bound.
func maxCallerConnections(descriptors int) int {
	if descriptors <= 0 {
		return 0
	}
	usable := max(float64(descriptors-reservedDescriptors), minDescriptorShare*float64(descriptors))
	return max(int(callerDescriptorShare*usable), 1)
}

// setMemoryLimit derives the memory limit of the Go runtime from the allowed
// memory in bytes; zero means no limit.
func setMemoryLimit(allowed int64) {
	if allowed > 0 {
		debug.SetMemoryLimit(int64(float64(allowed) * heapShare))
	}
}

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
		return nil, fmt.Errorf("comfreyforward: expected a connection of the system, got %T", c.Conn)
	}
	return k.SyscallConn()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.once.Do(func() { <-c.listener.slots })
	return c.Conn.Close()
}
