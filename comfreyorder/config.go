package comfreyorder

import "time"

// The defaults of Config.
const (
	defaultLifetime              = 10 * time.Minute
	defaultRetention             = 10 * time.Minute
	defaultMaxTickets            = 16384
	defaultMaxOutcomeBytes       = 64 << 10
	defaultMaxTotalOutcomesBytes = 4 << 20
	// customerShare is the part of an owner's tickets that one customer may
	// hold by default.
	customerShare = 4
)

// Config holds the parts of an Owner. The zero value of a field selects its
// default; a negative number counts as zero.
type Config struct {
	// Host is the host of this sidecar.
	Host string
	// Incarnation distinguishes this process from every earlier one on the host.
	Incarnation uint64
	// Lifetime is how long after minting an order may begin. The default is
	// 10 minutes.
	Lifetime time.Duration
	// Retention is how long a record is kept after the ticket's expiry and after
	// the order's completion, whichever is later. The default is 10 minutes.
	Retention time.Duration
	// MaxTickets bounds the records that the owner holds. The default is 16384.
	MaxTickets int
	// MaxCustomerTickets bounds the records of one customer. The default is a
	// quarter of MaxTickets and at least 1.
	MaxCustomerTickets int
	// MaxOutcomeBytes bounds the body that is kept of one outcome. The default
	// is 64 KiB.
	MaxOutcomeBytes int
	// MaxTotalOutcomeBytes bounds the bodies of all kept outcomes; the oldest are
	// dropped first. The default is 4 MiB.
	MaxTotalOutcomeBytes int
	// Nonce draws the nonce of a new ticket. The default is RandomNonce.
	Nonce func() Nonce
}

func (c Config) withDefaults() Config {
	c.Lifetime = positive(c.Lifetime, defaultLifetime)
	c.Retention = positive(c.Retention, defaultRetention)
	c.MaxTickets = positive(c.MaxTickets, defaultMaxTickets)
	c.MaxCustomerTickets = positive(c.MaxCustomerTickets, max(1, c.MaxTickets/customerShare))
	c.MaxOutcomeBytes = positive(c.MaxOutcomeBytes, defaultMaxOutcomeBytes)
	c.MaxTotalOutcomeBytes = positive(c.MaxTotalOutcomeBytes, defaultMaxTotalOutcomesBytes)
	if c.Nonce == nil {
		c.Nonce = RandomNonce
	}
	return c
}

func positive[T int | time.Duration](v, d T) T {
	if v > 0 {
		return v
	}
	return d
}
