// Package comfreyadmission is the admission control of one model engine. It
// decides which generations, whose output length is unknown, the engine runs,
// which ones are queued, and which ones are refused and when to retry them. It
// makes no calls and reads no clock: its owner passes the time and the events and
// carries out the returned actions.
package comfreyadmission

import (
	"time"

	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// Controller admits the requests of one engine. It is not safe for concurrent
// use: one goroutine owns it. The slices that its methods return are valid until
// the next call.
type Controller struct {
	config         Config
	entries        map[string]*entry
	queue          []*entry
	running        []*entry
	freeEntries    []*entry
	usedTokens     int
	reservedTokens int
	customerList   []*customerState // in the order of creation
	customers      map[string]*customerState
	retrySlots     []retrySlot // sorted by due time
	queuedTokens   float64     // expected output tokens of the queued requests
	servedTokens   float64     // sum over the customers
	meter          rateMeter
	forecast       forecast
	margin         float64 // standard deviations of the predicted KV cache usage that stay free
	actions        []Action
	nextPrefillAt  time.Time // no further request is admitted before
	now            time.Time // of the latest call
	counts         counts
}

// New returns a controller of an idle engine.
func New(c Config) *Controller {
	c = c.withDefaults()
	return &Controller{config: c, margin: c.Margin, entries: map[string]*entry{}, customers: map[string]*customerState{}}
}

// Submit admits, queues or refuses a request; the last action about r says
// which. A request whose ID is already queued or running is refused as a
// duplicate.
func (c *Controller) Submit(now time.Time, r Request) []Action {
	c.beginCall(now)
	r.PromptTokens = max(r.PromptTokens, 0)
	c.counts.submitted++
	if _, ok := c.entries[r.ID]; ok {
		c.addRefusal(r, comfreyverdict.ReasonDuplicateRequest, 0)
		return c.endCall()
	}
	if !r.Deadline.IsZero() && !now.Before(r.Deadline) {
		c.addRefusal(r, comfreyverdict.ReasonDeadline, 0)
		return c.endCall()
	}
	if r.PromptTokens >= c.config.CapacityTokens {
		c.addRefusal(r, comfreyverdict.ReasonBadRequest, 0)
		return c.endCall()
	}
	e, ok := c.queueOrRefuse(now, r)
	if !ok {
		return c.endCall()
	}
	c.admitQueued(now)
	if e.state == stateQueued {
		c.addAction(ActionQueue, e, comfreyverdict.ReasonAdmissionFull, now)
	}
	return c.endCall()
}

// Progress records the number of output tokens that the engine has generated
// since the start of a generation. An unknown id, or a number that is not above
// the last one, changes nothing.
func (c *Controller) Progress(now time.Time, id string, generatedTokens int) []Action {
	c.beginCall(now)
	e, ok := c.entries[id]
	if !ok || e.state != stateRunning || generatedTokens <= e.generatedTokens {
		return c.endCall()
	}
	d := generatedTokens - e.generatedTokens
	e.lengths.ObserveGrowth(e.generatedTokens, generatedTokens)
	c.reservedTokens -= e.reservedTokens(c.config.DefaultMaxTokens)
	e.generatedTokens = generatedTokens
	c.reservedTokens += e.reservedTokens(c.config.DefaultMaxTokens)
	c.usedTokens += d
	c.countServed(e, d)
	c.meter.observeTokens(now, d, now.Sub(e.lastProgress))
	e.lastProgress = now
	if e.needsForecast() {
		c.refreshForecast(e)
	}
	c.admitQueued(now)
	return c.endCall()
}

// Finish records the end of a generation, frees its KV cache and admits queued
// requests. An unknown id changes nothing.
func (c *Controller) Finish(now time.Time, id string, o Outcome) []Action {
	c.beginCall(now)
	e, ok := c.entries[id]
	if !ok || e.state != stateRunning {
		return c.endCall()
	}
	if o == OutcomeCompleted {
		e.lengths.ObserveEnd(e.generatedTokens)
	}
	c.release(e)
	c.admitQueued(now)
	return c.endCall()
}

// Preempted records that the engine preempted a generation. It still counts as
// running, since the engine resumes it later. An unknown id changes nothing.
func (c *Controller) Preempted(_ time.Time, id string) {
	if e, ok := c.entries[id]; ok && e.state == stateRunning {
		e.preempted = true
	}
}

// Resumed records that the engine resumed a preempted generation. An unknown id
// changes nothing.
func (c *Controller) Resumed(_ time.Time, id string) {
	if e, ok := c.entries[id]; ok {
		e.preempted = false
	}
}

// Cancel removes a queued or running request and admits queued ones. An unknown
// id changes nothing.
func (c *Controller) Cancel(now time.Time, id string) []Action {
	c.beginCall(now)
	e, ok := c.entries[id]
	if !ok {
		return c.endCall()
	}
	if e.state == stateQueued {
		c.dequeue(e)
		c.removeEntry(e)
		return c.endCall()
	}
	c.release(e)
	c.admitQueued(now)
	return c.endCall()
}

// Tick refuses the queued requests whose deadline has passed, and admits queued
// requests that fit. The owner calls it several times a second.
func (c *Controller) Tick(now time.Time) []Action {
	c.beginCall(now)
	c.expireRetrySlots(now)
	c.decayCustomers()
	for i := len(c.queue) - 1; i >= 0; i-- {
		e := c.queue[i]
		if d := e.request.Deadline; !d.IsZero() && !now.Before(d) {
			c.dequeue(e)
			c.addAction(ActionRefuse, e, comfreyverdict.ReasonDeadline, now)
			c.removeEntry(e)
		}
	}
	c.admitQueued(now)
	return c.endCall()
}

// Load returns the load that is reported to gateways.
func (c *Controller) Load() Load {
	return Load{
		Running:           len(c.running),
		Queued:            len(c.queue),
		UsedTokens:        c.usedTokens,
		PeakTokens:        c.peakTokens(),
		CapacityTokens:    c.config.CapacityTokens,
		ExpectedWait:      c.expectedWait(),
		InterTokenLatency: c.meter.interTokenLatency(),
	}
}
