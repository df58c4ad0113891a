// Package comfreyconnection sends HTTP/1.1 requests to replicas, one at a time
// on a connection, and tells for each failure whether the request can have
// reached the replica. Bytes that a replica sends beyond an answer, or an
// answer to an earlier request, never become part of another answer.
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
	// defaultDialTimeout covers a lost opening packet, which the kernel sends
	// again after one second.
	defaultDialTimeout = 1300 * time.Millisecond
	// defaultIdleTime is how long a connection is kept that named no time of
	// its own; replicas close idle connections after some seconds.
	defaultIdleTime = 3 * time.Second
	// defaultMaxIdle is how many idle connections are kept for each replica.
	defaultMaxIdle = 4
	// defaultSilence is how long sent bytes may stay unacknowledged before the
	// connection counts as dead. It is the time after which a host that was
	// cut off counts as impaired (contactMs).
	defaultSilence = 3 * time.Second
	// idleMargin is how much sooner than the replica a connection is given up.
	idleMargin = time.Second
)

// Config holds the settings of a Pool. The zero value of each field selects
// its default.
type Config struct {
	// Dial opens a connection; net.Dialer by default.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// DialTimeout bounds the opening of a connection; 1.3 s by default.
	DialTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept; 3 s by default.
	IdleTimeout time.Duration
	// MaxIdle is how many unused connections are kept for each address; 4 by
	// default.
	MaxIdle int
	// SilenceTimeout is how long sent bytes may stay unacknowledged; 3 s by default.
	SilenceTimeout time.Duration
	// Now is the clock; time.Now by default.
	Now func() time.Time
	// OnOpen is called after each new connection; nothing by default.
	OnOpen func(address string)
}

// Pool keeps connections to replicas. It is safe for concurrent use.
type Pool struct {
	config Config
	group  *comfreygroup.Group

	mu   sync.Mutex
	idle map[string][]*connection
}

// NewPool returns a pool whose goroutines belong to a group.
func NewPool(g *comfreygroup.Group, c Config) *Pool {
	if c.DialTimeout <= 0 {
		c.DialTimeout = defaultDialTimeout
	}
	if c.IdleTimeout <= 0 {
		c.IdleTimeout = defaultIdleTime
	}
	if c.MaxIdle <= 0 {
		c.MaxIdle = defaultMaxIdle
	}
	if c.SilenceTimeout <= 0 {
		c.SilenceTimeout = defaultSilence
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

// dial opens a connection that notices a silent peer.
func (p *Pool) dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: p.config.DialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable:   true,
		Idle:     p.config.SilenceTimeout / 2,
		Interval: time.Second,
		Count:    2,
	}, Control: limitSilence(p.config.SilenceTimeout)}
	return d.DialContext(ctx, "tcp", address)
}

// take returns an idle connection that is still usable, or nil.
func (p *Pool) take(address string) *connection {
	for {
		c := p.pop(address)
		if c == nil {
			return nil
		}
		if p.config.Now().Before(c.expires) && c.isQuiet() {
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

// put keeps a connection for later requests.
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

// open returns a new connection.
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

// Sweep closes connections that have been idle for too long. It is to be
// called about every second.
func (p *Pool) Sweep() {
	now := p.config.Now()
	var old []*connection
	p.mu.Lock()
	for a, l := range p.idle {
		kept := l[:0]
		for _, c := range l {
			if now.Before(c.expires) {
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
	l := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range l {
		c.close()
	}
}
