package comfreyadmission

import (
	"time"

	"comfreyridge.example/comfreyridge/comfreyinvariant"
)

// InvariantConservation says that each submitted request is in exactly one of
// the states queued, running and ended.
const InvariantConservation comfreyinvariant.Name = "admission-conservation"

// InvariantMemory says that the KV cache in use is the sum over the running
// generations.
const InvariantMemory comfreyinvariant.Name = "admission-memory"

// auditInterval is the number of calls between two audits.
const auditInterval = 64

// counts holds totals since the controller was created.
type counts struct {
	submitted int
	ended     int
	calls     int
}

// beginCall records the time of a call of a method and clears the actions.
func (c *Controller) beginCall(now time.Time) {
	if len(c.queue) > 0 && now.After(c.now) {
		c.meter.observeBacklog(now.Sub(c.now))
	}
	c.now = now
	c.actions = c.actions[:0]
}

// endCall checks the invariants and returns the actions of the call.
func (c *Controller) endCall() []Action {
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

// audit recomputes the sums over the running generations and compares them with
// the incrementally updated ones.
func (c *Controller) audit() {
	c.recomputeForecast()
	used, reserved := 0, 0
	for _, e := range c.running {
		used += e.usedTokens()
		reserved += e.reservedTokens(c.config.DefaultMaxTokens)
	}
	if used != c.usedTokens || reserved != c.reservedTokens {
		comfreyinvariant.Check(false, InvariantMemory, "used %d, sum %d, reserved %d, sum %d", c.usedTokens, used, c.reservedTokens, reserved)
	}
}
