// Package comfreyplatform connects a process to the platform's read-and-watch
// service and to its peers, and runs the decisions of comfreyconfig.Node.
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
)

// MaxValueSizeBytes is the largest value that the platform holds.
const MaxValueSizeBytes = 1 << 20

// RevisionHeader carries the number of a value.
const RevisionHeader = "Revision"

// Config configures a Client. The zero value of each field but URL selects its
// default.
type Config struct {
	// URL is the base URL of the platform, such as "http://10.0.0.1:7000".
	URL string
	// Timeout bounds a call, besides the time that a watch waits; 1.5 s by
	// default. It is to be below comfreyconfig.Timing.Answer.
	Timeout time.Duration
	// HTTP makes the calls; the default keeps connections for a few seconds
	// only, so that one that went silent is not used for long.
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
		c.HTTP = &http.Client{Transport: &http.Transport{IdleConnTimeout: idleTimeout, MaxIdleConnsPerHost: 2}}
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	c.URL = strings.TrimSuffix(c.URL, "/")
	return &Client{config: c}
}

// ReadManifest reads the manifest.
func (c *Client) ReadManifest(ctx context.Context) comfreyconfig.PlatformAnswer {
	a := comfreyconfig.PlatformAnswer{Asked: c.config.Now(), Kind: comfreyconfig.ActionRead}
	v, err := c.get(ctx, "/v1/values/"+comfreyconfig.KeyManifest, c.config.Timeout)
	return manifestAnswer(a, v, err)
}

// WatchManifest waits until the manifest's number is above after, for at most wait.
func (c *Client) WatchManifest(ctx context.Context, after uint64, wait time.Duration) comfreyconfig.PlatformAnswer {
	a := comfreyconfig.PlatformAnswer{Asked: c.config.Now(), Kind: comfreyconfig.ActionWatch}
	q := url.Values{"key": {comfreyconfig.KeyManifest}, "after": {strconv.FormatUint(after, 10)}, "wait": {wait.String()}}
	v, err := c.get(ctx, "/v1/watch?"+q.Encode(), wait+c.config.Timeout)
	return manifestAnswer(a, v, err)
}

func manifestAnswer(a comfreyconfig.PlatformAnswer, v value, err error) comfreyconfig.PlatformAnswer {
	if err != nil {
		a.Failed = true
		return a
	}
	a.Unchanged, a.Hash, a.Number, a.Manifest = v.unchanged, v.hash, v.number, v.text
	return a
}

// Hosts reads the host list if its number is above after.
func (c *Client) Hosts(ctx context.Context, after uint64) comfreyconfig.HostsAnswer {
	v, err := c.get(ctx, "/v1/hosts?after="+strconv.FormatUint(after, 10), c.config.Timeout)
	if err != nil {
		return comfreyconfig.HostsAnswer{Failed: true}
	}
	return comfreyconfig.HostsAnswer{Unchanged: v.unchanged, Number: v.number, Text: v.text}
}

// Blobs reads the content of files. It stops at the first that cannot be read;
// the answer holds those before it.
func (c *Client) Blobs(ctx context.Context, hashes []comfreyconfig.Hash) comfreyconfig.FetchAnswer {
	var a comfreyconfig.FetchAnswer
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

// value is an answer of the platform.
type value struct {
	number    uint64
	hash      comfreyconfig.Hash
	text      []byte
	unchanged bool
}

// get makes one call.
func (c *Client) get(ctx context.Context, path string, limit time.Duration) (value, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.config.URL+path, nil)
	if err != nil {
		return value{}, fmt.Errorf("comfreyplatform: %w", err)
	}
	p, err := c.config.HTTP.Do(r)
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

// readValue reads one answer.
func readValue(p *http.Response) (value, error) {
	var v value
	if p.StatusCode != http.StatusOK && p.StatusCode != http.StatusNotModified {
		return v, fmt.Errorf("comfreyplatform: the platform answered %s", p.Status)
	}
	if s := p.Header.Get(RevisionHeader); s != "" {
		n, err := strconv.ParseUint(s, 10, 64)
		if err != nil {
			return v, fmt.Errorf("comfreyplatform: reading the number: %w", err)
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
		return v, errors.New("comfreyplatform: a value exceeds 1 MiB")
	}
	v.text = b
	return v, nil
}
