package comfreyconnection

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"
)

// Transport is an http.Transport that checks responses as a Pool does. Those that violate
// HTTP/1.1 are an ErrMalformedResponse, and those without a length end only if their
// connection was closed in order. It is safe for concurrent use.
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
		Got1xxResponse: func(_ int, fields textproto.MIMEHeader) error {
			return checkFieldNames(http.Header(fields))
		},
	}
	a, err := t.transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	c := used.Load()
	if err != nil {
		return nil, c.explain(r.Context(), err)
	}
	if c != nil {
		err = checkHead(a, c.endRecord())
	} else {
		err = checkFields(a) // The connection is encrypted.
	}
	if err != nil {
		_ = a.Body.Close() // The response is refused for another reason.
		return nil, err
	}
	a.Body = &checkedBody{ReadCloser: a.Body, head: a, connection: c, context: r.Context()}
	return a, nil
}

// checkedBody is the body of a response whose errors are explained and whose trailer is
// checked.
type checkedBody struct {
	io.ReadCloser
	head *http.Response
	// connection is nil if it is encrypted.
	connection *checkedConn
	context    context.Context
}

// Read implements io.Reader.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	err = checkEnd(err, b.head)
	if err != nil && !errors.Is(err, io.EOF) {
		err = b.connection.explain(b.context, err)
	}
	return n, err
}
