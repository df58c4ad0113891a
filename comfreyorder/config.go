package comfreyorder

import "time"

// The defaults of Config.
const (
	defaultLifetime             = 10 * time.Minute
	defaultRetention            = 10 * time.Minute
	defaultMaxTickets           = 16384
	defaultMaxOutcomeBytes      = 64 << 10
	defaultMaxTotalOutcomeBytes = 4 << 20
	// customerShareDivisor limits one customer to a quarter of the owner's
	// tickets by default.
	customerShareDivisor = 4
)

// Config configures an Owner. The zero value of a field selects its default, as
// does a negative number.
type Config struct {
	// Host is the host of this sidecar.
	Host string
	// Incarnation distinguishes this sidecar process from every earlier one on
	// the host.
	Incarnation uint64
	// Lifetime is the time from minting to a ticket's expiry. An order that has
	// not been forwarded by then is voided. The default is 10 minutes.
	Lifetime time.Duration
	// Retention is how long a record is retained after the ticket's expiry or
	// the order's completion, whichever is later. The default is 10 minutes.
	Retention time.Duration
	// MaxTickets limits the owner's records. The default is 16384.
	MaxTickets int
	// MaxCustomerTickets limits the records of one customer. The default is a
	// quarter of MaxTickets and at least 1.
	MaxCustomerTickets int
	// MaxOutcomeBytes limits the response body of one outcome; a longer one is
	// not retained. The default is 64 KiB.
	MaxOutcomeBytes int
	// MaxTotalOutcomeBytes limits the retained response bodies of all outcomes;
	// the oldest are dropped first. The default is 4 MiB.
	MaxTotalOutcomeBytes int
	// Nonce generates the nonce of a new ticket. The default is RandomNonce.
	Nonce func() Nonce
}

func (c Config) withDefaults() Config {
	c.Lifetime = positiveOr(c.Lifetime, defaultLifetime)
	c.Retention = positiveOr(c.Retention, defaultRetention)
	c.MaxTickets = positiveOr(c.MaxTickets, defaultMaxTickets)
	c.MaxCustomerTickets = positiveOr(c.MaxCustomerTickets, max(1, c.MaxTickets/customerShareDivisor))
	c.MaxOutcomeBytes = positiveOr(c.MaxOutcomeBytes, defaultMaxOutcomeBytes)
	c.MaxTotalOutcomeBytes = positiveOr(c.MaxTotalOutcomeBytes, defaultMaxTotalOutcomeBytes)
	if c.Nonce == nil {
		c.Nonce = RandomNonce
	}
	return c
}

func positiveOr[T int | time.Duration](v, d T) T {
	if v > 0 {
		return v
	}
	return d
}
