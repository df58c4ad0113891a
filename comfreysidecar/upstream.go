package comfreysidecar

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"comfreyridge.example/comfreyridge/comfreyconnection"
	"comfreyridge.example/comfreyridge/comfreyproto"
	"comfreyridge.example/comfreyridge/comfreyrpc"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

const (
	// upstreamDialTimeout bounds the dial to the upstream, which is on the same
	// host.
	upstreamDialTimeout = 2 * time.Second
	// maxResponseBytes bounds the response body of a plain service.
	maxResponseBytes = 8 << 20
)

// upstreamClient sends requests to a plain service. It is safe for concurrent
// use.
type upstreamClient struct {
	base      string
	transport *comfreyconnection.Transport
	inFlight  atomic.Int64
}

func newUpstreamClient(base string) *upstreamClient {
	d := &net.Dialer{Timeout: upstreamDialTimeout}
	// A new connection for each request prevents the transport from retrying a
	// request on its own, as it may do after a reused connection fails.
	t := comfreyconnection.NewTransport(&http.Transport{DialContext: d.DialContext, DisableKeepAlives: true, DisableCompression: true})
	return &upstreamClient{base: strings.TrimRight(base, "/"), transport: t}
}

// openCalls returns the number of requests without an outcome.
func (c *upstreamClient) openCalls() int {
	return int(c.inFlight.Load())
}

// upstreamCall is one HTTP request to a plain service.
type upstreamCall struct {
	requestID string
	method    string
	path      string
	headers   []*comfreyproto.Header
	body      []byte
}

// upstreamResponse is a complete response of a plain service.
type upstreamResponse struct {
	status  int
	headers http.Header
	body    []byte
}

// do sends the request once. The error is a comfreyverdict.Error. Its verdict
// is not-run only if no connection was made, because then no byte can have been
// sent.
func (c *upstreamClient) do(ctx context.Context, l upstreamCall) (upstreamResponse, error) {
	c.inFlight.Add(1)
	defer c.inFlight.Add(-1)
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	r, err := http.NewRequestWithContext(ctx, l.method, c.base+l.path, bytes.NewReader(l.body))
	if err != nil {
		return upstreamResponse{}, comfreyverdict.NotRun(comfreyverdict.ReasonBadRequest, err.Error())
	}
	for _, h := range l.headers {
		if !comfreyrpc.IsHopByHopHeader(h.Name) {
			r.Header.Add(h.Name, h.Value)
		}
	}
	r.Header.Set("X-Request-Id", l.requestID)
	resp, err := c.transport.RoundTrip(r)
	if err != nil {
		return upstreamResponse{}, callError(ctx, connected.Load(), err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return upstreamResponse{}, callError(ctx, true, err)
	}
	if len(body) > maxResponseBytes {
		return upstreamResponse{}, comfreyverdict.Ran(comfreyverdict.ReasonBodyTooLarge, fmt.Sprintf("the answer exceeds %d bytes", maxResponseBytes))
	}
	return upstreamResponse{status: resp.StatusCode, headers: resp.Header, body: body}, nil
}

func callError(ctx context.Context, connected bool, err error) error {
	if !connected {
		return comfreyverdict.NotRun(comfreyverdict.ReasonDialFailed, err.Error())
	}
	if ctx.Err() != nil {
		return comfreyverdict.MayHaveRun(comfreyverdict.ReasonDeadline, "the upstream did not answer in time")
	}
	if errors.Is(err, comfreyconnection.ErrMalformedResponse) {
		return comfreyverdict.MayHaveRun(comfreyverdict.ReasonMalformedAnswer, err.Error())
	}
	return comfreyverdict.MayHaveRun(comfreyverdict.ReasonConnectionLost, err.Error())
}
