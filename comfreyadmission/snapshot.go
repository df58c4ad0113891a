package comfreyadmission

import (
	"time"

	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// addRefusal adds the refusal of a request that has no entry.
func (c *Controller) addRefusal(r Request, reason comfreyverdict.Reason, d time.Duration) {
	c.counts.ended++
	c.actions = append(c.actions, Action{Kind: ActionRefuse, ID: r.ID, Reason: reason, RetryAfter: d, Snapshot: c.snapshot()})
}

// addAction adds an action about a request that has an entry.
func (c *Controller) addAction(k ActionKind, e *entry, reason comfreyverdict.Reason, now time.Time) {
	f := c.snapshot()
	f.Waited = now.Sub(e.submitted)
	c.actions = append(c.actions, Action{Kind: k, ID: e.request.ID, Reason: reason, Snapshot: f})
}

// snapshot returns the current state for an Action.
func (c *Controller) snapshot() Snapshot {
	return Snapshot{
		Running:        len(c.running),
		Queued:         len(c.queue),
		UsedTokens:     c.usedTokens,
		PeakTokens:     c.peakTokens(),
		CapacityTokens: c.config.CapacityTokens,
	}
}
