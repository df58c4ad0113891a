package comfreyconnection

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"time"
)

// readBufferBytes is the size of a connection's read buffer. Most responses and
// all events of a stream fit into it.
const readBufferBytes = 4 << 10

// maxHeadBytes bounds what is read of a connection before the end of a response
// header, including responses that are skipped.
const maxHeadBytes = 256 << 10

// connection is one HTTP/1.1 connection to a replica.
type connection struct {
	address string
	net     *checkedConn
	reader  *bufio.Reader
	// limiter is the source of the reader.
	limiter *headLimiter
	// expires is the time after which the connection is not reused.
	expires time.Time
	// keepAlive is how long the replica keeps an idle connection open; zero if
	// unknown.
	keepAlive time.Duration
	// isUsed means that a request was sent and got a response, and requestID is the id
	// of the latest one.
	isUsed    bool
	requestID string
}

func newConnection(address string, n net.Conn) *connection {
	k := &checkedConn{Conn: n}
	l := &headLimiter{reader: k}
	return &connection{address: address, net: k, limiter: l, reader: bufio.NewReaderSize(l, readBufferBytes)}
}

// errHeadTooLarge means that a connection has delivered too many bytes before the end
// of a response header.
var errHeadTooLarge = fmt.Errorf("comfreyconnection: expected a response header of at most %d bytes, got more", maxHeadBytes)

// headLimiter limits how many bytes are read while a response header is expected, so
// that a peer which sends bytes without end cannot exhaust the memory.
type headLimiter struct {
	reader    io.Reader
	isLimited bool
	left      int
}

// begin starts a limit, and end ends it.
func (l *headLimiter) begin() {
	l.isLimited, l.left = true, maxHeadBytes
}

func (l *headLimiter) end() {
	l.isLimited = false
}

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.isLimited {
		return l.reader.Read(p)
	}
	if l.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.reader.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

func (c *connection) close() {
	// An error on closing a discarded connection is of no use.
	_ = c.net.Close()
}

// isIdle reports whether the replica has neither closed the connection nor sent
// data on it since the last response.
func (c *connection) isIdle() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	s, ok := c.net.NetConn().(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, e := syscall.Read(int(fd), b[:])
		idle = errors.Is(e, syscall.EAGAIN)
		return true
	})
	return err == nil && idle
}

// userTimeoutControl returns a control function for net.Dialer that makes the
// kernel reset a connection when sent data stays unacknowledged for d.
func userTimeoutControl(d time.Duration) func(network, address string, c syscall.RawConn) error {
	const tcpUserTimeout = 18 // TCP_USER_TIMEOUT of Linux, in milliseconds
	return func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(d.Milliseconds()))
		})
		return errors.Join(err, failed)
	}
}
