package comfreyconnection

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// Transport is an http.Transport whose responses without a length end only if their
// connection was closed in order, as those of a Pool do. It is safe for concurrent use.
type Transport struct {
	transport *http.Transport
}

// NewTransport returns a Transport that sends requests through t. It changes how t opens
// connections, so t must not be used by itself.
func NewTransport(t *http.Transport) *Transport {
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		n, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &checkedConn{Conn: n}, nil
	}
	return &Transport{transport: t}
}

// CloseIdleConnections closes the idle connections.
func (t *Transport) CloseIdleConnections() {
	t.transport.CloseIdleConnections()
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var used atomic.Pointer[checkedConn]
	trace := &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			if c, ok := i.Conn.(*checkedConn); ok {
				c.beginRequest()
				used.Store(c)
			}
		},
		WroteRequest: func(httptrace.WroteRequestInfo) {
			if c := used.Load(); c != nil {
				c.endRequest()
			}
		},
	}
	return t.transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
}
