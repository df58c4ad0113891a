package comfreygateway

import (
	"context"
	"math/rand/v2"
	"sync"

	"comfreyridge.example/comfreyridge/comfreyconfig"
	"comfreyridge.example/comfreyridge/comfreydecision"
	"comfreyridge.example/comfreyridge/comfreyrouter"
)

// retryReserve is how many retries a new gateway may send for a service before
// its requests have earned any.
const retryReserve = 2

// retriers holds one retrier a service. It is safe for concurrent use.
type retriers struct {
	mu        sync.Mutex
	byService map[string]*comfreyrouter.Retrier
}

func newRetriers() *retriers {
	return &retriers{byService: map[string]*comfreyrouter.Retrier{}}
}

// of returns the retrier of a service. The ratio counts when it is made.
func (b *retriers) of(service string, ratio float64) *comfreyrouter.Retrier {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.byService[service]
	if !ok {
		r = comfreyrouter.NewRetrier(comfreyrouter.RetrierConfig{
			Budget: comfreyrouter.NewRetryBudget(comfreyrouter.RetryConfig{Ratio: ratio, Reserve: retryReserve}),
		})
		b.byService[service] = r
	}
	return r
}

// retrier returns the retrier of a service.
func (g *Gateway) retrier(v comfreyconfig.Service) *comfreyrouter.Retrier {
	return g.retriers.of(v.Name, g.config.Settings().Limits().RetryRatio)
}

// again decides whether a failed attempt is followed by another, and waits for
// as long as that should wait.
func (g *Gateway) again(ctx context.Context, requestID string, v comfreyconfig.Service, host string, a comfreyrouter.Attempt) bool {
	if ctx.Err() != nil {
		return false
	}
	a.Random = rand.Float64()
	r := g.retrier(v).Next(g.config.Now(), a)
	g.metrics.retry(r.Reason, r.Again)
	g.recorder.Record(requestID, comfreydecision.KindRetry, r.Reason, map[string]any{"again": r.Again, "after": r.After, "host": host, "tries": a.Tries})
	if r.Again {
		wait(ctx, r.After)
	}
	return r.Again
}
