package comfreyengine

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// errWriteBlocked is returned by a write on a connection whose request was
// abandoned or that belongs to no request.
var errWriteBlocked = errors.New("comfreyengine: write blocked: the request was abandoned before it was written")

// writeGuard records whether any byte of one request may have been written.
// Blocking it makes that state final, because later writes fail.
type writeGuard struct {
	mu         sync.Mutex
	hasWritten bool
	blocked    bool
}

// allowWrite records that a write begins. It returns false if writes are
// blocked.
func (g *writeGuard) allowWrite() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.blocked {
		return false
	}
	g.hasWritten = true
	return true
}

// block makes further writes fail and reports whether no write has begun.
func (g *writeGuard) block() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.blocked = true
	return !g.hasWritten
}

// guardedConn is a connection that checks each write with the guard of the
// request that uses it.
type guardedConn struct {
	net.Conn
	guard atomic.Pointer[writeGuard]
}

// Write implements net.Conn.
func (c *guardedConn) Write(b []byte) (int, error) {
	g := c.guard.Load()
	if g == nil || !g.allowWrite() {
		return 0, errWriteBlocked
	}
	return c.Conn.Write(b)
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// dialGuarded returns a dial function whose connections are guarded.
func dialGuarded(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		n, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &guardedConn{Conn: n}, nil
	}
}

// withWriteGuard returns a context that sets g as the guard of whichever
// connection the transport selects for the request.
func withWriteGuard(ctx context.Context, g *writeGuard) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			n := i.Conn // The transport wraps the connection that was dialed.
			if k, ok := n.(interface{ NetConn() net.Conn }); ok {
				n = k.NetConn()
			}
			if c, ok := n.(*guardedConn); ok {
				c.guard.Store(g)
			}
		},
	})
}
