package comfreyplacement

import (
	"maps"
	"slices"
	"time"
)

const (
	// smoothingFactor is the weight of the newest observation in the moving
	// average of the interval between departures.
	smoothingFactor = 0.3
	// minRetryAfter and maxRetryAfter bound the delay after which a refused
	// caller is told to retry.
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// Queue tracks the requests of one service that wait for a placement at a
// gateway, and estimates how long one more would wait. The zero value is an
// empty queue. It is not safe for concurrent use.
//
// It is built for this load: with every replica full, each request that joins
// the queue is late itself and makes those before it no faster. It is refused
// at once instead, with the time at which a placement is expected.
type Queue struct {
	waiting []Waiter
	// meanInterval is the moving average of the time between two departures.
	meanInterval time.Duration
}

// Waiter is a request in the queue.
type Waiter struct {
	ID string
	// Priority ranks the request; zero is the most urgent.
	Priority     int
	PromptTokens int
	// Service and Target are the service and the target latency of the request.
	Service string
	Target  time.Duration
	// IsReturn means that the request was refused before, and that its caller has
	// returned.
	IsReturn bool
}

// movingTarget is the target of a generation that has to move, for which any other
// request can wait.
const movingTarget = time.Millisecond

// NewMovingWaiter returns a waiter for a generation that has to move and needs some
// tokens of memory. All patient requests yield to it.
func NewMovingWaiter(service string, tokens int) Waiter {
	return Waiter{Service: service, PromptTokens: tokens, Target: movingTarget}
}

// LargestWaiters returns, of some waiting requests, the largest one of each service,
// priority and target. Others that yield leave room for the largest, so that they need to
// know no more. Requests whose callers have returned are left out: no others yield to
// them.
//
// It is built for this load: a gateway has dozens of drafts in its queue and one check,
// which is smaller than all of them, and the other gateways have to know of the check.
func LargestWaiters(waiting []Waiter) []Waiter {
	type class struct {
		service  string
		priority int
		target   time.Duration
	}
	largest := map[class]Waiter{}
	for _, w := range waiting {
		k := class{w.Service, w.Priority, w.Target}
		if o, ok := largest[k]; !w.IsReturn && (!ok || w.PromptTokens > o.PromptTokens) {
			largest[k] = w
		}
	}
	return slices.Collect(maps.Values(largest))
}

// Add adds a request to the queue.
func (q *Queue) Add(w Waiter) {
	q.waiting = append(q.waiting, w)
}

// Remove removes a request that was placed or timed out after the given wait.
// If n requests were in the queue, about n have departed during that wait.
func (q *Queue) Remove(id string, waited time.Duration, placed bool) {
	n := len(q.waiting)
	q.waiting = slices.DeleteFunc(q.waiting, func(w Waiter) bool { return w.ID == id })
	observed := waited / time.Duration(max(n, 1))
	if !placed {
		// Without a placement, departures are at least this far apart.
		observed = max(waited, q.meanInterval)
	}
	if q.meanInterval == 0 {
		q.meanInterval = observed
		return
	}
	q.meanInterval += time.Duration(smoothingFactor * float64(observed-q.meanInterval))
}

// HeadroomTokens returns the memory that a request of the given priority must
// leave free for more urgent requests in the queue. Priority decides only which
// request is placed; running generations are not interrupted for a more urgent
// one.
func (q *Queue) HeadroomTokens(priority int) int {
	headroom := 0
	for _, w := range q.waiting {
		if w.Priority < priority {
			headroom = max(headroom, w.PromptTokens)
		}
	}
	return headroom
}

// Waiting returns the requests in the queue. The slice must not be changed.
func (q *Queue) Waiting() []Waiter {
	return q.waiting
}

// RoomForOthers returns the memory that a request of some priority leaves free for those
// that wait, at this gateway or another one, to which it yields. More urgent and equally
// urgent ones count. A request that is late already, since its caller has returned,
// yields to all that can still be on time, but not for all of its time in the queue.
func (p Patience) RoomForOthers(waiting []Waiter, priority int, queued, timeout time.Duration) int {
	isPatientReturn := p.IsReturn && p.isServicePatient() && float64(queued) < returnYieldShare*float64(timeout)
	room := 0
	for _, w := range waiting {
		if w.Priority <= priority && (p.Yields(w.Target) || isPatientReturn && !w.IsReturn) {
			room = max(room, w.PromptTokens)
		}
	}
	return room
}

// ExpectedWait returns how long one more request is expected to wait. It is
// zero for an empty queue, which gives no basis for an estimate.
func (q *Queue) ExpectedWait() time.Duration {
	return time.Duration(len(q.waiting)) * q.meanInterval
}

// RetryAfter returns the delay after which a refused caller should retry.
func (q *Queue) RetryAfter() time.Duration {
	return min(max(time.Duration(len(q.waiting)+1)*q.meanInterval, minRetryAfter), maxRetryAfter)
}
