// Package comfreyrelay forwards TCP connections on loopback and breaks them on
// demand: it silences, cuts, refuses and delays them. Tests put it between two
// processes.
package comfreyrelay

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"comfreyridge.example/comfreyridge/comfreygroup"
)

// Config holds the settings of a Relay.
type Config struct {
	// Target is the TCP address that connections are forwarded to.
	Target string
	// Listen is the address to listen on; the default is a free loopback port.
	Listen string
}

// Relay forwards connections to one target. It is safe for concurrent use.
type Relay struct {
	config  Config
	address string
	group   *comfreygroup.Group

	mu       sync.Mutex
	listener net.Listener
	pairs    map[*pair]struct{}
	faults   faults
	accepted int
	closed   bool
}

// faults are the switches that apply to new connections and new bytes.
type faults struct {
	delay time.Duration
	cut   *cutPoint
}

// New returns a relay that listens.
func New(c Config) (*Relay, error) {
	if c.Listen == "" {
		c.Listen = "127.0.0.1:0"
	}
	r := &Relay{
		config: c,
		group:  comfreygroup.New(context.Background()),
		pairs:  make(map[*pair]struct{}),
	}
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return nil, fmt.Errorf("comfreyrelay: %w", err)
	}
	r.address = l.Addr().String()
	r.listen(l)
	return r, nil
}

// Addr returns the address that the relay listens on. Refuse and Restore keep
// it.
func (r *Relay) Addr() string {
	return r.address
}

// URL returns the address as an http URL.
func (r *Relay) URL() string {
	return "http://" + r.address
}

// Accepted returns how many connections the relay has taken.
func (r *Relay) Accepted() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.accepted
}

// Close closes the relay and its connections.
func (r *Relay) Close() error {
	r.mu.Lock()
	r.closed = true
	if r.listener != nil {
		_ = r.listener.Close()
	}
	r.mu.Unlock()
	r.Cut()
	r.group.Stop()
	return r.group.Wait()
}

// listen accepts connections from l. The caller holds r.mu or is the
// constructor.
func (r *Relay) listen(l net.Listener) {
	r.listener = l
	r.group.Go("accept", func(ctx context.Context) error {
		for {
			n, err := l.Accept()
			if err != nil {
				return nil
			}
			r.group.Go("connect", func(context.Context) error {
				r.connect(ctx, n)
				return nil
			})
		}
	})
}

// connect joins a new connection to the target.
func (r *Relay) connect(ctx context.Context, caller net.Conn) {
	var d net.Dialer
	target, err := d.DialContext(ctx, "tcp", r.config.Target)
	if err != nil {
		_ = caller.Close()
		return
	}
	p := r.join(caller, target)
	if p == nil {
		return
	}
	r.group.Go("to target", func(context.Context) error {
		p.pump(DirectionToTarget)
		return nil
	})
	p.pump(DirectionToCaller)
	<-p.done
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pairs, p)
}

// join registers a pair of connections. It returns nil if the relay is closed.
func (r *Relay) join(caller, target net.Conn) *pair {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := newPair(caller, target, r.faults)
	if r.closed {
		p.close()
		return nil
	}
	r.accepted++
	r.pairs[p] = struct{}{}
	return p
}
