package comfreyfleet

import "time"

// Defaults of a LeaseConfig.
const (
	defaultLeaseDuration = 3 * time.Second
	defaultLeaseMaxPause = time.Second
)

// LeaseConfig holds the bounds of a Lease. The zero value of each field
// selects its default.
type LeaseConfig struct {
	// Duration is how long knowledge may be acted on after a renewal; the
	// default is 3 s. A negative value makes the lease never valid.
	Duration time.Duration
	// MaxPause is the longest time between two calls of Wake that does not
	// count as a pause of the process; the default is 1 s.
	MaxPause time.Duration
}

// Lease bounds how long a process may act on what it last learned. A process
// that was paused finds its lease invalid on its next look, whatever it
// believed before, and has to learn anew. A new Lease is not valid until the
// first Renew. A Lease is not safe for concurrent use.
type Lease struct {
	config  LeaseConfig
	renewed time.Time
	woken   time.Time
	held    bool
}

// NewLease returns a lease that is not valid yet.
func NewLease(c LeaseConfig) *Lease {
	if c.Duration == 0 {
		c.Duration = defaultLeaseDuration
	}
	if c.MaxPause == 0 {
		c.MaxPause = defaultLeaseMaxPause
	}
	return &Lease{config: c}
}

// Renew records that the process learned at now that its knowledge holds.
func (l *Lease) Renew(now time.Time) {
	l.renewed = now
	l.woken = now
	l.held = true
}

// Revoke makes the lease invalid until the next Renew.
func (l *Lease) Revoke() {
	l.held = false
}

// DetectPause records a look at the clock and returns how long the process was
// paused, zero if it was not. A pause revokes the lease. A duty that runs at
// an interval below MaxPause calls DetectPause on each round.
func (l *Lease) DetectPause(now time.Time) time.Duration {
	if l.woken.IsZero() {
		l.woken = now
		return 0
	}
	p := elapsed(l.woken, now)
	l.woken = now
	if p <= l.config.MaxPause {
		return 0
	}
	l.held = false
	return p
}

// Valid reports whether the process may still act on what it knows. It is
// called right before each act that depends on that knowledge.
func (l *Lease) Valid(now time.Time) bool {
	if !l.held {
		return false
	}
	return elapsed(l.renewed, now) < l.config.Duration && elapsed(l.woken, now) <= l.config.MaxPause
}

// elapsed returns the time from a to b by the clock that advanced more. The
// monotonic clock does not count a suspended machine; the wall clock does.
func elapsed(a, b time.Time) time.Duration {
	return max(b.Sub(a), b.Round(0).Sub(a.Round(0)))
}
