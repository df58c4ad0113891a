// Package comfreyrouter chooses the upstream for each request of a gateway and
// bounds the retries. It chooses by hints that lag behind the actual load. A
// wrong choice costs a refusal but breaks no guarantee, because the sidecar of
// the upstream makes the final decision on admission.
package comfreyrouter

import (
	"time"

	"comfreyridge.example/comfreyridge/comfreyfleet"
)

// Hint is the load of an upstream as its sidecar reported it, with a response
// or a probe. The zero value stands for an idle upstream of unknown size that
// refuses new work. It is an immutable value.
type Hint struct {
	// Incarnation is the incarnation of the sidecar that sent the report.
	Incarnation comfreyfleet.Incarnation
	// Accepting says whether the sidecar takes new work.
	Accepting bool
	// Running is the number of requests that the upstream executes.
	Running int
	// Queued is the number of requests in the queue of the sidecar.
	Queued int
	// UsedTokens is the KV cache in use; zero for a plain service.
	UsedTokens int
	// CapacityTokens is the size of the KV cache; zero for a plain service.
	CapacityTokens int
	// PredictedPeakTokens is the predicted peak of the KV cache that the running
	// requests use together.
	PredictedPeakTokens int
	// ExpectedWait is the expected time in the queue for a request that arrives
	// now.
	ExpectedWait time.Duration
	// At is when the hint was received, by the clock of the gateway.
	At time.Time
}

// Load of one request where the hint does not show it.
const (
	// unknownRequestLoad is the share of a KV cache that one request is assumed to
	// use.
	unknownRequestLoad = 1.0 / 32
	// unaryRequestLoad is the load of one request at an upstream without a KV
	// cache.
	unaryRequestLoad = 1.0 / 8
)

// load returns the load by the hint, where 1 stands for a full KV cache or for
// one second of expected wait.
func (h Hint) load() float64 {
	l := h.ExpectedWait.Seconds()
	if h.CapacityTokens <= 0 {
		return l + unaryRequestLoad*float64(h.Running+h.Queued)
	}
	used := max(h.UsedTokens, h.PredictedPeakTokens)
	return l + float64(used)/float64(h.CapacityTokens) + h.loadPerRequest()*float64(h.Queued)
}

// loadPerRequest returns the load that one more request adds: that of the mean
// running request.
func (h Hint) loadPerRequest() float64 {
	switch {
	case h.CapacityTokens <= 0:
		return unaryRequestLoad
	case h.Running <= 0 || h.UsedTokens <= 0:
		return unknownRequestLoad
	default:
		return float64(h.UsedTokens) / float64(h.Running) / float64(h.CapacityTokens)
	}
}
