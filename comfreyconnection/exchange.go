package comfreyconnection

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxSkippedResponses is the number of responses to other requests, and of
// informational (1xx) responses, after which a connection is closed.
const maxSkippedResponses = 3

// Request is an HTTP request. It is sent to the replica unchanged.
type Request struct {
	Method string
	// Target is the request target, path and query, as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// IDHeader names the request id header that replicas echo; it tells the
	// response from one to an earlier request. A request without that header is the only
	// one of its connection. An empty name means that responses carry no id, which is
	// safe only if the peer never sends a response twice.
	IDHeader string
	// Timeouts limit the call in addition to its context.
	Timeouts Timeouts
	// Permit, if set, is called immediately before the request is written. An
	// error ends the call; opening a connection may have taken a while.
	Permit func() error
}

// SendError reports that a request could not be sent or got no response.
type SendError struct {
	// MayHaveArrived is false if no byte of the request can have reached the
	// replica.
	MayHaveArrived bool
	// IsDial reports whether opening the connection failed.
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

var (
	// errMismatchedResponses means that a connection delivered only responses to
	// other requests.
	errMismatchedResponses = errors.New("comfreyconnection: expected the response to this request, got responses to others")
	// errUnidentifiedResponse means that a response without a request id may belong to
	// an earlier request.
	errUnidentifiedResponse = errors.New("comfreyconnection: expected a response with a request id on a connection that was used before, got one without")
)

// id returns the request id, or an empty string if responses carry none.
func (r Request) id() string {
	if r.IDHeader == "" {
		return ""
	}
	return r.Header.Get(r.IDHeader)
}

// Response is a replica's response. Body returns io.EOF only if the body is
// complete. The caller must call Close.
type Response struct {
	Status int
	Header http.Header
	// Length is the size of the body in bytes, -1 if the headers do not state
	// it.
	Length int64
	// EndsWithConnection means that the body has neither a length nor chunks, so that
	// its end is that of the connection.
	EndsWithConnection bool
	Body               io.Reader

	pool       *Pool
	connection *connection
	context    context.Context
	progress   *progress
	stop       func() bool
	isComplete bool
	isReusable bool
	isClosed   bool
}

// Do sends a request and returns its response once the headers have arrived.
// When ctx ends, the connection is closed, which makes the replica stop. A
// failure is a *SendError.
func (p *Pool) Do(ctx context.Context, address string, r Request) (*Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, &SendError{Cause: err}
	}
	ctx, progress := r.Timeouts.start(ctx)
	var c *connection
	if r.IDHeader == "" || r.id() != "" {
		c = p.take(address, r.id())
	}
	if c == nil {
		n, err := p.open(ctx, address)
		if err != nil {
			err = causeOf(ctx, err)
			progress.stop()
			return nil, &SendError{IsDial: true, Cause: err}
		}
		c = n
	}
	if r.Permit != nil {
		if err := r.Permit(); err != nil {
			progress.stop()
			p.put(c)
			return nil, &SendError{Cause: err}
		}
	}
	stop := context.AfterFunc(ctx, c.close)
	a, err := p.exchange(ctx, c, r)
	if err != nil {
		stop()
		c.close()
		err = causeOf(ctx, err)
		progress.stop()
		return nil, &SendError{MayHaveArrived: true, Cause: err}
	}
	progress.receiveHeader()
	a.stop, a.context, a.progress = stop, ctx, progress
	return a, nil
}

// exchange writes a request and reads the response headers. The replica may
// respond before it has read the complete request, so a request that exceeds
// one buffer is written in its own goroutine.
func (p *Pool) exchange(ctx context.Context, c *connection, r Request) (*Response, error) {
	head := encodeRequestHeader(r)
	c.net.beginRequest()
	if len(head)+len(r.Body) <= readBufferBytes {
		if _, err := c.net.Write(append(head, r.Body...)); err != nil {
			return nil, fmt.Errorf("comfreyconnection: writing a request: %w", err)
		}
		c.net.endRequest()
	} else {
		p.group.Go("write", func(context.Context) error {
			if _, err := c.net.Write(append(head, r.Body...)); err == nil {
				c.net.endRequest()
			}
			return nil // Reading the response reports the error; see checkedConn.
		})
	}
	c.limiter.begin()
	h, mayReuse, err := readResponseHeader(ctx, c, r)
	c.limiter.end()
	c.net.endRecord()
	if err != nil {
		return nil, err
	}
	c.isUsed, c.requestID = true, r.id()
	a := &Response{Status: h.StatusCode, Header: h.Header, Length: h.ContentLength, pool: p, connection: c}
	a.EndsWithConnection = h.ContentLength < 0 && len(h.TransferEncoding) == 0
	a.isReusable = !h.Close && mayReuse
	c.keepAlive = keepAliveTime(h.Header)
	a.Body = &responseBody{response: a, head: h}
	return a, nil
}

