// Package comfreyadmission decides which generations of unknown length an
// engine runs, which ones wait, and which ones are refused and until when. It
// is pure: the caller passes the time and the events, and acts on the result.
package comfreyadmission

import (
	"time"

	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// Controller admits the requests of one engine. It is not safe for concurrent
// use: one goroutine owns it. The slices that its methods return are valid
// until the next call.
type Controller struct {
	config    Config
	entries   map[string]*entry
	queue     []*entry
	running   []*entry
	free      []*entry
	used      int
	reserved  int
	open      []*account // the accounts in the order in which they were opened
	accounts  map[string]*account
	bookings  []booking // in the order of their times
	queued    float64   // expected tokens that wait in the queue
	served    float64   // sum over the accounts
	drain     drain
	forecast  forecast
	margin    float64 // standard deviations of the predicted memory that stay free
	actions   []Action
	paceUntil time.Time // no further prompt before
	now       time.Time // of the latest call
	counts    counts
}

// New returns a controller for an idle engine.
func New(c Config) *Controller {
	c = c.withDefaults()
	return &Controller{config: c, margin: c.Margin, entries: map[string]*entry{}, accounts: map[string]*account{}}
}

// Submit offers a request. The last action about r says whether it was
// admitted, queued or refused. A request whose ID is queued or running is
// refused as a duplicate.
func (c *Controller) Submit(now time.Time, r Request) []Action {
	c.begin(now)
	r.PromptTokens = max(r.PromptTokens, 0)
	c.counts.submitted++
	if _, ok := c.entries[r.ID]; ok {
		c.refuse(r, comfreyverdict.ReasonDuplicateRequest, 0)
		return c.end()
	}
	if !r.Deadline.IsZero() && !now.Before(r.Deadline) {
		c.refuse(r, comfreyverdict.ReasonDeadline, 0)
		return c.end()
	}
	if r.PromptTokens >= c.config.CapacityTokens {
		c.refuse(r, comfreyverdict.ReasonBadRequest, 0)
		return c.end()
	}
	e, ok := c.enter(now, r)
	if !ok {
		return c.end()
	}
	c.fill(now)
	if e.state == stateQueued {
		c.act(ActionQueue, e, comfreyverdict.ReasonAdmissionFull, now)
	}
	return c.end()
}

// Progress tells how many tokens of the answer the engine has generated since
// the start of the generation. An unknown id and a count that is not above the
// last one change nothing.
func (c *Controller) Progress(now time.Time, id string, generatedTokens int) []Action {
	c.begin(now)
	e, ok := c.entries[id]
	if !ok || e.state != stateRunning || generatedTokens <= e.generated {
		return c.end()
	}
	d := generatedTokens - e.generated
	e.curve.ObserveGrowth(e.generated, generatedTokens)
	c.reserved -= e.reserved(c.config.DefaultMaxTokens)
	e.generated = generatedTokens
	c.reserved += e.reserved(c.config.DefaultMaxTokens)
	c.used += d
	c.serve(e, d)
	c.drain.tokens(now, d, now.Sub(e.last))
	e.last = now
	if e.stale() {
		c.renew(e)
	}
	c.fill(now)
	return c.end()
}

// Finish tells that a generation ended, frees its memory and admits others. An
// unknown id changes nothing.
func (c *Controller) Finish(now time.Time, id string, o Outcome) []Action {
	c.begin(now)
	e, ok := c.entries[id]
	if !ok || e.state != stateRunning {
		return c.end()
	}
	if o == OutcomeCompleted {
		e.curve.ObserveEnd(e.generated)
	}
	c.release(e)
	c.fill(now)
	return c.end()
}

// Preempted tells that the engine pushed a generation aside. It stays among
// the running ones, since it comes back. An unknown id changes nothing.
func (c *Controller) Preempted(_ time.Time, id string) {
	if e, ok := c.entries[id]; ok && e.state == stateRunning {
		e.preempted = true
	}
}

// Resumed tells that the engine runs a generation again. An unknown id changes
// nothing.
func (c *Controller) Resumed(_ time.Time, id string) {
	if e, ok := c.entries[id]; ok {
		e.preempted = false
	}
}

// Cancel drops a request, queued or running, and admits others. An unknown id
// changes nothing.
func (c *Controller) Cancel(now time.Time, id string) []Action {
	c.begin(now)
	e, ok := c.entries[id]
	if !ok {
		return c.end()
	}
	if e.state == stateQueued {
		c.dequeue(e)
		c.forget(e)
		return c.end()
	}
	c.release(e)
	c.fill(now)
	return c.end()
}

// Tick refuses the queued requests whose deadline has passed, and admits those
// that fit. The owner calls it several times a second.
func (c *Controller) Tick(now time.Time) []Action {
	c.begin(now)
	c.expireBookings(now)
	c.tidyAccounts()
	for i := len(c.queue) - 1; i >= 0; i-- {
		e := c.queue[i]
		if d := e.request.Deadline; !d.IsZero() && !now.Before(d) {
			c.dequeue(e)
			c.act(ActionRefuse, e, comfreyverdict.ReasonDeadline, now)
			c.forget(e)
		}
	}
	c.fill(now)
	return c.end()
}

// Load returns the state that gateways see.
func (c *Controller) Load() Load {
	return Load{
		Running:           len(c.running),
		Queued:            len(c.queue),
		UsedTokens:        c.used,
		PeakTokens:        c.peak(),
		CapacityTokens:    c.config.CapacityTokens,
		ExpectedWait:      c.expectedWait(),
		InterTokenLatency: c.drain.interToken(),
	}
}
