package comfreyadmission

import (
	"slices"
	"time"
)

const (
	// maxBookings bounds the places that are kept for callers that return.
	maxBookings = 1024
	// bookingGrace is how long after its time a place is kept.
	bookingGrace = 5 * time.Second
	// servedFade is the part of the served tokens that is left after a tick.
	servedFade = 0.995
)

// account is what a customer has waiting, in expected answer tokens.
type account struct {
	customer string
	queued   float64
	booked   float64
	served   float64 // faded tokens that its answers got
	weight   float64
}

// waiting returns the expected tokens of everything that waits.
func (a *account) waiting() float64 {
	return a.queued + a.booked
}

// booking is a place kept for a caller that was told when to return.
type booking struct {
	id       string
	customer string
	asked    time.Time // when the caller came first
	due      time.Time
	tokens   float64
}

// account returns the account of a customer, which it opens if need be.
func (c *Controller) account(customer string) *account {
	a, ok := c.accounts[customer]
	if ok {
		return a
	}
	a = &account{customer: customer, weight: c.weight(customer)}
	c.accounts[customer] = a
	c.open = append(c.open, a)
	return a
}

// weight returns the configured weight of a customer, or 1 without one.
func (c *Controller) weight(customer string) float64 {
	w := c.config.Weights(customer)
	if w <= 0 {
		return 1
	}
	return w
}

// tidyAccounts fades what was served, and closes the accounts of customers
// that have nothing waiting.
func (c *Controller) tidyAccounts() {
	c.served = 0
	kept := c.open[:0]
	for _, a := range c.open {
		a.served *= servedFade
		c.served += a.served
		if a.waiting() < 1 && a.served < 1 {
			delete(c.accounts, a.customer)
			continue
		}
		kept = append(kept, a)
	}
	clear(c.open[len(kept):])
	c.open = kept
}

// book keeps a place for the return of a refused caller.
func (c *Controller) book(now time.Time, r Request, d time.Duration, tokens float64) {
	if len(c.bookings) >= maxBookings {
		return
	}
	b := booking{id: r.ID, customer: r.Customer, asked: now, due: now.Add(d), tokens: tokens}
	i, _ := slices.BinarySearchFunc(c.bookings, b, func(x, y booking) int { return x.due.Compare(y.due) })
	c.bookings = slices.Insert(c.bookings, i, b)
	c.account(r.Customer).booked += tokens
}

// redeem gives up the place of a caller that returns. It returns when the
// caller came first, and reports whether there was a place.
func (c *Controller) redeem(id string) (time.Time, bool) {
	if id == "" {
		return time.Time{}, false
	}
	for i := range c.bookings {
		if c.bookings[i].id == id {
			t := c.bookings[i].asked
			c.dropBooking(i)
			return t, true
		}
	}
	return time.Time{}, false
}

// due returns the expected tokens of the callers that return until t.
func (c *Controller) due(t time.Time) float64 {
	n := 0.0
	for i := range c.bookings {
		if c.bookings[i].due.After(t) {
			break
		}
		n += c.bookings[i].tokens
	}
	return n
}

// expireBookings gives up the places of callers that did not return.
func (c *Controller) expireBookings(now time.Time) {
	for len(c.bookings) > 0 && now.Sub(c.bookings[0].due) > bookingGrace {
		c.dropBooking(0)
	}
}

// dropBooking removes booking i.
func (c *Controller) dropBooking(i int) {
	b := c.bookings[i]
	c.bookings = slices.Delete(c.bookings, i, i+1)
	c.account(b.customer).booked -= b.tokens
}

// serve counts n tokens that a running generation got.
func (c *Controller) serve(e *entry, n int) {
	c.account(e.request.Customer).served += float64(n)
	c.served += float64(n)
}
