package comfreyadmission

import "time"

// Configure replaces the settings while requests are running and queued, and
// admits those that fit now. Queued requests stay queued even if the new limits
// are lower. A configuration without Lengths keeps the current model.
func (c *Controller) Configure(now time.Time, n Config) []Action {
	c.beginCall(now)
	if n.Lengths == nil {
		n.Lengths = c.config.Lengths
	}
	c.config = n.withDefaults()
	c.margin = c.config.Margin
	c.reservedTokens = 0
	for _, e := range c.running {
		c.reservedTokens += e.reservedTokens(c.config.DefaultMaxTokens)
	}
	for name, a := range c.customers {
		a.weight = c.weight(name)
	}
	c.admitQueued(now)
	return c.endCall()
}
