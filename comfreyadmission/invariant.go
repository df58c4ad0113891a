package comfreyadmission

import (
	"time"

	"comfreyridge.example/comfreyridge/comfreyinvariant"
)

// InvariantConservation says that each submitted request is queued, running or
// ended, and in one of them only.
const InvariantConservation comfreyinvariant.Name = "admission-conservation"

// InvariantMemory says that the memory in use is the sum over the running
// generations.
const InvariantMemory comfreyinvariant.Name = "admission-memory"

// auditInterval is how many calls lie between two sums over all generations.
const auditInterval = 64

// counts are the totals since the start.
type counts struct {
	submitted int
	ended     int
	calls     int
}

// begin starts a call.
func (c *Controller) begin(now time.Time) {
	if len(c.queue) > 0 && now.After(c.now) {
		c.drain.backlogged(now.Sub(c.now))
	}
	c.now = now
	c.actions = c.actions[:0]
}

// end checks the invariants and returns the actions of the call.
func (c *Controller) end() []Action {
	q, r := len(c.queue), len(c.running)
	if c.counts.submitted != c.counts.ended+q+r || len(c.entries) != q+r {
		comfreyinvariant.Check(false, InvariantConservation, "submitted %d, ended %d, queued %d, running %d, known %d",
			c.counts.submitted, c.counts.ended, q, r, len(c.entries))
	}
	c.counts.calls++
	if c.counts.calls%auditInterval == 0 {
		c.audit()
	}
	return c.actions
}

// audit compares the running sums with the generations.
func (c *Controller) audit() {
	c.resum()
	used, reserved := 0, 0
	for _, e := range c.running {
		used += e.tokens()
		reserved += e.reserved(c.config.DefaultMaxTokens)
	}
	if used != c.used || reserved != c.reserved {
		comfreyinvariant.Check(false, InvariantMemory, "used %d, sum %d, reserved %d, sum %d", c.used, used, c.reserved, reserved)
	}
}
