package comfreyadmission

import (
	"slices"
	"time"
)

const (
	// maxRetrySlots is the maximum number of retry slots.
	maxRetrySlots = 1024
	// retrySlotGrace is how long a retry slot is kept after its due time.
	retrySlotGrace = 5 * time.Second
	// servedDecay is the factor by which the served tokens decay at each tick.
	servedDecay = 0.995
)

// customerState holds the token counters of one customer.
type customerState struct {
	customer     string
	queuedTokens float64 // expected output tokens of its queued requests
	retryTokens  float64 // expected output tokens of its retry slots
	servedTokens float64 // decayed number of output tokens that it received
	weight       float64
}

// waitingTokens returns the expected output tokens of the customer's queued
// requests and retry slots.
func (s *customerState) waitingTokens() float64 {
	return s.queuedTokens + s.retryTokens
}

// retrySlot is a place in the queue that is reserved for the retry of a refused
// request.
type retrySlot struct {
	id        string
	customer  string
	submitted time.Time // when the refused request was submitted
	due       time.Time // when the caller was asked to retry
	tokens    float64   // expected output tokens
}

// customerState returns the state of a customer, and creates it if needed.
func (c *Controller) customerState(customer string) *customerState {
	s, ok := c.customers[customer]
	if ok {
		return s
	}
	s = &customerState{customer: customer, weight: c.weight(customer)}
	c.customers[customer] = s
	c.customerList = append(c.customerList, s)
	return s
}

// weight returns the configured weight of a customer, or 1 without one.
func (c *Controller) weight(customer string) float64 {
	w := c.config.Weights(customer)
	if w <= 0 {
		return 1
	}
	return w
}

// decayCustomers decays the served tokens, and drops the state of customers
// with nothing waiting and almost no served tokens.
func (c *Controller) decayCustomers() {
	c.servedTokens = 0
	kept := c.customerList[:0]
	for _, s := range c.customerList {
		s.servedTokens *= servedDecay
		c.servedTokens += s.servedTokens
		if s.waitingTokens() < 1 && s.servedTokens < 1 {
			delete(c.customers, s.customer)
			continue
		}
		kept = append(kept, s)
	}
	clear(c.customerList[len(kept):])
	c.customerList = kept
}

// addRetrySlot reserves a place in the queue for the retry of a refused request.
// It does nothing if maxRetrySlots are taken.
func (c *Controller) addRetrySlot(now time.Time, r Request, d time.Duration, tokens float64) {
	if len(c.retrySlots) >= maxRetrySlots {
		return
	}
	s := retrySlot{id: r.ID, customer: r.Customer, submitted: now, due: now.Add(d), tokens: tokens}
	i, _ := slices.BinarySearchFunc(c.retrySlots, s, func(x, y retrySlot) int { return x.due.Compare(y.due) })
	c.retrySlots = slices.Insert(c.retrySlots, i, s)
	c.customerState(r.Customer).retryTokens += tokens
}

// claimRetrySlot removes the retry slot with an id. It returns when the refused
// request was submitted, and reports whether the slot existed.
func (c *Controller) claimRetrySlot(id string) (time.Time, bool) {
	if id == "" {
		return time.Time{}, false
	}
	for i := range c.retrySlots {
		if c.retrySlots[i].id == id {
			t := c.retrySlots[i].submitted
			c.dropRetrySlot(i)
			return t, true
		}
	}
	return time.Time{}, false
}

// dueRetryTokens returns the expected output tokens of the retries that are due
// until t.
func (c *Controller) dueRetryTokens(t time.Time) float64 {
	n := 0.0
	for i := range c.retrySlots {
		if c.retrySlots[i].due.After(t) {
			break
		}
		n += c.retrySlots[i].tokens
	}
	return n
}

// expireRetrySlots removes the slots of callers that did not retry in time.
func (c *Controller) expireRetrySlots(now time.Time) {
	for len(c.retrySlots) > 0 && now.Sub(c.retrySlots[0].due) > retrySlotGrace {
		c.dropRetrySlot(0)
	}
}

// dropRetrySlot removes the retry slot with index i.
func (c *Controller) dropRetrySlot(i int) {
	s := c.retrySlots[i]
	c.retrySlots = slices.Delete(c.retrySlots, i, i+1)
	c.customerState(s.customer).retryTokens -= s.tokens
}

// countServed adds n output tokens of e to its customer and to the total.
func (c *Controller) countServed(e *entry, n int) {
	c.customerState(e.request.Customer).servedTokens += float64(n)
	c.servedTokens += float64(n)
}
