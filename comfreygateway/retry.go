package comfreygateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"comfreyridge.example/comfreyridge/comfreyconfig"
	"comfreyridge.example/comfreyridge/comfreydecision"
	"comfreyridge.example/comfreyridge/comfreygroup"
	"comfreyridge.example/comfreyridge/comfreyrouter"
	"comfreyridge.example/comfreyridge/comfreyverdict"
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
			Budget: comfreyrouter.NewRetryBudget(comfreyrouter.RetryBudgetConfig{Ratio: ratio, Initial: retryReserve}),
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
func (g *Gateway) again(ctx context.Context, requestID string, v comfreyconfig.Service, host string, a comfreyrouter.FailedAttempt) bool {
	if ctx.Err() != nil {
		return false
	}
	a.Random = rand.Float64()
	r := g.retrier(v).Decide(g.config.Now(), a)
	g.metrics.retry(r.Reason, r.ShouldRetry)
	g.recorder.Record(requestID, comfreydecision.KindRetry, r.Reason, map[string]any{"again": r.ShouldRetry, "after": r.Delay, "host": host, "tries": a.Attempts})
	if r.ShouldRetry {
		comfreygroup.Sleep(ctx, r.Delay)
	}
	return r.ShouldRetry
}

// failures collects how the attempts of one request ended. The zero value holds
// none.
type failures struct {
	last    comfreyverdict.Error
	verdict comfreyverdict.Verdict
	any     bool
}

// add takes one more attempt. That no further upstream was found says less than
// the refusal of the one before, which may tell when to come back.
func (f *failures) add(e comfreyverdict.Error) {
	if !f.any {
		f.last, f.verdict, f.any = e, e.Verdict, true
		return
	}
	f.verdict = f.verdict.Join(e.Verdict)
	if e.Reason != comfreyverdict.ReasonNoUpstream {
		f.last = e
	}
}

// defaultReturn is when a caller may come back whose request did not run, where
// nobody knows better. Gateways learn of a failed host and its replacement in
// about this time.
const defaultReturn = 2 * time.Second

// final returns the answer to the caller. Its verdict covers every attempt.
func (f *failures) final() comfreyverdict.Error {
	e := f.last
	e.Verdict = f.verdict
	isNotRun := e.Verdict == comfreyverdict.VerdictNotRun
	if isNotRun && e.RetryAfter == 0 && comfreyrouter.IsTransient(e.Reason) {
		e.RetryAfter = defaultReturn
	}
	return e
}
