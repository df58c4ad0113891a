package comfreyconnection

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// maxForeign is how many answers to earlier requests are skipped on one
// connection before it is given up.
const maxForeign = 3

// Request is what is sent to a replica, unchanged.
type Request struct {
	Method string
	// Target is the request target as the caller sent it, path and query.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// IDHeader names the header that replicas echo, which tells the answer from
	// one to an earlier request. Empty means that answers bear no id.
	IDHeader string
}

// SendError is a failure of an exchange.
type SendError struct {
	// MayHaveArrived is false if no byte of the request can have reached the
	// replica.
	MayHaveArrived bool
	// IsDial means that no connection could be opened.
	IsDial bool
	Cause  error
}

// Error implements the error interface.
func (e *SendError) Error() string {
	return fmt.Sprintf("comfreyconnection: sending a request (may have arrived: %t): %v", e.MayHaveArrived, e.Cause)
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error {
	return e.Cause
}

// errForeignAnswers means that a connection holds only answers to other
// requests.
var errForeignAnswers = errors.New("comfreyconnection: answers to other requests")

// Response is the replica's answer. Body returns io.EOF only if the answer is
// complete. Close must be called.
type Response struct {
	Status int
	Header http.Header
	// Length is the size of the body, -1 if it is not announced.
	Length int64
	Body   io.Reader

	pool       *Pool
	connection *connection
	written    *atomic.Bool
	stop       func() bool
	isComplete bool
	isReusable bool
	isClosed   bool
}

// Do sends a request and returns the head of its answer. The end of ctx closes
// the connection, which makes the replica stop. A failure is a *SendError.
func (p *Pool) Do(ctx context.Context, address string, r Request) (*Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, &SendError{Cause: err}
	}
	c := p.take(address)
	if c == nil {
		n, err := p.open(ctx, address)
		if err != nil {
			return nil, &SendError{IsDial: true, Cause: err}
		}
		c = n
	}
	stop := context.AfterFunc(ctx, c.close)
	a, err := p.exchange(c, r)
	if err != nil {
		stop()
		c.close()
		if e := ctx.Err(); e != nil {
			err = e
		}
		return nil, &SendError{MayHaveArrived: true, Cause: err}
	}
	a.stop = stop
	return a, nil
}

// exchange writes a request and reads the head of its answer. The replica may
// answer before it has read the whole request.
func (p *Pool) exchange(c *connection, r Request) (*Response, error) {
	written := &atomic.Bool{}
	head := requestHead(r)
	if len(head)+len(r.Body) <= readBuffer {
		if _, err := c.net.Write(append(head, r.Body...)); err != nil {
			return nil, fmt.Errorf("comfreyconnection: writing a request: %w", err)
		}
		written.Store(true)
	} else {
		p.group.Go("write", func(context.Context) error {
			if _, err := c.net.Write(append(head, r.Body...)); err == nil {
				written.Store(true)
			}
			return nil // The reader sees why the connection failed.
		})
	}
	h, err := readHead(c.reader, r)
	if err != nil {
		return nil, err
	}
	a := &Response{Status: h.StatusCode, Header: h.Header, Length: h.ContentLength, pool: p, connection: c, written: written}
	a.isReusable = !h.Close
	c.keepAlive = keepAliveTime(h.Header)
	a.Body = &answerBody{answer: a, reader: h.Body}
	return a, nil
}

// requestHead returns the request line and the headers.
func requestHead(r Request) []byte {
	b := bytes.NewBuffer(make([]byte, 0, 1024+len(r.Body)))
	fmt.Fprintf(b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead && r.Method != http.MethodDelete {
		fmt.Fprintf(b, "Content-Length: %d\r\n", len(r.Body))
	}
	// A write to a buffer does not fail.
	_ = r.Header.WriteSubset(b, map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true})
	b.WriteString("\r\n")
	return b.Bytes()
}

// readHead reads the head of the answer to r and skips answers to others.
func readHead(b *bufio.Reader, r Request) (*http.Response, error) {
	asked := &http.Request{Method: r.Method}
	for range maxForeign {
		h, err := http.ReadResponse(b, asked)
		if err != nil {
			return nil, fmt.Errorf("comfreyconnection: reading an answer: %w", err)
		}
		if h.StatusCode >= 100 && h.StatusCode < 200 {
			continue
		}
		id := ""
		if r.IDHeader != "" {
			id = h.Header.Get(r.IDHeader)
		}
		if id == "" || id == r.Header.Get(r.IDHeader) {
			return h, nil
		}
		if h.Close || h.ContentLength < 0 && len(h.TransferEncoding) == 0 {
			break
		}
		if _, err := io.Copy(io.Discard, h.Body); err != nil {
			return nil, fmt.Errorf("comfreyconnection: skipping an answer to another request: %w", err)
		}
	}
	return nil, errForeignAnswers
}

// keepAliveTime returns how long the replica keeps an idle connection, zero if
// it does not say.
func keepAliveTime(h http.Header) time.Duration {
	for _, f := range strings.Split(h.Get("Keep-Alive"), ",") {
		v, ok := strings.CutPrefix(strings.TrimSpace(f), "timeout=")
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(v); err == nil {
			return time.Duration(n) * time.Second
		}
	}
	return 0
}

// answerBody reads the body of an answer.
type answerBody struct {
	answer *Response
	reader io.Reader
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if errors.Is(err, io.EOF) {
		b.answer.isComplete = true
	}
	return n, err
}

// Close gives the connection back if the answer was read to its end and
// nothing followed it; otherwise it closes the connection, which makes the
// replica stop.
func (a *Response) Close() {
	if a.isClosed {
		return
	}
	a.isClosed = true
	isLive := a.stop()
	c := a.connection
	if isLive && a.isComplete && a.isReusable && a.written.Load() && c.reader.Buffered() == 0 {
		a.pool.put(c)
		return
	}
	c.close()
}
