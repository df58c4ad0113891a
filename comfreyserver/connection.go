package comfreyserver

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// arrivedTimeout is how long reading goes on after a timeout that has passed although bytes
// had arrived: the process was too late to read them.
const arrivedTimeout = time.Second

// The reasons why a connection has ended whose request the handler did not get.
const (
	// CauseCaller means that the caller has closed the connection.
	CauseCaller = "caller"
	// CauseTimeout means that a timeout has passed.
	CauseTimeout = "timeout"
	// CauseStop means that the server was closed.
	CauseStop = "stop"
	// CauseServer means that the server has ended the connection by itself.
	CauseServer = "server"
)

// Unanswered describes a request that was read, at least in part, and did not reach the
// handler.
type Unanswered struct {
	// Cause is one of the causes above.
	Cause string
	// Bytes is how many bytes were read, and After how long ago the first one.
	Bytes int
	After time.Duration
	// Age is how long the connection was open.
	Age time.Duration
	// WasUsed means that the connection had a request before.
	WasUsed bool
}

// connection is the connection of a caller. It tells whether a part of a request was read
// or has arrived, which http.Server does not.
type connection struct {
	net.Conn
	server     *Server
	acceptedAt time.Time

	mu    sync.Mutex
	state http.ConnState
	// read counts the bytes that were read since the connection was last idle, and
	// firstReadAt is when the first of them were read.
	read        int
	firstReadAt time.Time
	// handled is the request that the handler got; nil if there is none. wasUsed means that
	// it got one before.
	handled *http.Request
	wasUsed bool
	// deadline is the read deadline that the server has set.
	deadline time.Time
	// bufferSize is the size of the server's read buffer, and isWaiting is true while the
	// server reads, has no part of a request in that buffer, and none is in the handler.
	bufferSize int
	isWaiting  bool
	// endsWhenWaiting means that the connection is ended once the server waits.
	endsWhenWaiting bool
	// hasNext means that the first byte of the next request was read while the handler had
	// a request.
	hasNext bool
	// isEnding means that the deadline in force is in the past, so that the server
	// closes the connection unless bytes have arrived.
	isEnding bool
	// hasExtended means that the timeout of the request has been extended.
	hasExtended bool
	cause       string
	closeOnce   sync.Once
	// hasWritten means that bytes were written since the connection was last idle.
	hasWritten atomic.Bool
}

// Read implements net.Conn. A deadline does not end it if bytes have arrived before the
// process looked.
func (c *connection) Read(b []byte) (int, error) {
	c.beginRead(len(b))
	n, err := c.Conn.Read(b)
	for n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.extendForArrived() {
		n, err = c.Conn.Read(b)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isWaiting = false
	if n > 0 {
		c.observeRead(n, len(b))
	}
	switch {
	case err == nil || c.cause != "":
	case errors.Is(err, os.ErrDeadlineExceeded):
		if !c.isAbort() {
			c.cause = CauseTimeout
		}
	case !errors.Is(err, net.ErrClosed):
		c.cause = CauseCaller
	}
	return n, err
}

// beginRead records that the server reads up to size bytes, and ends the connection if that
// is due and the server waits for a request. http.Server fills the rest of a buffer, which is
// smaller than the first time if the buffer has a part of the next request already.
func (c *connection) beginRead(size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != http.StateNew && c.state != http.StateIdle {
		return // The body of a request may be read past the buffer.
	}
	c.bufferSize = max(c.bufferSize, size)
	if c.read == 0 && size < c.bufferSize {
		c.read, c.firstReadAt = c.bufferSize-size, time.Now()
	}
	c.isWaiting = c.read == 0
	if c.isWaiting && c.endsWhenWaiting {
		c.end()
	}
}

// observeRead records that n bytes were read, of size at the most. The mutex must be held.
func (c *connection) observeRead(n, size int) {
	if c.read == 0 {
		c.firstReadAt = time.Now()
	}
	c.read += n
	if c.handled != nil && size == 1 {
		c.hasNext = true // http.Server reads one byte beyond the body to notice a caller that leaves.
	}
	if c.isEnding {
		c.isEnding = false
		_ = c.Conn.SetReadDeadline(c.deadline)
	}
}

// isAbort reports whether the deadline is one that the server has set in the past to
// interrupt a read. The mutex must be held.
func (c *connection) isAbort() bool {
	return !c.deadline.IsZero() && c.deadline.Before(c.acceptedAt)
}

// extendForArrived extends a read deadline that has passed if bytes have arrived, and reports
// whether it did. A timeout of the server is extended once a request.
//
// It is built for this load: a process with a small share of a core, or one that was
// suspended, wakes up for a timeout before it has read what arrived meanwhile.
func (c *connection) extendForArrived() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hasExtended && !c.isEnding || c.isAbort() || !c.hasArrived() {
		return false
	}
	if !c.isEnding {
		c.hasExtended = true
	}
	c.isEnding = false
	return c.Conn.SetReadDeadline(time.Now().Add(arrivedTimeout)) == nil
}

