package comfreyrouter

import "time"

// Defaults of a Backoff.
const (
	defaultBackoffFirst = 10 * time.Millisecond
	defaultBackoffMax   = 10 * time.Second
	// toldJitter is the part of a told time that is added at random, so that
	// those who were told the same time do not come back together.
	toldJitter = 0.1
)

// Backoff is exponential back-off with full jitter. The zero value of each
// field selects its default. It is an immutable value.
type Backoff struct {
	// Base bounds the wait before the first retry; the default is 10 ms.
	Base time.Duration
	// Max bounds every wait that was not told; the default is 10 s.
	Max time.Duration
}

// Delay returns how long to wait before retry number try, from 1. A told time,
// such as a Retry-After, counts in place of the exponential one and is never
// cut short. Random is uniform in [0, 1).
func (b Backoff) Delay(try int, told time.Duration, random float64) time.Duration {
	if told > 0 {
		return told + time.Duration(random*toldJitter*float64(told))
	}
	first, limit := b.Base, b.Max
	if first <= 0 {
		first = defaultBackoffFirst
	}
	if limit <= 0 {
		limit = defaultBackoffMax
	}
	w := min(first, limit)
	for i := 1; i < try && w < limit; i++ {
		w = min(2*w, limit)
	}
	return time.Duration(random * float64(w))
}
