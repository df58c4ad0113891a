package comfreyadmission

import "time"

// Configure replaces the settings while requests run and wait, and admits
// those that fit now. Requests that wait stay queued even if the new limits
// are lower. A configuration without Lengths keeps the distributions learned
// so far.
func (c *Controller) Configure(now time.Time, n Config) []Action {
	c.begin(now)
	if n.Lengths == nil {
		n.Lengths = c.config.Lengths
	}
	c.config = n.withDefaults()
	c.margin = c.config.Margin
	c.reserved = 0
	for _, e := range c.running {
		c.reserved += e.reserved(c.config.DefaultMaxTokens)
	}
	for name, a := range c.accounts {
		a.weight = c.weight(name)
	}
	c.fill(now)
	return c.end()
}