// SetReadDeadline implements net.Conn.
func (c *connection) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return c.Conn.SetReadDeadline(t)
}

// Write implements net.Conn.
func (c *connection) Write(b []byte) (int, error) {
	c.hasWritten.Store(true)
	return c.Conn.Write(b)
}

// CloseWrite closes the side of the connection that the server writes to. http.Server uses
// it after a response to a request that it has not read to its end.
func (c *connection) CloseWrite() error {
	return closeWrite(c.Conn)
}

func closeWrite(c net.Conn) error {
	if k, ok := c.(interface{ CloseWrite() error }); ok {
		return k.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *connection) Close() error {
	err := c.Conn.Close()
	c.closeOnce.Do(func() {
		c.server.remove(c)
		c.reportUnanswered()
	})
	return err
}

func (c *connection) reportUnanswered() {
	c.mu.Lock()
	u := Unanswered{Cause: c.cause, Bytes: c.read, After: time.Since(c.firstReadAt), Age: time.Since(c.acceptedAt), WasUsed: c.wasUsed}
	isHandled := c.handled != nil
	c.mu.Unlock()
	if u.Cause == "" {
		u.Cause = CauseServer
		isHandled = isHandled || c.hasWritten.Load() // The server has refused the request.
	}
	if f := c.server.config.OnUnanswered; f != nil && u.Bytes > 0 && !isHandled {
		f(u)
	}
}

// setState records the state in the view of the server.
func (c *connection) setState(s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.endsWhenWaiting = s, false
	if s != http.StateIdle {
		return
	}
	c.server.notify()
	c.read, c.handled, c.wasUsed, c.hasExtended = 0, nil, true, false
	c.hasWritten.Store(false)
	if c.hasNext {
		c.read, c.firstReadAt, c.hasNext = 1, time.Now(), false
	}
}

// setHandled records that the handler got the request.
func (c *connection) setHandled(r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handled = r
}

// endIfIdle ends the connection if it has had a request and waits for the next one.
func (c *connection) endIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == http.StateIdle {
		c.end()
	}
}

// endIfUnused is endIfIdle, and also ends connections that were accepted before a time and
// have had no request.
func (c *connection) endIfUnused(before time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == http.StateIdle || c.state == http.StateNew && !c.acceptedAt.After(before) {
		c.end()
	}
}

// end makes the server close the connection if it waits for a request and nothing has
// arrived, or does so once it waits. It does not close the connection itself, since only the
// goroutine that reads knows what it has read. Until that waits, a request may be in its
// buffer. The mutex must be held.
func (c *connection) end() {
	c.endsWhenWaiting = !c.isWaiting
	if c.isWaiting && !c.isEnding && !c.hasArrived() {
		c.isEnding = c.Conn.SetReadDeadline(time.Unix(1, 0)) == nil
	}
}

// cut records that the server is closed, and returns the request that is in the handler, if
// there is one.
func (c *connection) cut() *http.Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cause == "" {
		c.cause = CauseStop
	}
	if c.state != http.StateActive {
		return nil
	}
	return c.handled
}

// abort is called before the connection is closed although the response to a request is not
// complete. In HTTP/1.0 the end of a connection may be that of the response, so the
// connection is reset.
func (c *connection) abort(r *http.Request) {
	k, ok := c.Conn.(syscall.Conn)
	if !ok || r.ProtoAtLeast(1, 1) {
		return
	}
	raw, err := k.SyscallConn()
	if err != nil {
		return // The connection is closed.
	}
	_ = raw.Control(func(descriptor uintptr) {
		_ = unix.SetsockoptLinger(int(descriptor), unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	})
}

// hasArrived reports whether bytes, or the end, have arrived that were not read.
func (c *connection) hasArrived() bool {
	k, ok := c.Conn.(syscall.Conn)
	return ok && isReadable(k)
}

// isReadable reports whether bytes, or the end, have arrived on a connection, or whether a
// connection is in the queue of a listener.
func isReadable(c syscall.Conn) bool {
	r, err := c.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = r.Control(func(descriptor uintptr) {
		n, _ = unix.Poll([]unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLIN}}, 0) // A signal may interrupt it.
	})
	return err == nil && n > 0
}
