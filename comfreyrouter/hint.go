// Package comfreyrouter chooses the upstream for each request of a gateway,
// from hints that lag behind the truth, and bounds the retries. A wrong choice
// costs a refusal and never a promise, because the sidecar decides.
package comfreyrouter

import (
	"time"

	"comfreyridge.example/comfreyridge/comfreyfleet"
)

// Hint is the load of an upstream as its sidecar reported it, on an answer or
// to a probe. The zero value claims an idle upstream of unknown size. It is an
// immutable value.
type Hint struct {
	// Incarnation is the life of the sidecar that reported.
	Incarnation comfreyfleet.Incarnation
	// Accepting says whether the sidecar takes new work.
	Accepting bool
	// Running is how many requests the upstream runs.
	Running int
	// Queued is how many requests wait in the sidecar.
	Queued int
	// UsedTokens is the cache in use; zero for a plain service.
	UsedTokens int
	// CapacityTokens is the size of the cache; zero for a plain service.
	CapacityTokens int
	// PredictedPeakTokens is the most cache that the running requests are
	// expected to use at once.
	PredictedPeakTokens int
	// ExpectedWait is how long a request that arrived now would wait for its
	// first service.
	ExpectedWait time.Duration
	// At is when the hint was received, by the clock of the gateway.
	At time.Time
}

// Weights of the parts of a cost.
const (
	// pendingShare is the part of a cache that one request sent since the hint
	// is taken to fill.
	pendingShare = 1.0 / 32
	// requestCost is the cost of one request at an upstream without a cache.
	requestCost = 1.0 / 8
)

// load returns the load that the hint shows, where 1 stands for a full cache
// or for one second of expected wait.
func (h Hint) load() float64 {
	w := h.ExpectedWait.Seconds()
	if h.CapacityTokens <= 0 {
		return w + requestCost*float64(h.Running+h.Queued)
	}
	used := max(h.UsedTokens, h.PredictedPeakTokens)
	return w + float64(used)/float64(h.CapacityTokens) + pendingShare*float64(h.Queued)
}

// share returns the load that one more request adds.
func (h Hint) share() float64 {
	if h.CapacityTokens <= 0 {
		return requestCost
	}
	return pendingShare
}
