package comfreygossip

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"comfreyridge.example/comfreyridge/comfreyconnection"
)

// receivedKey is the context key of the counter that countReceived adds.
type receivedKey struct{}

// countReceived returns a context for one call through an exchangeTransport, and
// the number of bytes of the response body that have arrived.
func countReceived(ctx context.Context) (context.Context, *atomic.Int64) {
	n := &atomic.Int64{}
	return context.WithValue(ctx, receivedKey{}, n), n
}

// exchangeTransport limits exchanges by their progress, and counts the bytes of
// bodies; see countReceived.
type exchangeTransport struct {
	*comfreyconnection.Transport
	sent prometheus.Counter
}

// RoundTrip implements http.RoundTripper.
func (t *exchangeTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	t.sent.Add(float64(max(r.ContentLength, 0)))
	p, err := exchangeTimeouts.RoundTrip(r, t.Transport.RoundTrip)
	if n, ok := r.Context().Value(receivedKey{}).(*atomic.Int64); ok && err == nil {
		p.Body = &countingBody{ReadCloser: p.Body, received: n}
	}
	return p, err
}

type countingBody struct {
	io.ReadCloser
	received *atomic.Int64
}

// Read implements io.Reader.
func (b *countingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.received.Add(int64(n))
	return n, err
}
