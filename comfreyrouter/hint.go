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

// Costs of one request where the hint does not tell.
const (
	// unknownShare is the part of a cache that one request is taken to fill.
	unknownShare = 1.0 / 32
	// plainShare is the load of one request at an upstream without a cache.
	plainShare = 1.0 / 8
)

// load returns the load that the hint shows, where 1 stands for a full cache
// or for one second of expected wait.
func (h Hint) load() float64 {
	l := h.ExpectedWait.Seconds()
	if h.CapacityTokens <= 0 {
		return l + plainShare*float64(h.Running+h.Queued)
	}
	used := max(h.UsedTokens, h.PredictedPeakTokens)
	return l + float64(used)/float64(h.CapacityTokens) + h.share()*float64(h.Queued)
}

// share returns the load that one more request adds: that of the mean running
// request.
func (h Hint) share() float64 {
	switch {
	case h.CapacityTokens <= 0:
		return plainShare
	case h.Running <= 0 || h.UsedTokens <= 0:
		return unknownShare
	default:
		return float64(h.UsedTokens) / float64(h.Running) / float64(h.CapacityTokens)
	}
}
