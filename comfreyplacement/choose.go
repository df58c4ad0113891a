// Package comfreyplacement decides which replica executes a request, whether
// the request waits in a queue, and when it is refused. It makes no calls and
// reads no clock.
//
// It is built for this load: generations of unknown length share the KV caches
// of a dozen engines. A sixth of the engines leaves every few seconds, and the
// KV caches of the others have to hold the generations that move too.
package comfreyplacement

import (
	"comfreyridge.example/comfreyridge/comfreyoccupancy"
	"comfreyridge.example/comfreyridge/comfreypace"
)

const (
	// expectedGrowthShare is the part of the expected growth that counts as
	// used when a generation is placed: the running generations do not all
	// reach their full length at the same time, and some end before others
	// grow.
	expectedGrowthShare = 0.25
	// otherDataCentreCost is added for a replica in another data centre. It is
	// small, because a few milliseconds matter little to a generation.
	otherDataCentreCost = 0.03
	// otherCellCost is added for a replica of another cell. It is as much as two
	// generations, because the load of such a replica is known only as it was
	// some hundred milliseconds ago.
	otherCellCost = 0.3
	// coldCost is added for a replica that is still warming up.
	coldCost = 0.2
	// failureRateCost is added for a replica at which all recent requests
	// failed.
	failureRateCost = 2
	// perGenerationCost is added for each generation at a replica: each of them
	// loses about 0.2 s while a prompt of 3,000 tokens is prefilled.
	perGenerationCost = 0.15
	// pendingPrefillTokensPerCost is how many pending prefill tokens cost as
	// much as a full KV cache. While it decodes, an engine prefills about 7
	// tokens in a millisecond, so this many delay a first event by almost a
	// second.
	pendingPrefillTokensPerCost = 7_000
)

// Candidate is a replica that accepts new work.
type Candidate struct {
	ID      string
	Address string
	// DataCentre is where the replica runs.
	DataCentre string
	// IsSameDataCentre is true for a replica in the data centre of this
	// gateway, or, in ChooseMoveDestination, of the replica that the generation
	// leaves.
	IsSameDataCentre bool
	// IsOtherCell is true for a replica that another cell of gateways uses.
	IsOtherCell bool
	// IsCold is true while the replica warms up after its start.
	IsCold bool
	// FailureRate is the share of recent requests to the replica that failed,
	// from 0 to 1.
	FailureRate float64
	// Slots is how many requests the replica processes at once; zero if
	// unknown.
	Slots int
	Load  comfreyoccupancy.Load
	// Pace is how fast the replica works; the zero value is that of a replica whose
	// service states no paces.
	Pace comfreypace.Pace
}

// Demand is the capacity and time that a generation needs at a replica.
type Demand struct {
	PromptTokens int
	// ExpectedTokens is the expected number of output tokens.
	ExpectedTokens float64
	// HeadroomTokens is memory that must also stay free, for more urgent
	// requests.
	HeadroomTokens int
	// MoveShare is the part of the memory that must also stay free, for generations
	// that move.
	MoveShare float64
	// MaxPendingPrefillTokens bounds the prompts that a replica has yet to
	// prefill before this one, so that the first event is on time; zero means
	// no bound.
	MaxPendingPrefillTokens int
	// CopyTokensPerSecond is how many tokens a second a link between two
	// replicas transfers; zero if unknown.
	CopyTokensPerSecond float64
	// Pauses are those of the generations of the service.
	Pauses Pauses
}

// ChooseForGeneration returns the index of the best candidate for a generation,
// or -1 if it fits on none. The random numbers, in [0, 1), break near ties, so
// that gateways with the same view do not all choose the same replica.
func ChooseForGeneration(candidates []Candidate, d Demand, random func() float64) int {
	return cheapest(candidates, random, func(c Candidate) (float64, bool) {
		return generationCost(c) + promptCost(c, d), fits(c, d)
	})
}

// ChooseForUnary returns the index of the best candidate for a unary request,
// or -1 if there is no candidate. The random numbers are in [0, 1).
func ChooseForUnary(candidates []Candidate, random func() float64) int {
	return cheapest(candidates, random, func(c Candidate) (float64, bool) {
		cost := replicaCost(c)
		if c.Slots > 0 {
			cost += float64(c.Load.Running+c.Load.Waiting+1) / float64(c.Slots) * c.pace().Now
		}
		return cost, true
	})
}

// maxRandomCost bounds the random part of a cost. It is about half the cost of
// a generation of 3,500 tokens in a capacity of 34,000 tokens.
const maxRandomCost = 0.05

// cheapest returns the index of the candidate with the lowest cost, or -1 if
// none can be chosen. The cost function reports false for a candidate that
// cannot be chosen.
func cheapest(candidates []Candidate, random func() float64, cost func(c Candidate) (float64, bool)) int {
	best, least := -1, 0.0
	for i, c := range candidates {
		v, ok := cost(c)
		if !ok {
			continue
		}
		v += random() * maxRandomCost
		if best < 0 || v < least {
			best, least = i, v
		}
	}
	return best
}

// fits reports whether a generation fits into a replica's free capacity and
// slots, and the replica neither exceeds the bound on pending prefill nor has
// just refused another generation. A replica of unknown capacity counts as
// large enough.
func fits(c Candidate, d Demand) bool {
	if c.Slots > 0 && c.Load.Running+c.Load.Waiting >= c.Slots {
		return false
	}
	if d.MaxPendingPrefillTokens > 0 && float64(c.Load.PendingPrefillTokens)*c.pace().Now > float64(d.MaxPendingPrefillTokens) {
		return false
	}
	if c.Load.IsRefusing {
		return false
	}
	if c.Load.CapacityTokens <= 0 {
		return true
	}
	need := float64(d.PromptTokens+d.HeadroomTokens) + expectedGrowthShare*d.ExpectedTokens + d.MoveShare*float64(c.Load.CapacityTokens)
	return committedTokens(c)+need <= float64(c.Load.CapacityTokens)
}

// committedTokens returns the memory that counts as used at a replica: the
// tokens in use and part of the expected growth.
func committedTokens(c Candidate) float64 {
	return float64(c.Load.UsedTokens) + expectedGrowthShare*c.Load.RemainingTokens
}

// utilization returns the share of a replica's capacity that counts as used, or
// zero if its capacity is unknown.
func utilization(c Candidate) float64 {
	if c.Load.CapacityTokens <= 0 {
		return 0
	}
	return committedTokens(c) / float64(c.Load.CapacityTokens)
}

// replicaCost returns the part of the cost that is the same for all requests.
func replicaCost(c Candidate) float64 {
	cost := failureRateCost * c.FailureRate
	if !c.IsSameDataCentre {
		cost += otherDataCentreCost
	}
	if c.IsOtherCell {
		cost += otherCellCost
	}
	if c.IsCold {
		cost += coldCost
	}
	return cost
}

// generationCost returns the cost of executing a generation at a replica.
func generationCost(c Candidate) float64 {
	return replicaCost(c) + utilization(c) + perGenerationCost*float64(c.Load.Running+c.Load.Waiting) + float64(c.Load.PendingPrefillTokens)*c.pace().Now/pendingPrefillTokensPerCost
}
