package comfreysidecar

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"comfreyridge.example/comfreyridge/comfreyproto"
	"comfreyridge.example/comfreyridge/comfreyrpc"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

const (
	// upstreamDialTimeout bounds the dial of the upstream on the same host.
	upstreamDialTimeout = 2 * time.Second
	// maxAnswerBytes bounds the answer of a plain service.
	maxAnswerBytes = 8 << 20
)

// upstreamClient calls a plain service. It is safe for concurrent use.
type upstreamClient struct {
	base      string
	transport *http.Transport
	running   atomic.Int64
}

func newUpstreamClient(base string) *upstreamClient {
	d := &net.Dialer{Timeout: upstreamDialTimeout}
	// A fresh connection for each call keeps the transport from sending a
	// request a second time on its own, as it may after a reused connection
	// fails.
	t := &http.Transport{DialContext: d.DialContext, DisableKeepAlives: true, DisableCompression: true}
	return &upstreamClient{base: strings.TrimRight(base, "/"), transport: t}
}

// open returns how many calls have no outcome yet.
func (c *upstreamClient) open() int {
	return int(c.running.Load())
}

// upstreamCall is one HTTP call to a plain service.
type upstreamCall struct {
	requestID string
	method    string
	path      string
	headers   []*comfreyproto.Header
	body      []byte
}

// upstreamAnswer is a complete answer of a plain service.
type upstreamAnswer struct {
	status  int
	headers http.Header
	body    []byte
}

// do sends the call once. Its error is a comfreyverdict.Error: not-run only if
// no connection was made, so that no byte can have left.
func (c *upstreamClient) do(ctx context.Context, l upstreamCall) (upstreamAnswer, error) {
	c.running.Add(1)
	defer c.running.Add(-1)
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	r, err := http.NewRequestWithContext(ctx, l.method, c.base+l.path, bytes.NewReader(l.body))
	if err != nil {
		return upstreamAnswer{}, comfreyverdict.NotRun(comfreyverdict.ReasonBadRequest, err.Error())
	}
	for _, h := range l.headers {
		if !comfreyrpc.IsHopByHopHeader(h.Name) {
			r.Header.Add(h.Name, h.Value)
		}
	}
	r.Header.Set("X-Request-Id", l.requestID)
	resp, err := c.transport.RoundTrip(r)
	if err != nil {
		return upstreamAnswer{}, callError(ctx, connected.Load(), err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return upstreamAnswer{}, callError(ctx, true, err)
	}
	if len(body) > maxAnswerBytes {
		return upstreamAnswer{}, comfreyverdict.Ran(comfreyverdict.ReasonBodyTooLarge, fmt.Sprintf("the answer exceeds %d bytes", maxAnswerBytes))
	}
	return upstreamAnswer{status: resp.StatusCode, headers: resp.Header, body: body}, nil
}

func callError(ctx context.Context, connected bool, err error) error {
	if !connected {
		return comfreyverdict.NotRun(comfreyverdict.ReasonDialFailed, err.Error())
	}
	if ctx.Err() != nil {
		return comfreyverdict.MayHaveRun(comfreyverdict.ReasonDeadline, "the upstream did not answer in time")
	}
	return comfreyverdict.MayHaveRun(comfreyverdict.ReasonConnectionLost, err.Error())
}
