package comfreyadmission

import (
	"slices"
	"time"

	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// enqueue appends a request to the queue.
func (c *Controller) enqueue(now time.Time, r Request) *entry {
	e := c.allocate()
	*e = entry{request: r, submitted: now, state: stateQueued}
	c.entries[r.ID] = e
	c.queue = append(c.queue, e)
	return e
}

// dequeue removes e from the queue.
func (c *Controller) dequeue(e *entry) {
	i := slices.Index(c.queue, e)
	c.queue = slices.Delete(c.queue, i, i+1)
}

// fill admits queued requests while they fit.
func (c *Controller) fill(now time.Time) {
	for len(c.queue) > 0 && len(c.running) < c.config.MaxRunning {
		e := c.queue[0]
		if !c.fits(e) {
			return
		}
		c.dequeue(e)
		c.admit(now, e)
	}
}

// admit moves a dequeued request to the engine.
func (c *Controller) admit(now time.Time, e *entry) {
	e.state = stateRunning
	e.admitted = now
	e.index = len(c.running)
	c.running = append(c.running, e)
	c.used += e.tokens()
	c.reserved += e.reserved(c.config.MaxLengthTokens)
	c.act(ActionAdmit, e, comfreyverdict.ReasonAccepted, now)
}

// release removes a running generation.
func (c *Controller) release(e *entry) {
	last := c.running[len(c.running)-1]
	c.running[e.index] = last
	last.index = e.index
	c.running = c.running[:len(c.running)-1]
	c.used -= e.tokens()
	c.reserved -= e.reserved(c.config.MaxLengthTokens)
	c.forget(e)
}

// forget drops the entry of a request that ended.
func (c *Controller) forget(e *entry) {
	delete(c.entries, e.request.ID)
	c.counts.ended++
	c.free = append(c.free, e)
}

// allocate returns an entry, an old one if there is any.
func (c *Controller) allocate() *entry {
	if len(c.free) == 0 {
		return &entry{}
	}
	e := c.free[len(c.free)-1]
	c.free = c.free[:len(c.free)-1]
	return e
}

// refuse adds a refusal of a request that has no entry.
func (c *Controller) refuse(r Request, reason comfreyverdict.Reason, d time.Duration) {
	c.counts.ended++
	c.actions = append(c.actions, Action{Kind: ActionRefuse, ID: r.ID, Reason: reason, RetryAfter: d, Figures: c.figures()})
}

// act adds an action about e.
func (c *Controller) act(k ActionKind, e *entry, reason comfreyverdict.Reason, now time.Time) {
	f := c.figures()
	f.Waited = now.Sub(e.submitted)
	c.actions = append(c.actions, Action{Kind: k, ID: e.request.ID, Reason: reason, Figures: f})
}

// figures returns the values that a decision is taken on.
func (c *Controller) figures() Figures {
	return Figures{
		Running:        len(c.running),
		Queued:         len(c.queue),
		UsedTokens:     c.used,
		PeakTokens:     c.peak(),
		CapacityTokens: c.config.CapacityTokens,
	}
}
