package comfreyconnection

import (
	"bufio"
	"errors"
	"net"
	"syscall"
	"time"
)

// readBuffer is the size of a connection's read buffer. Most answers and all
// events of a stream fit into it.
const readBuffer = 4 << 10

// connection is one HTTP/1.1 connection to a replica.
type connection struct {
	address string
	net     net.Conn
	reader  *bufio.Reader
	// expires is when the connection is too old to be used again.
	expires time.Time
	// keepAlive is how long the replica keeps the connection; zero if unknown.
	keepAlive time.Duration
}

func newConnection(address string, n net.Conn) *connection {
	return &connection{address: address, net: n, reader: bufio.NewReaderSize(n, readBuffer)}
}

func (c *connection) close() {
	// The error of closing a connection that is given up tells nothing.
	_ = c.net.Close()
}

// isQuiet reports whether the replica has neither closed the idle connection
// nor sent anything on it.
func (c *connection) isQuiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	s, ok := c.net.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, e := syscall.Read(int(fd), b[:])
		quiet = errors.Is(e, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// limitSilence returns a dialer's control function that makes the kernel reset
// a connection whose bytes stay unacknowledged for d.
func limitSilence(d time.Duration) func(network, address string, c syscall.RawConn) error {
	const tcpUserTimeout = 18 // TCP_USER_TIMEOUT of Linux, in milliseconds
	return func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(d.Milliseconds()))
		})
		return errors.Join(err, failed)
	}
}
