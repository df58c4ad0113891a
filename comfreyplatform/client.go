// Package comfreyplatform connects a process to the platform's read-and-watch
// service and to its peers. It executes the actions that comfreyconfig.Node
// decides on.
package comfreyplatform

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"comfreyridge.example/comfreyridge/comfreyconfig"
	"comfreyridge.example/comfreyridge/comfreyconnection"
)

// MaxValueSizeBytes is the largest value that the platform stores.
const MaxValueSizeBytes = 1 << 20

// RevisionHeader carries the revision number of a value.
const RevisionHeader = "Revision"

// Config configures a Client. The zero value of each field but URL selects its
// default.
type Config struct {
	// URL is the base URL of the platform, such as "http://10.0.0.1:7000".
	URL string
	// Timeout limits the time until a response begins, to which a watch adds its
	// wait time, and each pause in it. The default is 1.5 s. It should be below
	// comfreyconfig.Timing.CallTimeout.
	Timeout time.Duration
	// HTTP makes the calls. The default keeps idle connections for only 5 s, so
	// that a connection that delivers no more data is not reused for long.
	HTTP *http.Client
	// Now is the clock; time.Now by default.
	Now func() time.Time
}

const (
	defaultTimeout = 1500 * time.Millisecond
	idleTimeout    = 5 * time.Second
)

// Client reads from the platform. It is safe for concurrent use.
type Client struct {
	config Config
}

// New returns a client.
func New(c Config) *Client {
	if c.Timeout <= 0 {
		c.Timeout = defaultTimeout
	}
	if c.HTTP == nil {
		c.HTTP = &http.Client{Transport: comfreyconnection.NewTransport(&http.Transport{IdleConnTimeout: idleTimeout, MaxIdleConnsPerHost: 2})}
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	c.URL = strings.TrimSuffix(c.URL, "/")
	return &Client{config: c}
}

// ReadManifest reads the manifest.
func (c *Client) ReadManifest(ctx context.Context) comfreyconfig.ManifestResult {
	a := comfreyconfig.ManifestResult{SentAt: c.config.Now(), Kind: comfreyconfig.ActionReadManifest}
	v, err := c.get(ctx, "/v1/values/"+comfreyconfig.KeyManifest, c.config.Timeout)
	return manifestResponse(a, v, err)
}

// WatchManifest waits, for at most wait, until the manifest's revision number
// exceeds after.
func (c *Client) WatchManifest(ctx context.Context, after uint64, wait time.Duration) comfreyconfig.ManifestResult {
	a := comfreyconfig.ManifestResult{SentAt: c.config.Now(), Kind: comfreyconfig.ActionWatchManifest}
	q := url.Values{"key": {comfreyconfig.KeyManifest}, "after": {strconv.FormatUint(after, 10)}, "wait": {wait.String()}}
	v, err := c.get(ctx, "/v1/watch?"+q.Encode(), wait+c.config.Timeout)
	return manifestResponse(a, v, err)
}

func manifestResponse(a comfreyconfig.ManifestResult, v value, err error) comfreyconfig.ManifestResult {
	if err != nil {
		a.Failed = true
		return a
	}
	a.Unchanged, a.Hash, a.Number, a.Manifest = v.unchanged, v.hash, v.number, v.text
	return a
}

// Hosts reads the host list if its revision number exceeds after.
func (c *Client) Hosts(ctx context.Context, after uint64) comfreyconfig.HostsResult {
	v, err := c.get(ctx, "/v1/hosts?after="+strconv.FormatUint(after, 10), c.config.Timeout)
	if err != nil {
		return comfreyconfig.HostsResult{Failed: true}
	}
	return comfreyconfig.HostsResult{Unchanged: v.unchanged, Number: v.number, Text: v.text}
}

// Blobs reads the content of files. It stops at the first file that cannot be
// read; the result contains those before it.
func (c *Client) Blobs(ctx context.Context, hashes []comfreyconfig.Hash) comfreyconfig.FetchResult {
	var a comfreyconfig.FetchResult
	for _, h := range hashes {
		v, err := c.get(ctx, "/v1/values/"+comfreyconfig.KeyBlob(h), c.config.Timeout)
		if err != nil {
			a.Failed = true
			return a
		}
		a.Blobs = append(a.Blobs, v.text)
	}
	return a
}

// value is a response of the platform.
type value struct {
	number    uint64
	hash      comfreyconfig.Hash
	text      []byte
	unchanged bool
}

// get makes one call, whose response begins within the timeout. How long it then
// takes depends on the size of the value and the link.
func (c *Client) get(ctx context.Context, path string, timeout time.Duration) (value, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.config.URL+path, nil)
	if err != nil {
		return value{}, fmt.Errorf("comfreyplatform: %w", err)
	}
	t := comfreyconnection.Timeouts{Header: timeout, Silence: c.config.Timeout}
	p, err := t.RoundTrip(r, c.config.HTTP.Do)
	if err != nil {
		c.config.HTTP.CloseIdleConnections()
		return value{}, fmt.Errorf("comfreyplatform: %w", err)
	}
	v, err := readValue(p)
	if e := p.Body.Close(); err == nil && e != nil {
		err = fmt.Errorf("comfreyplatform: %w", e)
	}
	return v, err
}

// readValue reads a response.
func readValue(p *http.Response) (value, error) {
	var v value
	if p.StatusCode != http.StatusOK && p.StatusCode != http.StatusNotModified {
		return v, fmt.Errorf("comfreyplatform: the platform responded with status %s, expected 200 or 304", p.Status)
	}
	if s := p.Header.Get(RevisionHeader); s != "" {
		n, err := strconv.ParseUint(s, 10, 64)
		if err != nil {
			return v, fmt.Errorf("comfreyplatform: parsing the revision number: %w", err)
		}
		v.number = n
	}
	if t := strings.Trim(p.Header.Get("ETag"), `"`); t != "" {
		if err := v.hash.UnmarshalText([]byte(t)); err != nil {
			v.hash = comfreyconfig.Hash{}
		}
	}
	if p.StatusCode == http.StatusNotModified {
		v.unchanged = true
		return v, nil
	}
	b, err := io.ReadAll(io.LimitReader(p.Body, MaxValueSizeBytes+1))
	if err != nil {
		return v, fmt.Errorf("comfreyplatform: reading a value: %w", err)
	}
	if len(b) > MaxValueSizeBytes {
		return v, errors.New("comfreyplatform: a value exceeds the limit of 1 MiB")
	}
	v.text = b
	return v, nil
}
