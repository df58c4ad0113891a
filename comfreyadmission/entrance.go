package comfreyadmission

import (
	"time"

	"comfreyridge.example/comfreyridge/comfreyverdict"
)

const (
	// bookedPlaces is the part of the queue that is kept for callers that
	// return as they were told.
	bookedPlaces = 4
	// returnLead is the part of the queue time that a caller who returns is
	// expected to wait then. It absorbs errors of the estimate.
	returnLead = 2
	// deadlineSlack is by how much the estimate of a wait may be short for a
	// request that is queued until close to its deadline.
	deadlineSlack = 1.5
	// openShare is the part of the queue time below which nobody is refused.
	openShare = 4
	// thresholdFactor is how many times the free part of the queue a customer
	// of weight 1 may hold.
	thresholdFactor = 4
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
	if c.redeem(r.Booking) && len(c.queue) < c.config.QueueLimit {
		return c.enqueue(now, r, now.Add(-c.config.QueueTime/returnLead)), true
	}
	reason, ok := c.room(now, r)
	if ok {
		return c.enqueue(now, r, now), true
	}
	tokens := c.expectedTokens(r)
	wait := c.returnTime(r, tokens)
	late := float64(wait) * deadlineSlack
	if r.Final && (r.Deadline.IsZero() || now.Add(time.Duration(late)).Before(r.Deadline)) {
		c.book(now, r, wait, tokens)
	}
	c.refuse(r, reason, wait)
	return nil, false
}

// room reports whether r may wait in the queue, or why not.
func (c *Controller) room(now time.Time, r Request) (comfreyverdict.Reason, bool) {
	wait := c.expectedWait()
	if len(c.queue) == 0 || wait < c.config.QueueTime/openShare {
		return "", true
	}
	if len(c.queue) >= c.config.QueueLimit-c.config.QueueLimit/bookedPlaces || wait > c.config.QueueTime {
		return comfreyverdict.ReasonAdmissionFull, false
	}
	late := time.Duration(float64(wait) * deadlineSlack)
	if !r.Deadline.IsZero() && now.Add(late).After(r.Deadline) {
		return comfreyverdict.ReasonDeadline, false
	}
	a := c.account(r.Customer)
	free := c.config.QueueTime.Seconds()*c.drain.tokenRate() - c.queued
	if a.waiting() > thresholdFactor*a.weight*free {
		return comfreyverdict.ReasonCustomerLimit, false
	}
	return "", true
}

// returnTime returns when a refused caller is to come back: once what its
// customer has waiting has drained, but for the last part of the queue time.
func (c *Controller) returnTime(r Request, tokens float64) time.Duration {
	a := c.account(r.Customer)
	d := time.Duration((a.waiting() + tokens) / (c.share(a) * c.drain.tokenRate()) * float64(time.Second))
	d = max(d, c.expectedWait())
	return max(d-c.config.QueueTime/returnLead, minimumReturn)
}

// minimumReturn is the least time that a caller is told to wait.
const minimumReturn = time.Second

// share returns the part of the token rate that drains an account: the part of
// the tokens that its customer got of late, and at least its weight among
// those that ask.
func (c *Controller) share(a *account) float64 {
	weights := 0.0
	for _, b := range c.accounts {
		weights += b.weight
	}
	share := a.weight / weights
	if c.served > 0 {
		share = max(share, a.served/c.served)
	}
	return share
}

// expectedTokens returns the expected length of an answer.
func (c *Controller) expectedTokens(r Request) float64 {
	n := c.curveOf(r).Remaining(0)
	if r.MaxTokens > 0 {
		n = min(n, float64(r.MaxTokens))
	}
	return max(n, 1)
}
