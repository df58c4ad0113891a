package comfreyadmission

import (
	"time"

	"comfreyridge.example/comfreyridge/comfreyverdict"
)

const (
	// bookedPlaces is the part of the queue that is kept for callers that
	// return as they were told. As much again is kept for customers that got
	// less than their share.
	bookedPlaces = 8
	// returnLead is the part of the queue time that a caller who returns is
	// expected to wait then. It absorbs errors of the estimate.
	returnLead = 2
	// deadlineSlack is by how much the estimate of a wait may be short for a
	// request that is queued until close to its deadline.
	deadlineSlack = 1.75
	// openShare is the part of the queue time below which nobody is refused.
	openShare = 4
	// thresholdFactor is how many times the free part of the queue a customer
	// of weight 1 may hold.
	thresholdFactor = 4
	// idleShare is the part of the memory up to which nobody is refused.
	idleShare = 0.7
	// minimumReturn is the least time that a caller is told to wait.
	minimumReturn = time.Second
	// fairMargin is the part of the largest customer's tokens below which a
	// customer counts as having got less than its share.
	fairMargin = 0.8
	// fairExtra is the time by which such a customer may overfill the queue.
	fairExtra = 10 * time.Second
	// returnShare is the part of its tokens of late that the returns of a
	// customer which got most may take. The rest goes to those that got less.
	returnShare = 0.8
)

// enter queues a request or refuses it. It reports false if it refused.
//
// A customer may fill the queue up to what the others leave free (dynamic
// thresholds, Choudhury and Hahne), so that a crowding one is refused first
// while nobody is refused from an empty queue.
func (c *Controller) enter(now time.Time, r Request) (*entry, bool) {
	if c.config.Policy != PolicyPredictedPeak {
		if len(c.queue) >= c.config.QueueLimit {
			c.refuse(r, comfreyverdict.ReasonAdmissionFull, c.expectedWait())
			return nil, false
		}
		return c.enqueue(now, r, now), true
	}
	if t, ok := c.redeem(r.RetryToken); ok && len(c.queue) < c.config.QueueLimit {
		return c.enqueue(now, r, t), true
	}
	reason, ok := c.room(now, r)
	if ok {
		return c.enqueue(now, r, now), true
	}
	tokens := c.expectedTokens(r)
	wait := c.drainTime(r, tokens)
	late := time.Duration(float64(wait) * deadlineSlack)
	if !r.Deadline.IsZero() && now.Add(late).After(r.Deadline) {
		c.refuse(r, reason, late)
		return nil, false
	}
	wait = max(wait-c.config.MaxQueueTime/returnLead, minimumReturn)
	if r.IsLastAttempt {
		c.book(now, r, wait, tokens)
	}
	c.refuse(r, reason, wait)
	return nil, false
}

// room reports whether r may wait in the queue, or why not.
func (c *Controller) room(now time.Time, r Request) (comfreyverdict.Reason, bool) {
	if c.hasMemory(r) {
		return "", true
	}
	wait := c.expectedWait()
	if len(c.queue) == 0 || wait < c.config.MaxQueueTime/openShare {
		return "", true
	}
	a := c.account(r.Customer)
	limit, places := c.config.MaxQueueTime, c.config.QueueLimit-2*c.config.QueueLimit/bookedPlaces
	below := c.belowFair(a)
	if below {
		limit += fairExtra
		places = c.config.QueueLimit - c.config.QueueLimit/bookedPlaces
	}
	if len(c.queue) >= places || wait > limit {
		return comfreyverdict.ReasonAdmissionFull, false
	}
	late := time.Duration(float64(wait) * deadlineSlack)
	if !r.Deadline.IsZero() && now.Add(late).After(r.Deadline) {
		return comfreyverdict.ReasonDeadline, false
	}
	free := c.config.MaxQueueTime.Seconds()*c.drain.queueRate() - c.queued
	if !below && a.waiting() > thresholdFactor*a.weight*free {
		return comfreyverdict.ReasonCustomerLimit, false
	}
	return "", true
}

// hasMemory reports whether r and all that wait fit into the engine beside what
// runs. The queue then is about prompts that start one after the other, and the
// measured rate, which is low while the engine is idle, says nothing about it.
func (c *Controller) hasMemory(r Request) bool {
	n := len(c.running) + len(c.queue) + 1
	if n > c.config.MaxRunning || len(c.queue) >= c.config.QueueLimit {
		return false
	}
	need := float64(c.peak()) + c.queued + float64(r.PromptTokens) + c.expectedTokens(r)
	for _, e := range c.queue {
		need += float64(e.request.PromptTokens)
	}
	return need < idleShare*float64(c.config.CapacityTokens)
}

// belowFair reports whether the customer of a got clearly less of late than the
// one that got most, by their weights. Such a customer is refused last: nobody
// is refused in favour of one that gets more (max-min fairness by token
// counters, compare VTC).
func (c *Controller) belowFair(a *account) bool {
	top := 0.0
	for _, b := range c.open {
		top = max(top, b.served/b.weight)
	}
	return a.served/a.weight < fairMargin*top
}

// drainTime returns how long what the customer of r has waiting takes to drain.
func (c *Controller) drainTime(r Request, tokens float64) time.Duration {
	a := c.account(r.Customer)
	d := c.drain.duration((a.waiting() + tokens) / c.share(a))
	return max(d, c.expectedWait())
}

// share returns the part of the token rate that drains an account. The shares
// of all accounts sum up to at most 1.
func (c *Controller) share(a *account) float64 {
	weights := 0.0
	for _, b := range c.open {
		weights += b.weight
	}
	sum := 0.0
	for _, b := range c.open {
		sum += c.claim(b, weights)
	}
	share := c.claim(a, weights) / sum
	if c.belowFair(a) {
		return share
	}
	return share * returnShare
}

// claim returns the part of the tokens that the customer of an account got of
// late, and at least its weight among those that ask.
func (c *Controller) claim(a *account, weights float64) float64 {
	return max(a.weight/weights, a.served/max(c.served, 1))
}

// expectedTokens returns the expected length of an answer.
func (c *Controller) expectedTokens(r Request) float64 {
	n := c.curveOf(r).RemainingTokens(0)
	if r.MaxTokens > 0 {
		n = min(n, float64(r.MaxTokens))
	}
	return max(n, 1)
}
