package comfreyconnection

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// resetDelay is how long a read that has reached the end waits for a request that is still
// being written. A peer that has closed both directions resets the connection as soon as it
// gets more of the request.
const resetDelay = 200 * time.Millisecond

// checkedConn is a client's connection that reads the end only if its peer has ended it in
// order. The kernel reports a reset once: if a write gets that error, a read returns the
// end, so that a response without a length looks complete. It also records the heads of
// responses. One call of Read and one of Write are allowed at a time.
type checkedConn struct {
	net.Conn
	// writing is held during a write.
	writing sync.Mutex

	mu sync.Mutex
	// written is closed when the request in progress has been written, or cannot be; nil
	// if there is none.
	written chan struct{}
	// writeError is the error of the first write that has failed, and readError that of the
	// first read.
	writeError, readError error
	// isRecording means that what is read is added to recorded, up to maxHeadBytes.
	isRecording bool
	recorded    []byte
}

// NetConn returns the connection that is checked.
func (c *checkedConn) NetConn() net.Conn {
	return c.Conn
}

// beginRequest is called before a request is written, and endRequest afterwards. What is
// read is recorded from then on.
func (c *checkedConn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written = make(chan struct{})
	c.isRecording, c.recorded = true, nil
}

func (c *checkedConn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeWritten()
}

// isWritten reports whether the latest request was written completely.
func (c *checkedConn) isWritten() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written == nil && c.writeError == nil
}

// closeWritten ends the request in progress, if any. The mutex must be held.
func (c *checkedConn) closeWritten() {
	if c.written != nil {
		close(c.written)
		c.written = nil
	}
}

// Write implements net.Conn.
func (c *checkedConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if err == nil {
		return n, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeError == nil {
		c.writeError = err
	}
	c.closeWritten()
	return n, err
}

// Read implements net.Conn. It returns io.EOF only if no write has failed.
func (c *checkedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		c.awaitRequest()
		err = c.endError()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readError == nil {
		c.readError = err
	}
	if c.isRecording {
		c.recorded = append(c.recorded, p[:min(n, maxHeadBytes-len(c.recorded))]...)
	}
	return n, err
}

// record returns what has been read since beginRequest, and endRecord ends the record.
func (c *checkedConn) record() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.recorded
}

func (c *checkedConn) endRecord() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.recorded
	c.isRecording, c.recorded = false, nil
	return b
}

// awaitRequest waits until the request has been written, for at most resetDelay. It then ends
// a write that is still in progress, so that no error of it is missed. The peer has sent all
// of its response by then.
func (c *checkedConn) awaitRequest() {
	c.mu.Lock()
	written := c.written
	c.mu.Unlock()
	if written != nil {
		t := time.NewTimer(resetDelay)
		defer t.Stop()
		select {
		case <-written:
		case <-t.C:
		}
	}
	if !c.writing.TryLock() {
		_ = c.SetWriteDeadline(time.Unix(1, 0)) // An error means that the connection is closed.
		c.writing.Lock()
	}
	c.writing.Unlock()
}

// endError returns the error of a read at the end of what the peer has sent. A write that
// awaitRequest has ended has not failed.
func (c *checkedConn) endError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeError == nil || errors.Is(c.writeError, os.ErrDeadlineExceeded) {
		return io.EOF
	}
	return fmt.Errorf("comfreyconnection: expected a connection that is closed in order, got one that failed while the request was written: %w", c.writeError)
}

// explain returns the error of reading a response, which is an ErrMalformedResponse if
// neither a read nor a write has failed. The connection, which may be nil, is closed when ctx
// ends.
func (c *checkedConn) explain(ctx context.Context, err error) error {
	if c == nil || ctx.Err() != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readError != nil || c.writeError != nil || errors.Is(err, ErrMalformedResponse) {
		return err
	}
	return fmt.Errorf("%w: %w", ErrMalformedResponse, err)
}
