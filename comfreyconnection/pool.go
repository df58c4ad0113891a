// Package comfreyconnection sends HTTP/1.1 requests to replicas, one at a time
// on each connection, and reports for each failure whether the request can have
// reached the replica. Data that a replica sends after the end of a response,
// or a response to an earlier request, never becomes part of another response. Responses
// that violate HTTP/1.1 or break off are errors, also through the Transport, which is for
// callers of net/http.
package comfreyconnection

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"comfreyridge.example/comfreyridge/comfreygroup"
)

// The defaults of Config.
const (
	// defaultDialTimeout covers one lost SYN packet, which the kernel
	// retransmits after one second.
	defaultDialTimeout = 1300 * time.Millisecond
	// defaultIdleTimeout suits replicas that state no keep-alive time; they
	// close idle connections after some seconds.
	defaultIdleTimeout = 3 * time.Second
	// defaultMaxIdle is the number of idle connections kept for each replica.
	defaultMaxIdle = 4
	// defaultSilenceTimeout equals the time after which a host that was cut off
	// counts as impaired (contactMs).
	defaultSilenceTimeout = 3 * time.Second
	// idleMargin is how long before the replica's keep-alive time a connection
	// is closed.
	idleMargin = time.Second
)

// Config holds the settings of a Pool. The zero value of each field selects its
// default.
type Config struct {
	// Dial opens a connection; the default uses net.Dialer.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// DialTimeout limits the time to open a connection; 1.3 s by default.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept at most; a shorter
	// keep-alive time of the replica takes precedence. The default is 3 s.
	IdleTimeout time.Duration
	// MaxIdle is the number of idle connections kept for each address; 4 by default.
	MaxIdle int
	// SilenceTimeout is how long sent data may stay unacknowledged before the
	// connection counts as lost; 3 s by default.
	SilenceTimeout time.Duration
	// Now is the clock; time.Now by default.
	Now func() time.Time
	// OnOpen is called after a connection was opened; the default does nothing.
	OnOpen func(address string)
}

// Pool keeps idle connections to replicas for reuse. It is safe for concurrent
// use.
type Pool struct {
	config Config
	group  *comfreygroup.Group

	mu   sync.Mutex
	idle map[string][]*connection
}

// NewPool returns a pool whose goroutines belong to g.
func NewPool(g *comfreygroup.Group, c Config) *Pool {
	if c.DialTimeout <= 0 {
		c.DialTimeout = defaultDialTimeout
	}
	if c.IdleTimeout <= 0 {
		c.IdleTimeout = defaultIdleTimeout
	}
	if c.MaxIdle <= 0 {
		c.MaxIdle = defaultMaxIdle
	}
	if c.SilenceTimeout <= 0 {
		c.SilenceTimeout = defaultSilenceTimeout
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	p := &Pool{config: c, group: g, idle: map[string][]*connection{}}
	if c.Dial == nil {
		p.config.Dial = p.dial
	}
	return p
}

// dial opens a connection that fails once its peer stops acknowledging.
func (p *Pool) dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: p.config.DialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable:   true,
		Idle:     p.config.SilenceTimeout / 2,
		Interval: time.Second,
		Count:    2,
	}, Control: userTimeoutControl(p.config.SilenceTimeout)}
	return d.DialContext(ctx, "tcp", address)
}

// take returns an idle connection that can be reused for a request, or nil. If the
// request was sent on a connection before, a second copy of the response would be taken
// for the new one, so that connection is closed.
func (p *Pool) take(address, requestID string) *connection {
	for {
		c := p.pop(address)
		if c == nil {
			return nil
		}
		isRepeat := requestID != "" && c.requestID == requestID
		if !isRepeat && p.config.Now().Before(c.expires) && c.isIdle() {
			return c
		}
		c.close()
	}
}

func (p *Pool) pop(address string) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.idle[address]
	if len(l) == 0 {
		return nil
	}
	c := l[len(l)-1]
	p.idle[address] = l[:len(l)-1]
	return c
}

// put keeps a connection for reuse, or closes it if it expires too soon or the
// limit of idle connections is reached.
func (p *Pool) put(c *connection) {
	keep := p.config.IdleTimeout
	if c.keepAlive > 0 {
		keep = min(keep, c.keepAlive-idleMargin)
	}
	c.expires = p.config.Now().Add(keep)
	p.mu.Lock()
	defer p.mu.Unlock()
	if keep <= 0 || len(p.idle[c.address]) >= p.config.MaxIdle {
		c.close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// open opens a new connection.
func (p *Pool) open(ctx context.Context, address string) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, p.config.DialTimeout)
	defer cancel()
	n, err := p.config.Dial(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("comfreyconnection: dialing a replica: %w", err)
	}
	if p.config.OnOpen != nil {
		p.config.OnOpen(address)
	}
	return newConnection(address, n), nil
}

// Dial opens a connection to an address and keeps it for requests of callers.
func (p *Pool) Dial(ctx context.Context, address string) error {
	c, err := p.open(ctx, address)
	if err != nil {
		return err
	}
	p.put(c)
	return nil
}

// Sweep closes idle connections that have expired, or on which data has arrived that
// belongs to no request. It should be called about once a second.
func (p *Pool) Sweep() {
	now := p.config.Now()
	var old []*connection
	p.mu.Lock()
	for a, l := range p.idle {
		kept := l[:0]
		for _, c := range l {
			if now.Before(c.expires) && c.isIdle() {
				kept = append(kept, c)
			} else {
				old = append(old, c)
			}
		}
		p.idle[a] = kept
		if len(kept) == 0 {
			delete(p.idle, a)
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		c.close()
	}
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	old := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range old {
		c.close()
	}
}
