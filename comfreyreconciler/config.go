package comfreyreconciler

import "time"

// The defaults of Config.
const (
	defaultOrderTimeout = 30 * time.Second
	defaultFreshness    = time.Second
	defaultPoll         = time.Second
	defaultReadInterval = 10 * time.Second
	// defaultLease is the longest lease that a predecessor may hold.
	defaultLease = 15 * time.Second
)

// Config holds the parts of a Mover. The zero value of a field selects its
// default; a negative duration counts as zero.
type Config struct {
	// Incarnation is the incarnation of this sidecar. It is larger than that of
	// every earlier sidecar of the upstream.
	Incarnation uint64
	// IsFencingEnforced means that the upstream refuses an old fencing number. A
	// mover of an upstream that ignores them sends its first order only when an
	// order of its predecessor can no longer be on its way.
	IsFencingEnforced bool
	// Start is when this sidecar started.
	Start time.Time
	// TakeoverDelay is how long after Start the first order waits if fencing numbers
	// are ignored. The default is OrderTimeout and 15 seconds, the longest lease
	// of a predecessor.
	TakeoverDelay time.Duration
	// CommandTimeout is how long an order may be on its way. The adapter gives up
	// an order within this time. The default is 30 seconds.
	CommandTimeout time.Duration
	// MaxStateAge is how old a state may be for an order to be based on it. The
	// default is one second.
	MaxStateAge time.Duration
	// PollInterval is the pause between two attempts to read or to renew the lease. The
	// default is one second.
	PollInterval time.Duration
	// ResyncInterval is how often the state is read back once it is the wanted
	// one, and so how long an order of a process that woke up late can stand at
	// an upstream that ignores fencing numbers. The default is 10 seconds.
	ResyncInterval time.Duration
}

func (c Config) withDefaults() Config {
	c.CommandTimeout = positive(c.CommandTimeout, defaultOrderTimeout)
	c.MaxStateAge = positive(c.MaxStateAge, defaultFreshness)
	c.PollInterval = positive(c.PollInterval, defaultPoll)
	c.ResyncInterval = positive(c.ResyncInterval, defaultReadInterval)
	c.TakeoverDelay = positive(c.TakeoverDelay, c.CommandTimeout+defaultLease)
	return c
}

func positive(v, d time.Duration) time.Duration {
	if v > 0 {
		return v
	}
	return d
}
