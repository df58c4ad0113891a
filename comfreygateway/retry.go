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

// initialRetries is the retry budget of a service at a new gateway, before any
// request has added to it.
const initialRetries = 2

// retriers holds one retrier per service. It is safe for concurrent use.
type retriers struct {
	mu        sync.Mutex
	byService map[string]*comfreyrouter.Retrier
}

func newRetriers() *retriers {
	return &retriers{byService: map[string]*comfreyrouter.Retrier{}}
}

// get returns the retrier of a service and creates it if needed. The ratio is
// used only on creation.
func (b *retriers) get(service string, ratio float64) *comfreyrouter.Retrier {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.byService[service]
	if !ok {
		r = comfreyrouter.NewRetrier(comfreyrouter.RetrierConfig{
			Budget: comfreyrouter.NewRetryBudget(comfreyrouter.RetryBudgetConfig{Ratio: ratio, Initial: initialRetries}),
		})
		b.byService[service] = r
	}
	return r
}

func (g *Gateway) retrier(v comfreyconfig.Service) *comfreyrouter.Retrier {
	return g.retriers.get(v.Name, g.config.Settings().Limits().RetryRatio)
}

// awaitRetry reports whether a failed attempt should be followed by another,
// and waits for the retry delay if so.
func (g *Gateway) awaitRetry(ctx context.Context, requestID string, v comfreyconfig.Service, host string, a comfreyrouter.FailedAttempt) bool {
	if ctx.Err() != nil {
		return false
	}
	a.Random = rand.Float64()
	r := g.retrier(v).Decide(g.config.Now(), a)
	g.metrics.countRetry(r.Reason, r.ShouldRetry)
	g.recorder.Record(requestID, comfreydecision.KindRetry, r.Reason, map[string]any{"again": r.ShouldRetry, "after": r.Delay, "host": host, "tries": a.Attempts})
	if r.ShouldRetry {
		comfreygroup.Sleep(ctx, r.Delay)
	}
	return r.ShouldRetry
}

// attemptErrors combines the errors of the attempts of one request. The zero
// value holds none.
type attemptErrors struct {
	last     comfreyverdict.Error
	verdict  comfreyverdict.Verdict
	hasError bool
}

// add records the error of one attempt. ReasonNoUpstream does not replace an
// earlier error, which is more specific and may have a retry-after.
func (a *attemptErrors) add(e comfreyverdict.Error) {
	if !a.hasError {
		a.last, a.verdict, a.hasError = e, e.Verdict, true
		return
	}
	a.verdict = a.verdict.Join(e.Verdict)
	if e.Reason != comfreyverdict.ReasonNoUpstream {
		a.last = e
	}
}

// defaultRetryAfter is the retry-after of a request that did not run, for a
// transient reason, if the upstream gave none. Gateways detect a failed host
// and its replacement within about this time.
const defaultRetryAfter = 2 * time.Second

// final returns the error for the caller. Its verdict covers every attempt.
func (a *attemptErrors) final() comfreyverdict.Error {
	e := a.last
	e.Verdict = a.verdict
	isNotRun := e.Verdict == comfreyverdict.VerdictNotRun
	if isNotRun && e.RetryAfter == 0 && comfreyrouter.IsTransient(e.Reason) {
		e.RetryAfter = defaultRetryAfter
	}
	return e
}
