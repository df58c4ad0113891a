package comfreyreplay

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"comfreyridge.example/comfreyridge/comfreyadmission"
)

// Query is what a gateway knows about a request when it picks a replica.
type Query struct {
	// Now is the time since the start of the trace.
	Now time.Duration
	// DataCentre is where the caller entered.
	DataCentre string
	// Prefix names the shared prefix of the prompt; empty means none.
	Prefix string
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// Tried lists the replicas that refused the request.
	Tried []int
}

// Hint is what a gateway last heard of a replica.
type Hint struct {
	// Age is the time since the report.
	Age time.Duration
	// Near says that the replica is in the gateway's data centre.
	Near bool
	// Sent is how many requests the gateway sent there since the report.
	Sent int
	// Load is the report.
	Load comfreyadmission.Load
}

// load returns a scalar that grows with the load of the replica.
func (h Hint) load() float64 {
	l := h.Load
	mean := float64(l.UsedTokens+1) / float64(max(l.Running, 1))
	waiting := float64(l.Queued+h.Sent) * max(mean, 300)
	return (float64(max(l.UsedTokens, l.PeakTokens/2)) + waiting) / float64(max(l.CapacityTokens, 1))
}

// Choose picks a replica for a query among hints, which the replica's number
// indexes. It returns a number below zero if none is left.
type Choose func(r *rand.Rand, q Query, hints []Hint) int

// ChooseRandom picks any replica.
func ChooseRandom(r *rand.Rand, q Query, hints []Hint) int {
	i := -1
	seen := 0
	for n := range hints {
		if tried(q, n) {
			continue
		}
		seen++
		if r.IntN(seen) == 0 {
			i = n
		}
	}
	return i
}

// ChooseLeastLoaded picks the replica whose hint shows the least load. Old
// hints make every gateway pick the same one.
func ChooseLeastLoaded(_ *rand.Rand, q Query, hints []Hint) int {
	best := -1
	for n := range hints {
		if tried(q, n) {
			continue
		}
		if best < 0 || hints[n].load() < hints[best].load() {
			best = n
		}
	}
	return best
}

// ChooseTwo picks the less loaded of two random replicas (the power of two
// choices, Mitzenmacher).
func ChooseTwo(r *rand.Rand, q Query, hints []Hint) int {
	a := ChooseRandom(r, q, hints)
	b := ChooseRandom(r, q, hints)
	if a >= 0 && hints[b].load() < hints[a].load() {
		return b
	}
	return a
}

// affinityBound is how much more load than the alternative the replica of the
// prefix may have.
const affinityBound = 0.1

// ChoosePrefix picks the replica that rendezvous hashing gives the prefix,
// unless two choices find one that is less loaded by affinityBound.
func ChoosePrefix(r *rand.Rand, q Query, hints []Hint) int {
	other := ChooseTwo(r, q, hints)
	if q.Prefix == "" {
		return other
	}
	home, highest := -1, uint64(0)
	for n := range hints {
		h := xxhash.Sum64String(fmt.Sprintf("%s/%d", q.Prefix, n))
		if !tried(q, n) && h >= highest {
			home, highest = n, h
		}
	}
	if home >= 0 && hints[home].load() <= hints[other].load()+affinityBound {
		return home
	}
	return other
}

// tried reports whether replica n has refused the request.
func tried(q Query, n int) bool {
	for _, t := range q.Tried {
		if t == n {
			return true
		}
	}
	return false
}

// ChooseNamed returns a choice called random, least-loaded, two-choices, prefix
// or router; the last one is for one replay only. It returns an error for any other text.
func ChooseNamed(name string) (Choose, error) {
	switch name {
	case "random":
		return ChooseRandom, nil
	case "least-loaded":
		return ChooseLeastLoaded, nil
	case "two-choices":
		return ChooseTwo, nil
	case "prefix":
		return ChoosePrefix, nil
	case "router":
		return NewRouterChoice(), nil
	default:
		return nil, fmt.Errorf("comfreyreplay: unknown routing %q", name)
	}
}
