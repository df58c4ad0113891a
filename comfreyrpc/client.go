package comfreyrpc

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"comfreyridge.example/comfreyridge/comfreyconnection"
	"comfreyridge.example/comfreyridge/comfreyproto"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// Paths of the streams that a sidecar serves in addition to its twirp calls.
const (
	PathStart  = "/stream/start"
	PathResume = "/stream/resume"
)

// dialTimeout bounds the time to open a connection to another process.
const dialTimeout = 2 * time.Second

// idleConnTimeout bounds how long a pooled connection stays unused.
const idleConnTimeout = 90 * time.Second

// Client calls the other processes of the fleet. It is safe for concurrent
// use.
type Client struct {
	key      Key
	now      func() time.Time
	pooled   *comfreyconnection.Transport
	unpooled *comfreyconnection.Transport
}

// NewClient returns a client that signs with k; a nil clock selects time.Now.
func NewClient(k Key, now func() time.Time) *Client {
	if now == nil {
		now = time.Now
	}
	return &Client{key: k, now: now, pooled: newTransport(false), unpooled: newTransport(true)}
}

func newTransport(unpooled bool) *comfreyconnection.Transport {
	d := &net.Dialer{Timeout: dialTimeout}
	return comfreyconnection.NewTransport(&http.Transport{
		DialContext:         d.DialContext,
		DisableKeepAlives:   unpooled,
		DisableCompression:  true,
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     idleConnTimeout,
	})
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
}

// Do signs and sends a request; it makes Client usable as twirp's HTTP client. Its
// error wraps a comfreyverdict.Error, whose verdict is not-run only if no byte of
// the request can have been sent.
func (c *Client) Do(r *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	_ = r.Body.Close()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	resp, err := c.send(c.pooled, r.WithContext(httptrace.WithClientTrace(r.Context(), trace)), body)
	if err != nil {
		return nil, openError(connected.Load(), err)
	}
	return resp, nil
}

func (c *Client) send(t *comfreyconnection.Transport, r *http.Request, body []byte) (*http.Response, error) {
	r.Body = io.NopCloser(bytes.NewReader(body))
	r.ContentLength = int64(len(body))
	r.GetBody = func() (io.ReadCloser, error) {
		return io.NopCloser(bytes.NewReader(body)), nil
	}
	c.key.Sign(r, body, c.now())
	return t.RoundTrip(r)
}

// Sidecar returns the twirp client of the sidecar at an address "host:port".
func (c *Client) Sidecar(address string) comfreyproto.Sidecar {
	return comfreyproto.NewSidecarProtobufClient("http://"+address, c)
}

// Peer returns the twirp client of any process at an address "host:port".
func (c *Client) Peer(address string) comfreyproto.Peer {
	return comfreyproto.NewPeerProtobufClient("http://"+address, c)
}

// PeerTransfers is Peer for calls with large responses, which are limited by their
// progress.
func (c *Client) PeerTransfers(address string, t comfreyconnection.Timeouts) comfreyproto.Peer {
	return comfreyproto.NewPeerProtobufClient("http://"+address, &transferClient{client: c, timeouts: t})
}

// transferClient is a Client for twirp with timeouts.
type transferClient struct {
	client   *Client
	timeouts comfreyconnection.Timeouts
}

// Do sends a request; see Client.Do.
func (c *transferClient) Do(r *http.Request) (*http.Response, error) {
	return c.timeouts.RoundTrip(r, c.client.Do)
}

// Stream is an open stream of frames. It is not safe for concurrent use,
// except for Close.
type Stream struct {
	*FrameReader
	body   io.Closer
	cancel context.CancelFunc
}

// Close closes the connection.
func (s *Stream) Close() {
	s.cancel()
	_ = s.body.Close()
}

// Start asks the sidecar at address to run a generation. Its error is a
// comfreyverdict.Error, whose verdict is not-run only if no byte of the request
// can have been sent, or if the sidecar responded with a status other than 200.
func (c *Client) Start(ctx context.Context, address string, r *comfreyproto.StartRequest) (*Stream, error) {
	return c.open(ctx, c.pooled, address, PathStart, r)
}

// Resume reopens a stream. It always dials a new connection, because the pooled
// ones to the same address may have failed as well.
func (c *Client) Resume(ctx context.Context, address string, r *comfreyproto.ResumeRequest) (*Stream, error) {
	return c.open(ctx, c.unpooled, address, PathResume, r)
}

func (c *Client) open(ctx context.Context, t *comfreyconnection.Transport, address, path string, m proto.Message) (*Stream, error) {
	body, err := proto.Marshal(m)
	if err != nil {
		return nil, comfreyverdict.NotRun(comfreyverdict.ReasonInternal, err.Error())
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	ctx, cancel := context.WithCancel(httptrace.WithClientTrace(ctx, trace))
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, http.NoBody)
	if err != nil {
		cancel()
		return nil, comfreyverdict.NotRun(comfreyverdict.ReasonInternal, err.Error())
	}
	resp, err := c.send(t, r, body)
	if err != nil {
		cancel()
		return nil, openError(connected.Load(), err)
	}
	if resp.StatusCode != http.StatusOK {
		cancel()
		_ = resp.Body.Close()
		return nil, comfreyverdict.NotRun(comfreyverdict.ReasonInternal, fmt.Sprintf("the sidecar responded with status %d, want 200", resp.StatusCode))
	}
	return &Stream{FrameReader: NewFrameReader(resp.Body), body: resp.Body, cancel: cancel}, nil
}

// openError distinguishes a failed dial, after which nothing can have run, from a
// failure after the connection was established.
func openError(connected bool, err error) error {
	if !connected {
		return comfreyverdict.NotRun(comfreyverdict.ReasonDialFailed, err.Error()).WithCause(err)
	}
	reason := comfreyverdict.ReasonConnectionLost
	if errors.Is(err, comfreyconnection.ErrMalformedResponse) {
		reason = comfreyverdict.ReasonMalformedAnswer
	}
	return comfreyverdict.MayHaveRun(reason, err.Error()).WithCause(err)
}
