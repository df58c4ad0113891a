package comfreyconnection

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// resetDelay is how long the end of what a peer sends waits for that of a request which is
// still being written. A peer that has closed both directions resets the connection as soon
// as it gets more of the request.
const resetDelay = 200 * time.Millisecond

// checkedConn is a client's connection that reads the end only if its peer has ended it in
// order. The kernel reports a reset once: if a write gets that error, a read returns the
// end, so that a response without a length looks complete. One call of Read and one of
// Write are allowed at a time.
type checkedConn struct {
	net.Conn

	mu        sync.Mutex
	isWriting bool
	// returned, if not nil, is closed when the write in progress returns.
	returned chan struct{}
	// writeError is the error of the first write that has failed.
	writeError error
}

// NetConn returns the connection that is checked.
func (c *checkedConn) NetConn() net.Conn {
	return c.Conn
}

// Write implements net.Conn.
func (c *checkedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.isWriting = true
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isWriting = false
	if c.writeError == nil {
		c.writeError = err
	}
	if c.returned != nil {
		close(c.returned)
		c.returned = nil
	}
	return n, err
}

// Read implements net.Conn. It returns io.EOF only if no write has failed.
func (c *checkedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		c.awaitWrite()
		err = c.endError()
	}
	return n, err
}

// awaitWrite waits for the write in progress. After resetDelay it ends the write: the peer
// has sent all of its response, and does not read the request.
func (c *checkedConn) awaitWrite() {
	c.mu.Lock()
	if !c.isWriting {
		c.mu.Unlock()
		return
	}
	returned := make(chan struct{})
	c.returned = returned
	c.mu.Unlock()
	t := time.NewTimer(resetDelay)
	defer t.Stop()
	select {
	case <-returned:
		return
	case <-t.C:
	}
	_ = c.SetWriteDeadline(time.Unix(1, 0)) // An error means that the connection is closed.
	<-returned
}

// endError returns the error of a read at the end of what the peer has sent. A write that
// awaitWrite has ended has not failed.
func (c *checkedConn) endError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeError == nil || errors.Is(c.writeError, os.ErrDeadlineExceeded) {
		return io.EOF
	}
	return fmt.Errorf("comfreyconnection: expected a connection that is closed in order, got one that failed while the request was written: %w", c.writeError)
}
