package comfreyreconciler

import "time"

// Defaults of a Config.
const (
	defaultCommandTimeout = 30 * time.Second
	defaultMaxStateAge    = time.Second
	defaultPollInterval   = time.Second
	defaultResyncInterval = 10 * time.Second
	// maxPredecessorLease is the longest lease that a predecessor may hold.
	maxPredecessorLease = 15 * time.Second
)

// Config configures a Reconciler. The zero value of a field selects its
// default; a negative duration counts as zero.
type Config struct {
	// Incarnation is the incarnation of this sidecar. It is larger than that of
	// every earlier sidecar of the upstream.
	Incarnation uint64
	// IsFencingEnforced means that the upstream refuses an old fencing number. If
	// the upstream ignores fencing numbers, the reconciler sends its first command
	// only when a command of its predecessor can no longer be in flight.
	IsFencingEnforced bool
	// Start is when this sidecar started.
	Start time.Time
	// TakeoverDelay is how long after Start the first command is sent at the
	// earliest if fencing numbers are ignored. The default is CommandTimeout plus
	// 15 seconds, the longest lease of a predecessor.
	TakeoverDelay time.Duration
	// CommandTimeout is how long a command may be in flight. The sidecar gives up
	// a command within this time. The default is 30 seconds.
	CommandTimeout time.Duration
	// MaxStateAge is how old an observed state may be for a command to be based on
	// it. The default is one second.
	MaxStateAge time.Duration
	// PollInterval is the pause between two attempts to read the state or to renew
	// the lease. The default is one second.
	PollInterval time.Duration
	// ResyncInterval is how often the state is read back once it is the desired
	// one. At an upstream that ignores fencing numbers it is also how long a stale
	// command of a process that was paused can stay in effect. The default is 10
	// seconds.
	ResyncInterval time.Duration
}

func (c Config) withDefaults() Config {
	c.CommandTimeout = orDefault(c.CommandTimeout, defaultCommandTimeout)
	c.MaxStateAge = orDefault(c.MaxStateAge, defaultMaxStateAge)
	c.PollInterval = orDefault(c.PollInterval, defaultPollInterval)
	c.ResyncInterval = orDefault(c.ResyncInterval, defaultResyncInterval)
	c.TakeoverDelay = orDefault(c.TakeoverDelay, c.CommandTimeout+maxPredecessorLease)
	return c
}

func orDefault(v, d time.Duration) time.Duration {
	if v > 0 {
		return v
	}
	return d
}
