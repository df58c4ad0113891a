package comfreyengine

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// errFenced is returned to a write that comes after its request was given up.
var errFenced = errors.New("comfreyengine: the request was given up before it was written")

// proof tells whether any byte of one request may have left. Fencing it makes
// the answer final: a later write fails.
type proof struct {
	mu     sync.Mutex
	wrote  bool
	fenced bool
}

// begin records a write. It reports false if the request was given up.
func (p *proof) begin() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fenced {
		return false
	}
	p.wrote = true
	return true
}

// fence forbids further writes and reports whether none was begun.
func (p *proof) fence() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fenced = true
	return !p.wrote
}

// provedConn is a connection that reports its writes to the proof of the
// request that holds it.
type provedConn struct {
	net.Conn
	proof atomic.Pointer[proof]
}

// Write implements net.Conn.
func (c *provedConn) Write(b []byte) (int, error) {
	p := c.proof.Load()
	if p == nil || !p.begin() {
		return 0, errFenced
	}
	return c.Conn.Write(b)
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// dialProved makes dial return connections that report their writes.
func dialProved(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		n, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &provedConn{Conn: n}, nil
	}
}

// withProof returns a context whose request reports its writes to p, on
// whichever connection the transport gives to it.
func withProof(ctx context.Context, p *proof) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			if c, ok := i.Conn.(*provedConn); ok {
				c.proof.Store(p)
			}
		},
	})
}
