// Package comfreyengine is the client of an engine's public API. It starts,
// resumes and cancels streams, and reports for every failure whether the
// request may have run.
package comfreyengine

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"comfreyridge.example/comfreyridge/comfreyconnection"
)

// Defaults of Config.
const (
	defaultDialTimeout    = 2 * time.Second
	defaultIdleTimeout    = 10 * time.Second
	defaultMaxLineBytes   = 1 << 20
	defaultSilenceTimeout = 5 * time.Second
	maxIdleConnections    = 8
)

// Config holds the settings of a Client. The zero value of each field but
// BaseURL selects its default.
type Config struct {
	// BaseURL is the base URL of the engine, such as "http://127.0.0.1:8000".
	BaseURL string
	// DialTimeout limits the time to open a connection; the default is 2
	// seconds.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection for load reports, state and
	// commands is kept; the default is 10 seconds.
	IdleTimeout time.Duration
	// SilenceTimeout is how long a stream may receive no data before it
	// reconnects to its generation on a new connection. It does so after one to
	// two timeouts. The default is 5 seconds. A negative timeout disables
	// reconnecting, and a stream whose engine states no generation id never
	// reconnects.
	SilenceTimeout time.Duration
	// MaxLineBytes limits the length of a line of a stream; the default is 1
	// MiB.
	MaxLineBytes int
}

// Client calls one engine. It is safe for concurrent use.
type Client struct {
	config Config
	// streamTransport opens a new connection for each stream, because a pooled
	// connection may have stopped delivering data. Without reuse, net/http also
	// never resends a request by itself.
	streamTransport *comfreyconnection.Transport
	// pooledTransport reuses its connections for all other calls.
	pooledTransport *comfreyconnection.Transport
}

// New returns a client. It opens no connection.
func New(c Config) *Client {
	if c.DialTimeout <= 0 {
		c.DialTimeout = defaultDialTimeout
	}
	if c.IdleTimeout <= 0 {
		c.IdleTimeout = defaultIdleTimeout
	}
	if c.MaxLineBytes <= 0 {
		c.MaxLineBytes = defaultMaxLineBytes
	}
	if c.SilenceTimeout == 0 {
		c.SilenceTimeout = defaultSilenceTimeout
	}
	c.BaseURL = strings.TrimRight(c.BaseURL, "/")
	d := &net.Dialer{Timeout: c.DialTimeout}
	s := &http.Transport{
		DialContext:        dialGuarded(d.DialContext),
		DisableKeepAlives:  true,
		DisableCompression: true,
	}
	r := &http.Transport{
		DialContext:         dialGuarded(d.DialContext),
		IdleConnTimeout:     c.IdleTimeout,
		MaxIdleConns:        maxIdleConnections,
		MaxIdleConnsPerHost: maxIdleConnections,
		DisableCompression:  true,
	}
	return &Client{config: c, streamTransport: comfreyconnection.NewTransport(s), pooledTransport: comfreyconnection.NewTransport(r)}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.pooledTransport.CloseIdleConnections()
}

// Request is a completion request.
type Request struct {
	// ID is the request id; it is sent as X-Request-Id.
	ID string
	// Path is "/v1/completions" or "/v1/chat/completions".
	Path string
	// Body is the caller's JSON object. Start adds the fields that request a
	// stream and its usage if they are missing, and keeps unknown fields as
	// they are.
	Body []byte
	// Priority is sent as X-Priority; smaller numbers are served first.
	Priority int
}

// Start sends a request and returns its stream once the engine has accepted it.
// The context limits the whole stream. The error is a comfreyverdict.Error,
// whose verdict is not-run only if the engine refused the request or no byte of
// it was written.
func (c *Client) Start(ctx context.Context, r Request) (*Stream, error) {
	b, err := streamingBody(r.Body)
	if err != nil {
		return nil, err
	}
	h := make(http.Header, 3)
	h.Set("Content-Type", "application/json")
	h.Set("X-Request-Id", r.ID)
	h.Set("X-Priority", strconv.Itoa(r.Priority))
	return c.open(ctx, call{transport: c.streamTransport, method: http.MethodPost, path: r.Path, header: h, body: b})
}

// Resume returns the rest of a generation's stream, starting after the given
// number of tokens. The context limits the rest of the stream. The engine sends
// the event with the finish reason again even if it was read before. The
// verdict of an error is may-have-run, because it refers to the request that
// Start sent.
func (c *Client) Resume(ctx context.Context, generationID string, after int) (*Stream, error) {
	p := "/v1/generations/" + escape(generationID) + "?after=" + strconv.Itoa(after)
	s, err := c.open(ctx, call{transport: c.streamTransport, method: http.MethodGet, path: p, timeout: c.config.SilenceTimeout})
	if err != nil {
		return nil, mayHaveRun(err)
	}
	s.tokens = after
	return s, nil
}

// Cancel ends a generation and frees its KV cache. It returns nil if the
// generation no longer exists.
func (c *Client) Cancel(ctx context.Context, generationID string) error {
	p := "/v1/generations/" + escape(generationID)
	res, cancel, err := c.do(ctx, call{transport: c.pooledTransport, method: http.MethodDelete, path: p})
	if err != nil && isUnknown(err) {
		return nil
	}
	if err != nil {
		return mayHaveRun(err)
	}
	defer cancel()
	return res.Body.Close()
}

// call is one HTTP request to the engine.
type call struct {
	transport *comfreyconnection.Transport
	method    string
	path      string
	header    http.Header
	body      []byte
	// timeout limits the time until the response headers arrive; zero or
	// negative means no limit.
	timeout time.Duration
}

// request returns the HTTP request for l.
func (c *Client) request(ctx context.Context, l call) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, l.method, c.config.BaseURL+l.path, bytes.NewReader(l.body))
	if err != nil {
		return nil, err
	}
	if l.header != nil {
		r.Header = l.header
	}
	return r, nil
}
