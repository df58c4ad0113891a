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
	// Duration is how long the lease is valid after a renewal; the default
	// is 3 s. A negative value makes the lease never valid.
	Duration time.Duration
	// MaxPause is the longest time between two calls of DetectPause that does
	// not count as a pause of the process; the default is 1 s.
	MaxPause time.Duration
}

// Lease bounds how long a process may act on its last observed state. After a
// pause of the process the lease is invalid at the next check, whatever its
// remaining time was, until the state has been observed again. A new Lease is
// not valid until the first Renew. A Lease is not safe for concurrent use.
type Lease struct {
	config    LeaseConfig
	renewed   time.Time
	checked   time.Time
	isRenewed bool
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

// Renew records that the state was confirmed at now.
func (l *Lease) Renew(now time.Time) {
	l.renewed = now
	l.checked = now
	l.isRenewed = true
}

// Revoke makes the lease invalid until the next Renew.
func (l *Lease) Revoke() {
	l.isRenewed = false
}

// DetectPause records the time of this call and returns how long the process
// was paused since the previous one, or zero if it was not. A pause revokes the
// lease. A periodic task with an interval below MaxPause calls DetectPause each
// time it runs.
func (l *Lease) DetectPause(now time.Time) time.Duration {
	if l.checked.IsZero() {
		l.checked = now
		return 0
	}
	p := elapsed(l.checked, now)
	l.checked = now
	if p <= l.config.MaxPause {
		return 0
	}
	l.isRenewed = false
	return p
}

// Valid reports whether the process may still act on its last observed state.
// It is called immediately before each action that depends on that state.
func (l *Lease) Valid(now time.Time) bool {
	if !l.isRenewed {
		return false
	}
	return elapsed(l.renewed, now) < l.config.Duration && elapsed(l.checked, now) <= l.config.MaxPause
}

// elapsed returns the time from a to b by whichever clock advanced more. The
// monotonic clock does not advance while the machine is suspended; the wall
// clock does.
func elapsed(a, b time.Time) time.Duration {
	return max(b.Sub(a), b.Round(0).Sub(a.Round(0)))
}
