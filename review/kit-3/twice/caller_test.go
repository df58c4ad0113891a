package twice

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var lastRequest atomic.Int64

// nextID returns the id of a new attempt.
func nextID() string {
	return fmt.Sprintf("%016x", 0x5000000000000000+lastRequest.Add(1))
}

// request is what a caller sends.
type request struct {
	method, host, path string
	header             http.Header
	body               string
	timeout            time.Duration
}

// answer is what a caller got.
type answer struct {
	id     string
	sent   time.Time
	ended  time.Time
	status int
	header http.Header
	body   string
	// isComplete means that the response was whole by its framing.
	isComplete bool
	err        error
}

func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("%s: no answer after %v: %v", a.id, a.ended.Sub(a.sent).Round(time.Millisecond), a.err)
	}
	return fmt.Sprintf("%s: status %d, %d bytes, complete %t, after %v", a.id, a.status, len(a.body), a.isComplete, a.ended.Sub(a.sent).Round(time.Millisecond))
}

// channel is a connection of a caller.
type channel struct {
	conn   net.Conn
	reader *bufio.Reader
	// isClosed means that no further request can be sent.
	isClosed bool
}

func dial(address string) (*channel, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{conn: c, reader: bufio.NewReaderSize(c, 64<<10)}, nil
}

func (c *channel) close() {
	_ = c.conn.Close()
}

// do sends a request and reads its answer.
func (c *channel) do(r request) answer {
	a := answer{id: nextID()}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", r.method, r.path, r.host, a.id, r.timeout.Milliseconds())
	_ = r.header.Write(&b)
	if r.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	b.WriteString("\r\n")
	b.WriteString(r.body)
	a.sent = time.Now()
	_ = c.conn.SetDeadline(a.sent.Add(r.timeout))
	a.err = c.exchange(b.String(), r.method, &a)
	a.ended = time.Now()
	if a.err != nil || !a.isComplete {
		c.isClosed = true
	}
	if c.isClosed {
		c.close()
	}
	return a
}

func (c *channel) exchange(message, method string, a *answer) error {
	if _, err := io.WriteString(c.conn, message); err != nil {
		return err
	}
	p, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return err
	}
	a.status, a.header = p.StatusCode, p.Header
	c.isClosed = c.isClosed || p.Close
	body, err := io.ReadAll(p.Body)
	a.body = string(body)
	a.isComplete = err == nil
	return err
}

// noChannel is the id of an answer if no channel could be opened.
const noChannel = "no channel"

// once sends one request on a new connection.
func once(address string, r request) answer {
	c, err := dial(address)
	if err != nil {
		return answer{id: noChannel, sent: time.Now(), ended: time.Now(), err: err}
	}
	defer c.close()
	return c.do(r)
}

// isTimeout reports whether an answer did not come within the time of its caller.
func (a answer) isTimeout() bool {
	var n net.Error
	return errors.As(a.err, &n) && n.Timeout()
}
