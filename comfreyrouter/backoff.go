package comfreyrouter

import "time"

// Defaults of a Backoff.
const (
	defaultBackoffBase = 10 * time.Millisecond
	defaultBackoffMax  = 10 * time.Second
	// retryAfterJitter is the share of a Retry-After delay that is added at
	// random, so that callers that were given the same delay do not return
	// together.
	retryAfterJitter = 0.1
)

// Backoff is exponential back-off with full jitter. The zero value of each
// field selects its default. It is an immutable value.
type Backoff struct {
	// Base bounds the delay before the first retry; the default is 10 ms.
	Base time.Duration
	// Max bounds every delay that is not a retryAfter; the default is 10 s.
	Max time.Duration
}

// Delay returns how long to wait before the retry with the number attempt, from
// 1. A retryAfter above zero, such as that of a Retry-After header, replaces
// the exponential delay and is never shortened. Random is uniform in [0, 1).
func (b Backoff) Delay(attempt int, retryAfter time.Duration, random float64) time.Duration {
	if retryAfter > 0 {
		return retryAfter + time.Duration(random*retryAfterJitter*float64(retryAfter))
	}
	base, limit := b.Base, b.Max
	if base <= 0 {
		base = defaultBackoffBase
	}
	if limit <= 0 {
		limit = defaultBackoffMax
	}
	w := min(base, limit)
	for i := 1; i < attempt && w < limit; i++ {
		w = min(2*w, limit)
	}
	return time.Duration(random * float64(w))
}
