// Package comfreyengine is the client of an engine's published API. It starts,
// resumes and cancels streams, and tells of every failure whether the request
// may have run.
package comfreyengine

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Defaults of Config.
const (
	defaultDialTimeout  = 2 * time.Second
	defaultIdleTime     = 10 * time.Second
	defaultMaxLineBytes = 1 << 20
	defaultSilenceTime  = 5 * time.Second
	maxIdleConnections  = 8
)

// Config holds the settings of a Client. The zero value of each field but
// BaseURL selects its default.
type Config struct {
	// BaseURL is the address of the engine, such as "http://127.0.0.1:8000".
	BaseURL string
	// DialTimeout bounds the set-up of a connection; the default is 2 seconds.
	DialTimeout time.Duration
	// IdleTimeout is how long an unused connection for reports and orders is kept;
	// the default is 10 seconds.
	IdleTimeout time.Duration
	// SilenceTimeout is how long a stream may stay silent before its reader
	// attaches to the generation anew, on a new connection; it does so after one
	// to two of these times. The default is 5 seconds. A negative time never
	// does, and neither does a stream whose engine states no generation id.
	SilenceTimeout time.Duration
	// MaxLineBytes bounds a line of a stream; the default is 1 MiB.
	MaxLineBytes int
}

// Client talks to one engine. It is safe for concurrent use.
type Client struct {
	config Config
	// streams opens a new connection for each stream, since a pooled one may
	// have gone silent. It also sends no request twice on its own.
	streams *http.Transport
	// reports pools its connections.
	reports *http.Transport
}

// New returns a client. It opens no connection.
func New(c Config) *Client {
	if c.DialTimeout <= 0 {
		c.DialTimeout = defaultDialTimeout
	}
	if c.IdleTimeout <= 0 {
		c.IdleTimeout = defaultIdleTime
	}
	if c.MaxLineBytes <= 0 {
		c.MaxLineBytes = defaultMaxLineBytes
	}
	if c.SilenceTimeout == 0 {
		c.SilenceTimeout = defaultSilenceTime
	}
	c.BaseURL = strings.TrimRight(c.BaseURL, "/")
	d := &net.Dialer{Timeout: c.DialTimeout}
	s := &http.Transport{
		DialContext:        dialProved(d.DialContext),
		DisableKeepAlives:  true,
		DisableCompression: true,
	}
	r := &http.Transport{
		DialContext:         dialProved(d.DialContext),
		IdleConnTimeout:     c.IdleTimeout,
		MaxIdleConns:        maxIdleConnections,
		MaxIdleConnsPerHost: maxIdleConnections,
		DisableCompression:  true,
	}
	return &Client{config: c, streams: s, reports: r}
}

// Close closes the unused connections.
func (c *Client) Close() {
	c.reports.CloseIdleConnections()
}

// Request is one completion request.
type Request struct {
	// ID is the request id; the engine sees it as X-Request-Id.
	ID string
	// Path is "/v1/completions" or "/v1/chat/completions".
	Path string
	// Body is the caller's JSON object. Start asks for a stream and for usage
	// if the body does not; it leaves unknown fields as they are.
	Body []byte
	// Priority is sent as X-Priority; a smaller number is served first.
	Priority int
}

// Start sends a request and returns its stream once the engine has taken it.
// The context bounds the whole stream. The error is a comfreyverdict.Error: it
// says not-run only if the engine refused the request or no byte was written.
func (c *Client) Start(ctx context.Context, r Request) (*Stream, error) {
	b, err := streamingBody(r.Body)
	if err != nil {
		return nil, err
	}
	h := make(http.Header, 3)
	h.Set("Content-Type", "application/json")
	h.Set("X-Request-Id", r.ID)
	h.Set("X-Priority", strconv.Itoa(r.Priority))
	return c.open(ctx, call{transport: c.streams, method: http.MethodPost, path: r.Path, header: h, body: b})
}

// Resume continues the stream of a generation after its first tokens. The
// context bounds the rest of the stream. The event with the finish reason comes
// again if it was read before. The error says may-have-run, for it speaks of the
// request that Start sent.
func (c *Client) Resume(ctx context.Context, generationID string, after int) (*Stream, error) {
	p := "/v1/generations/" + escape(generationID) + "?after=" + strconv.Itoa(after)
	s, err := c.open(ctx, call{transport: c.streams, method: http.MethodGet, path: p, limit: c.config.SilenceTimeout})
	if err != nil {
		return nil, mayHaveRun(err)
	}
	s.tokens = after
	return s, nil
}

// Cancel ends a generation and frees its memory. A generation that no longer
// exists is no error.
func (c *Client) Cancel(ctx context.Context, generationID string) error {
	p := "/v1/generations/" + escape(generationID)
	res, cancel, err := c.do(ctx, call{transport: c.reports, method: http.MethodDelete, path: p})
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
	transport *http.Transport
	method    string
	path      string
	header    http.Header
	body      []byte
	// limit bounds the time until the answer's headers; zero or below does not.
	limit time.Duration
}

// request returns the HTTP request of c.
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
