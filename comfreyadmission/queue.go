package comfreyadmission

import (
	"slices"
	"time"

	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// enqueue puts a request into the queue, in the order of ranks.
func (c *Controller) enqueue(now time.Time, r Request, from time.Time) *entry {
	e := c.allocate()
	*e = entry{request: r, submitted: now, state: stateQueued, curve: c.curveOf(r), expected: c.expectedTokens(r)}
	e.predict()
	e.rank = c.rank(e, from)
	c.entries[r.ID] = e
	i, _ := slices.BinarySearchFunc(c.queue, e, func(a, b *entry) int {
		if a.rank.After(b.rank) {
			return 1
		}
		return -1
	})
	c.queue = slices.Insert(c.queue, i, e)
	c.account(r.Customer).queued += e.expected
	c.queued += e.expected
	return e
}

// rank returns the point in time that orders the queue. A request that is
// expected to be long ranks as if it had come later, so that a short one passes
// it, but not one that has waited for long: least attained service with ageing
// (compare FastServe), with the expectation in place of the service.
func (c *Controller) rank(e *entry, from time.Time) time.Time {
	if c.config.Policy != PolicyPredictedPeak {
		return from
	}
	share := min(e.expected/longAnswerTokens, 1)
	return from.Add(time.Duration(share * float64(c.config.Preset.delay())))
}

// dequeue removes e from the queue.
func (c *Controller) dequeue(e *entry) {
	i := slices.Index(c.queue, e)
	c.queue = slices.Delete(c.queue, i, i+1)
	c.account(e.request.Customer).queued -= e.expected
	c.queued -= e.expected
}

// fill admits queued requests while they fit.
func (c *Controller) fill(now time.Time) {
	for len(c.queue) > 0 && len(c.running) < c.config.MaxRunning && c.paceAllows(now) {
		e := c.queue[0]
		if !c.fits(e) {
			return
		}
		c.dequeue(e)
		c.admit(now, e)
	}
}

// paceAllows reports whether the engine may start one more prompt now.
func (c *Controller) paceAllows(now time.Time) bool {
	return c.config.Policy != PolicyPredictedPeak || !now.Before(c.paceUntil)
}

// NextTick returns how long after now the owner has to call Tick at the latest
// for the pace of prompts to be kept. It reports false if nothing waits.
func (c *Controller) NextTick(now time.Time) (time.Duration, bool) {
	if len(c.queue) == 0 {
		return 0, false
	}
	return max(c.paceUntil.Sub(now), 0), true
}

// pace holds back the next prompt until the engine has worked on this one, so
// that prompts do not add up within one step and stretch the time between the
// tokens of all others.
func (c *Controller) pace(now time.Time, e *entry) {
	if c.paceUntil.Before(now) {
		c.paceUntil = now
	}
	share := float64(e.request.PromptTokens) / promptTokensPerStep
	c.paceUntil = c.paceUntil.Add(time.Duration(share * float64(c.drain.interToken())))
}

// admit moves a dequeued request to the engine.
func (c *Controller) admit(now time.Time, e *entry) {
	if len(c.queue) > 0 {
		c.drain.admitted += e.expected
	}
	e.state = stateRunning
	e.admitted = now
	e.last = now
	e.index = len(c.running)
	c.running = append(c.running, e)
	c.used += e.tokens()
	c.forecast.add(&e.forecast, 1)
	c.reserved += e.reserved(c.config.DefaultMaxTokens)
	c.pace(now, e)
	c.act(ActionAdmit, e, comfreyverdict.ReasonAccepted, now)
}

// release removes a running generation.
func (c *Controller) release(e *entry) {
	last := c.running[len(c.running)-1]
	c.running[e.index] = last
	last.index = e.index
	c.running = c.running[:len(c.running)-1]
	c.used -= e.tokens()
	c.forecast.add(&e.forecast, -1)
	c.reserved -= e.reserved(c.config.DefaultMaxTokens)
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
