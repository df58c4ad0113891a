package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// connectTimeout is how long a caller waits for a new channel.
const connectTimeout = time.Second

// channel is a connection of a caller to a gateway.
type channel struct {
	net.Conn
	reader *bufio.Reader
	// used counts the requests on it so far.
	used int
}

func openChannel(address string) (*channel, error) {
	c, err := net.DialTimeout("tcp", address, connectTimeout)
	if err != nil {
		return nil, err
	}
	return &channel{Conn: c, reader: bufio.NewReader(c)}, nil
}

// request is a request of a caller.
type request struct {
	method, path string
	// key is the caller's key; "key" if it is empty.
	key     string
	headers map[string]string
	body    []byte
	budget  time.Duration
}

// answer is what became of a request. The status is zero if there was none, and isWhole
// is false if the answer broke off.
type answer struct {
	status  int
	isWhole bool
	isClose bool
	isSent  bool
	// begunAt is when the answer began.
	begunAt time.Time
	err     error
}

// newID returns the id of a request.
func newID(name string) string {
	return name + "-" + strconv.FormatUint(rand.Uint64(), 16)
}

// do sends a request and reads its answer.
func (c *channel) do(id string, q request) answer {
	c.used++
	_ = c.SetDeadline(time.Now().Add(q.budget))
	if q.key == "" {
		q.key = "key"
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n", q.method, q.path, id, q.budget.Milliseconds(), q.key)
	for k, v := range q.headers {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	if q.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n")
	if _, err := c.Write(append([]byte(b.String()), q.body...)); err != nil {
		return answer{err: err}
	}
	a, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		return answer{isSent: true, err: err}
	}
	begun := time.Now()
	_, err = io.Copy(io.Discard, a.Body)
	return answer{status: a.StatusCode, isWhole: err == nil, isClose: a.Close, isSent: true, begunAt: begun, err: err}
}

// String describes the answer for the record.
func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("status=%d whole=%t error=%q", a.status, a.isWhole, a.err)
	}
	return fmt.Sprintf("status=%d whole=%t", a.status, a.isWhole)
}

// freePort returns the first of n ports that are free on some addresses.
func freePort(n int, ips ...string) (int, error) {
	for range 100 {
		p := 20000 + rand.IntN(11000)
		if isFree(p, n, ips) {
			return p, nil
		}
	}
	return 0, fmt.Errorf("kit-3: no %d free ports", n)
}

func isFree(p, n int, ips []string) bool {
	for _, ip := range ips {
		for i := range n {
			l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(p+i)))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}
