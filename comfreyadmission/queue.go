package comfreyadmission

import (
	"slices"
	"time"

	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// enqueue inserts a request into the queue, which is sorted by rank. The rank
// counts from rankFrom, which is earlier than now for a retry.
func (c *Controller) enqueue(now time.Time, r Request, rankFrom time.Time) *entry {
	e := c.newEntry()
	*e = entry{request: r, submitted: now, state: stateQueued, lengths: c.lengths(r), expectedOutputTokens: c.expectedOutputTokens(r)}
	e.updateForecast()
	e.rank = c.rank(e, rankFrom)
	c.entries[r.ID] = e
	i, _ := slices.BinarySearchFunc(c.queue, e, func(a, b *entry) int {
		if a.rank.After(b.rank) {
			return 1
		}
		return -1
	})
	c.queue = slices.Insert(c.queue, i, e)
	c.customerState(r.Customer).queuedTokens += e.expectedOutputTokens
	c.queuedTokens += e.expectedOutputTokens
	return e
}

// rank returns the sort key of the queue. A request with a long expected output
// ranks as if it had arrived later, so that a short one overtakes it unless it
// has waited for longer than that delay: least attained service with ageing
// (compare FastServe), with the expected output in place of the attained service.
func (c *Controller) rank(e *entry, from time.Time) time.Time {
	if c.config.Policy != PolicyPredictedPeak {
		return from
	}
	share := min(e.expectedOutputTokens/longOutputTokens, 1)
	return from.Add(time.Duration(share * float64(c.config.Preset.longOutputDelay())))
}

// dequeue removes e from the queue.
func (c *Controller) dequeue(e *entry) {
	i := slices.Index(c.queue, e)
	c.queue = slices.Delete(c.queue, i, i+1)
	c.customerState(e.request.Customer).queuedTokens -= e.expectedOutputTokens
	c.queuedTokens -= e.expectedOutputTokens
}

// admitQueued admits queued requests in order until one does not fit.
func (c *Controller) admitQueued(now time.Time) {
	for len(c.queue) > 0 && len(c.running) < c.config.MaxRunning && c.canPrefill(now) {
		e := c.queue[0]
		if !c.fits(e) {
			return
		}
		c.dequeue(e)
		c.admit(now, e)
	}
}

// canPrefill reports whether the pacing allows the prefill of another prompt now.
func (c *Controller) canPrefill(now time.Time) bool {
	return c.config.Policy != PolicyPredictedPeak || !now.Before(c.nextPrefillAt)
}

// NextTick returns the time after which the owner has to call Tick, so that the
// next queued request is admitted as soon as the pacing of prefill allows it. It
// reports false if the queue is empty.
func (c *Controller) NextTick(now time.Time) (time.Duration, bool) {
	if len(c.queue) == 0 {
		return 0, false
	}
	return max(c.nextPrefillAt.Sub(now), 0), true
}

// pacePrefill delays the next admission by the expected prefill time of e, so that
// prompts do not accumulate in one step of the engine and increase the inter-token
// latency of all other generations.
func (c *Controller) pacePrefill(now time.Time, e *entry) {
	if c.nextPrefillAt.Before(now) {
		c.nextPrefillAt = now
	}
	share := float64(e.request.PromptTokens) / promptTokensPerStep
	c.nextPrefillAt = c.nextPrefillAt.Add(time.Duration(share * float64(c.meter.interTokenLatency())))
}

// admit adds a dequeued request to the running generations.
func (c *Controller) admit(now time.Time, e *entry) {
	if len(c.queue) > 0 {
		c.meter.departedTokens += e.expectedOutputTokens
	}
	e.state = stateRunning
	e.admitted = now
	e.lastProgress = now
	e.index = len(c.running)
	c.running = append(c.running, e)
	c.usedTokens += e.usedTokens()
	c.forecast.add(&e.forecast, 1)
	c.reservedTokens += e.reservedTokens(c.config.DefaultMaxTokens)
	c.pacePrefill(now, e)
	c.addAction(ActionAdmit, e, comfreyverdict.ReasonAccepted, now)
}

// release removes a running generation.
func (c *Controller) release(e *entry) {
	last := c.running[len(c.running)-1]
	c.running[e.index] = last
	last.index = e.index
	c.running = c.running[:len(c.running)-1]
	c.usedTokens -= e.usedTokens()
	c.forecast.add(&e.forecast, -1)
	c.reservedTokens -= e.reservedTokens(c.config.DefaultMaxTokens)
	c.removeEntry(e)
}

// removeEntry removes the entry of a request that ended, and keeps it for reuse.
func (c *Controller) removeEntry(e *entry) {
	delete(c.entries, e.request.ID)
	c.counts.ended++
	c.freeEntries = append(c.freeEntries, e)
}

// newEntry returns an entry, a reused one if there is any.
func (c *Controller) newEntry() *entry {
	if len(c.freeEntries) == 0 {
		return &entry{}
	}
	e := c.freeEntries[len(c.freeEntries)-1]
	c.freeEntries = c.freeEntries[:len(c.freeEntries)-1]
	return e
}
