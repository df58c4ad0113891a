package comfreyadmission

import (
	"time"

	"comfreyridge.example/comfreyridge/comfreyverdict"
)

const (
	// reservedQueueDivisor sets the part of the queue, one in reservedQueueDivisor,
	// that is reserved for retries of refused requests. The same part again is
	// reserved for customers below their fair share.
	reservedQueueDivisor = 8
	// retryLeadDivisor sets the part of MaxQueueTime that a retry is expected to
	// wait in the queue. It absorbs errors of the estimate.
	retryLeadDivisor = 2
	// waitErrorFactor is the assumed largest ratio of the actual to the estimated
	// wait time when that is compared with a request's deadline.
	waitErrorFactor = 1.75
	// noRefusalDivisor sets the part of MaxQueueTime below which an expected wait
	// leads to no refusal.
	noRefusalDivisor = 4
	// thresholdFactor is the multiple of the queue's free part that a customer of
	// weight 1 may occupy.
	thresholdFactor = 4
	// noRefusalOccupancy is the part of the KV cache up to which no request is
	// refused.
	noRefusalOccupancy = 0.7
	// minRetryAfter is the least RetryAfter of a request that may be retried.
	minRetryAfter = time.Second
	// fairShareMargin is the part of the largest customer's recently served tokens
	// below which a customer is below its fair share.
	fairShareMargin = 0.8
	// fairShareExtraTime is the time by which a customer below its fair share may
	// exceed MaxQueueTime.
	fairShareExtraTime = 10 * time.Second
	// retryShare is the part of its recent token rate that the retries of a
	// customer at its fair share may use. The rest is left to customers below
	// theirs.
	retryShare = 0.8
)

// queueOrRefuse queues a request or refuses it. It reports false if it refused.
//
// With PolicyPredictedPeak, a customer may occupy the queue up to a multiple of
// its free part (dynamic thresholds, Choudhury and Hahne), so that the customer
// that occupies most is refused first while no request is refused by an empty
// queue.
func (c *Controller) queueOrRefuse(now time.Time, r Request) (*entry, bool) {
	if c.config.Policy != PolicyPredictedPeak {
		if len(c.queue) >= c.config.QueueLimit {
			c.addRefusal(r, comfreyverdict.ReasonAdmissionFull, c.expectedWait())
			return nil, false
		}
		return c.enqueue(now, r, now), true
	}
	if t, ok := c.claimRetrySlot(r.RetryToken); ok && len(c.queue) < c.config.QueueLimit {
		return c.enqueue(now, r, t), true
	}
	reason, ok := c.canQueue(now, r)
	if ok {
		return c.enqueue(now, r, now), true
	}
	tokens := c.expectedOutputTokens(r)
	wait := c.customerWait(r, tokens)
	latest := time.Duration(float64(wait) * waitErrorFactor)
	if !r.Deadline.IsZero() && now.Add(latest).After(r.Deadline) {
		c.addRefusal(r, reason, latest)
		return nil, false
	}
	wait = max(wait-c.config.MaxQueueTime/retryLeadDivisor, minRetryAfter)
	if r.IsLastAttempt {
		c.addRetrySlot(now, r, wait, tokens)
	}
	c.addRefusal(r, reason, wait)
	return nil, false
}

// canQueue reports whether r may be queued, and the reason if not.
func (c *Controller) canQueue(now time.Time, r Request) (comfreyverdict.Reason, bool) {
	if c.hasFreeCapacity(r) {
		return "", true
	}
	wait := c.expectedWait()
	if len(c.queue) == 0 || wait < c.config.MaxQueueTime/noRefusalDivisor {
		return "", true
	}
	s := c.customerState(r.Customer)
	limit, places := c.config.MaxQueueTime, c.config.QueueLimit-2*c.config.QueueLimit/reservedQueueDivisor
	isBelowShare := c.belowFairShare(s)
	if isBelowShare {
		limit += fairShareExtraTime
		places = c.config.QueueLimit - c.config.QueueLimit/reservedQueueDivisor
	}
	if len(c.queue) >= places || wait > limit {
		return comfreyverdict.ReasonAdmissionFull, false
	}
	latest := time.Duration(float64(wait) * waitErrorFactor)
	if !r.Deadline.IsZero() && now.Add(latest).After(r.Deadline) {
		return comfreyverdict.ReasonDeadline, false
	}
	free := c.config.MaxQueueTime.Seconds()*c.meter.serviceRate() - c.queuedTokens
	if !isBelowShare && s.waitingTokens() > thresholdFactor*s.weight*free {
		return comfreyverdict.ReasonCustomerLimit, false
	}
	return "", true
}

// hasFreeCapacity reports whether r and all queued requests fit into the KV cache
// beside the running generations. Requests are then queued only for the pacing of
// prefill, and the service rate, which is low while the engine is idle, does not
// predict their wait time.
func (c *Controller) hasFreeCapacity(r Request) bool {
	n := len(c.running) + len(c.queue) + 1
	if n > c.config.MaxRunning || len(c.queue) >= c.config.QueueLimit {
		return false
	}
	need := float64(c.peakTokens()) + c.queuedTokens + float64(r.PromptTokens) + c.expectedOutputTokens(r)
	for _, e := range c.queue {
		need += float64(e.request.PromptTokens)
	}
	return need < noRefusalOccupancy*float64(c.config.CapacityTokens)
}

// belowFairShare reports whether a customer was recently served clearly fewer
// tokens than the customer with most, relative to their weights. Such a customer
// is refused last, so that no customer is refused in favour of one that was
// served more (max-min fairness with token counters, compare VTC).
func (c *Controller) belowFairShare(s *customerState) bool {
	highest := 0.0
	for _, b := range c.customerList {
		highest = max(highest, b.servedTokens/b.weight)
	}
	return s.servedTokens/s.weight < fairShareMargin*highest
}

// customerWait returns the expected time until r is served after everything
// that its customer has waiting.
func (c *Controller) customerWait(r Request, tokens float64) time.Duration {
	s := c.customerState(r.Customer)
	d := c.meter.timeToServe((s.waitingTokens() + tokens) / c.customerRateShare(s))
	return max(d, c.expectedWait())
}

// customerRateShare returns the part of the service rate that a customer
// receives. The shares of all customers sum up to at most 1.
func (c *Controller) customerRateShare(s *customerState) float64 {
	weights := 0.0
	for _, b := range c.customerList {
		weights += b.weight
	}
	sum := 0.0
	for _, b := range c.customerList {
		sum += c.tokenShare(b, weights)
	}
	share := c.tokenShare(s, weights) / sum
	if c.belowFairShare(s) {
		return share
	}
	return share * retryShare
}

// tokenShare returns the part of the recently served tokens that a customer
// received, or its part of the weights if that is more.
func (c *Controller) tokenShare(s *customerState, weights float64) float64 {
	return max(s.weight/weights, s.servedTokens/max(c.servedTokens, 1))
}

// expectedOutputTokens returns the expected output length of a request, at least
// one token.
func (c *Controller) expectedOutputTokens(r Request) float64 {
	n := c.lengths(r).RemainingTokens(0)
	if r.MaxTokens > 0 {
		n = min(n, float64(r.MaxTokens))
	}
	return max(n, 1)
}
