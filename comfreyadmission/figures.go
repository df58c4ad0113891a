package comfreyadmission

import (
	"time"

	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// refuse adds a refusal of a request that has no entry.
func (c *Controller) refuse(r Request, reason comfreyverdict.Reason, d time.Duration) {
	c.counts.ended++
	c.actions = append(c.actions, Action{Kind: ActionRefuse, ID: r.ID, Reason: reason, RetryAfter: d, Snapshot: c.figures()})
}

// act adds an action about e.
func (c *Controller) act(k ActionKind, e *entry, reason comfreyverdict.Reason, now time.Time) {
	f := c.figures()
	f.Waited = now.Sub(e.submitted)
	c.actions = append(c.actions, Action{Kind: k, ID: e.request.ID, Reason: reason, Snapshot: f})
}

// figures returns the values that a decision is taken on.
func (c *Controller) figures() Snapshot {
	return Snapshot{
		Running:        len(c.running),
		Queued:         len(c.queue),
		UsedTokens:     c.used,
		PeakTokens:     c.peak(),
		CapacityTokens: c.config.CapacityTokens,
	}
}
