package comfreystream

import (
	"sync"
	"time"

	"comfreyridge.example/comfreyridge/comfreyinvariant"
)

// invariantConservation: every accepted request ends exactly once.
const invariantConservation comfreyinvariant.Name = "request-conservation"

// Outcome is how an accepted request ended. The zero value is OutcomeFailed, so
// that an outcome that was never set does not count as a success.
type Outcome int

// The outcomes of a request.
const (
	// OutcomeFailed means that the caller got an error with a verdict and a
	// reason.
	OutcomeFailed Outcome = iota
	// OutcomeEnded means that the caller got the complete response.
	OutcomeEnded
	// OutcomeCancelled means that the caller cancelled the request or
	// disconnected.
	OutcomeCancelled
)

// String returns the kebab-case name of o. An out-of-range value is reported
// as "failed".
func (o Outcome) String() string {
	switch o {
	case OutcomeEnded:
		return "ended"
	case OutcomeCancelled:
		return "cancelled"
	default:
		return "failed"
	}
}

// Totals counts requests by outcome.
type Totals struct {
	// Accepted is the number of accepted requests, the sum of the other counts.
	Accepted uint64
	// Ended is the number of requests with OutcomeEnded.
	Ended uint64
	// Failed is the number of requests with OutcomeFailed.
	Failed uint64
	// Cancelled is the number of requests with OutcomeCancelled.
	Cancelled uint64
	// Open is the number of requests without an outcome yet.
	Open uint64
}

// RequestTracker tracks accepted requests until they end and checks the
// invariant that each ends exactly once. It is safe for concurrent use. The
// zero value is ready to use.
type RequestTracker struct {
	mu     sync.Mutex
	open   map[string]time.Time
	totals Totals
}

// Accept records that a request was accepted and must end by deadline.
// Accepting a request that is already open violates the invariant.
func (r *RequestTracker) Accept(request string, deadline time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.open == nil {
		r.open = map[string]time.Time{}
	}
	_, ok := r.open[request]
	comfreyinvariant.Check(!ok, invariantConservation, "request %s was accepted twice", request)
	if ok {
		return
	}
	r.open[request] = deadline
	r.totals.Accepted++
	r.totals.Open++
}

// End records the outcome of an accepted request. Ending a request that is not
// open violates the invariant.
func (r *RequestTracker) End(request string, o Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.open[request]
	comfreyinvariant.Check(ok, invariantConservation, "request %s ended (%s) but was not open", request, o)
	if !ok {
		return
	}
	delete(r.open, request)
	r.totals.Open--
	switch o {
	case OutcomeEnded:
		r.totals.Ended++
	case OutcomeCancelled:
		r.totals.Cancelled++
	default:
		r.totals.Failed++
	}
	r.check()
}

// Totals returns the counts so far.
func (r *RequestTracker) Totals() Totals {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.totals
}

// CheckOverdue checks that no open request is past its deadline by more than
// grace, and returns the number of requests that are.
func (r *RequestTracker) CheckOverdue(now time.Time, grace time.Duration) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for q, d := range r.open {
		late := now.Sub(d) > grace
		comfreyinvariant.Check(!late, invariantConservation, "request %s has no outcome %s after its deadline", q, now.Sub(d))
		if late {
			n++
		}
	}
	return n
}

// CheckDrained checks that no request is open. It is meant for the exit of a
// process.
func (r *RequestTracker) CheckDrained() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for q := range r.open {
		comfreyinvariant.Check(false, invariantConservation, "request %s has no outcome at exit", q)
	}
	r.check()
}

// check asserts that the counts add up.
func (r *RequestTracker) check() {
	t := r.totals
	sum := t.Ended + t.Failed + t.Cancelled + t.Open
	comfreyinvariant.Check(sum == t.Accepted && uint64(len(r.open)) == t.Open, invariantConservation, "%d requests were accepted, but the counts by outcome add up to %d", t.Accepted, sum)
}