// encodeRequestHeader returns the request line and the headers.
func encodeRequestHeader(r Request) []byte {
	b := bytes.NewBuffer(make([]byte, 0, 1024+len(r.Body)))
	fmt.Fprintf(b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead && r.Method != http.MethodDelete {
		fmt.Fprintf(b, "Content-Length: %d\r\n", len(r.Body))
	}
	// Writing to a buffer does not fail.
	_ = r.Header.WriteSubset(b, map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true})
	b.WriteString("\r\n")
	return b.Bytes()
}

// readResponseHeader reads the headers of the response to r. It skips
// informational responses and responses to other requests. mayReuse reports whether the
// connection can be used for a later request: nothing was skipped, and the response names
// the id of its request, so that a second copy of it would be recognized.
func readResponseHeader(ctx context.Context, c *connection, r Request) (h *http.Response, mayReuse bool, err error) {
	request := &http.Request{Method: r.Method}
	hasSkipped := false
	for range maxSkippedResponses {
		h, err := c.readHead(ctx, request)
		if err != nil {
			return nil, false, fmt.Errorf("comfreyconnection: reading a response: %w", err)
		}
		if h.StatusCode < minFinalStatus {
			continue
		}
		if r.IDHeader == "" {
			return h, true, nil
		}
		id := h.Header.Get(r.IDHeader)
		if id == "" && (c.isUsed || hasSkipped) {
			return nil, false, errUnidentifiedResponse
		}
		if id == "" || id == r.id() {
			return h, id != "" && !hasSkipped, nil
		}
		if h.Close || h.ContentLength < 0 && len(h.TransferEncoding) == 0 {
			break
		}
		hasSkipped = true
		if _, err := io.Copy(io.Discard, h.Body); err != nil {
			return nil, false, fmt.Errorf("comfreyconnection: skipping a response to another request: %w", err)
		}
	}
	return nil, false, errMismatchedResponses
}

// readHead reads the head of a response. The error is an ErrMalformedResponse if what was
// read is no valid head.
func (c *connection) readHead(ctx context.Context, r *http.Request) (*http.Response, error) {
	start := len(c.net.record()) - c.reader.Buffered()
	h, err := http.ReadResponse(c.reader, r)
	if err != nil {
		return nil, c.net.explain(ctx, err)
	}
	raw := c.net.record()
	return h, checkHead(h, raw[start:len(raw)-c.reader.Buffered()])
}

// keepAliveTime returns how long the replica keeps an idle connection open,
// zero if the headers do not state it.
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

// responseBody reads the body of a response and records whether it was read
// completely.
type responseBody struct {
	response *Response
	head     *http.Response
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.head.Body.Read(p)
	b.response.progress.receive(n)
	err = checkEnd(err, b.head)
	switch {
	case errors.Is(err, io.EOF):
		b.response.isComplete = true
	case err != nil:
		err = causeOf(b.response.context, b.response.connection.net.explain(b.response.context, err))
	}
	return n, err
}

// Close returns the connection to the pool if the request was written and the
// response read completely, and no further response or other data is to come. Otherwise
// it closes the connection, which makes the replica stop.
func (a *Response) Close() {
	if a.isClosed {
		return
	}
	a.isClosed = true
	isLive := a.stop()
	a.progress.stop()
	c := a.connection
	if isLive && a.isComplete && a.isReusable && c.net.isWritten() && c.reader.Buffered() == 0 {
		a.pool.put(c)
		return
	}
	c.close()
}
