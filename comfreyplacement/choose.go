// Package comfreyplacement decides at which replica a request runs, whether it
// waits for a place, and when it is rejected. It makes no calls and reads no
// clock.
//
// The load pattern that it answers: generations of unknown length share the
// memory of a dozen engines, of which a sixth leaves every few seconds, so that
// the memory of those that remain has to take in what moves.
package comfreyplacement

import (
	"comfreyridge.example/comfreyridge/comfreyoccupancy"
)

const (
	// expectedShare is the part of the expected growth that counts as taken
	// when a generation is placed: the running ones do not end at once, and some
	// end before others grow.
	expectedShare = 0.25
	// otherDataCentreCost is what another data centre adds to a cost. It is
	// small, because a few milliseconds matter little to a generation.
	otherDataCentreCost = 0.03
	// coldCost is added for a replica that is slow after its start.
	coldCost = 0.2
	// suspicionCost is added for a replica that failed all recent requests.
	suspicionCost = 2
	// runCost is what each generation at a replica adds to its cost: while a
	// prompt of 3,000 tokens is read, each loses about 0.2 s.
	runCost = 0.15
	// unreadTokensPerCost is how many unread prompt tokens weigh as much as a
	// whole memory: an engine that also generates reads about 7 tokens in a
	// millisecond, so this many delay a first event by almost a second.
	unreadTokensPerCost = 7_000
)

// Candidate is a replica that takes new work.
type Candidate struct {
	ID      string
	Address string
	// DataCentre is where the replica runs.
	DataCentre string
	// IsSameDataCentre is true in this gateway's own data centre.
	IsSameDataCentre bool
	// IsCold is true for some time after the replica's start.
	IsCold bool
	// FailureRate is the share of recent requests that failed there, from 0 to 1.
	FailureRate float64
	Slots       int
	Load        comfreyoccupancy.Load
}

// Demand is what a generation takes.
type Demand struct {
	PromptTokens   int
	ExpectedTokens float64
	// HeadroomTokens is memory that has to stay free besides.
	HeadroomTokens int
	// MaxPendingPrefillTokens bounds the prompts that a replica has yet to read before
	// this one, so that the first event comes in time; zero means no bound.
	MaxPendingPrefillTokens int
	// CopyRate is how many tokens a second a link between two replicas carries;
	// zero if unknown.
	CopyRate float64
}

// ChooseForGeneration returns the index of the best candidate for a generation, or -1
// if none has room. The draw, in [0, 1), breaks near ties, so that gateways
// with the same view do not all choose the same replica.
func ChooseForGeneration(candidates []Candidate, n Demand, draw func() float64) int {
	return cheapest(candidates, draw, func(c Candidate) (float64, bool) {
		return generationCost(c), hasRoom(c, n)
	})
}

// ChooseForUnary returns the index of the best candidate for a request to a service
// that generates nothing, or -1 if there is none.
func ChooseForUnary(candidates []Candidate, draw func() float64) int {
	return cheapest(candidates, draw, func(c Candidate) (float64, bool) {
		cost := replicaCost(c)
		if c.Slots > 0 {
			cost += float64(c.Load.Running+c.Load.Waiting) / float64(c.Slots)
		}
		return cost, true
	})
}

// tieSpread is the size of the random part of a cost: about half a generation
// of 3,500 tokens in a memory of 34,000.
const tieSpread = 0.05

// cheapest returns the index of the candidate that can be chosen at the least
// cost, or -1 if there is none.
func cheapest(candidates []Candidate, draw func() float64, cost func(c Candidate) (float64, bool)) int {
	best, least := -1, 0.0
	for i, c := range candidates {
		v, ok := cost(c)
		if !ok {
			continue
		}
		v += draw() * tieSpread
		if best < 0 || v < least {
			best, least = i, v
		}
	}
	return best
}

// hasRoom reports whether a generation fits into a replica's memory and slots.
func hasRoom(c Candidate, n Demand) bool {
	if c.Slots > 0 && c.Load.Running+c.Load.Waiting >= c.Slots {
		return false
	}
	if n.MaxPendingPrefillTokens > 0 && c.Load.PendingPrefillTokens > n.MaxPendingPrefillTokens {
		return false
	}
	if c.Load.IsRefusing {
		return false
	}
	if c.Load.CapacityTokens <= 0 {
		return true
	}
	need := float64(n.PromptTokens+n.HeadroomTokens) + expectedShare*n.ExpectedTokens
	return takenTokens(c)+need <= float64(c.Load.CapacityTokens)
}

// takenTokens is the memory that counts as taken at a replica.
func takenTokens(c Candidate) float64 {
	return float64(c.Load.UsedTokens) + expectedShare*c.Load.RemainingTokens
}

// memoryCost is the part of a replica's memory that is taken; zero if its
// memory is unknown.
func memoryCost(c Candidate) float64 {
	if c.Load.CapacityTokens <= 0 {
		return 0
	}
	return takenTokens(c) / float64(c.Load.CapacityTokens)
}

// replicaCost is the cost of a replica for any request.
func replicaCost(c Candidate) float64 {
	cost := suspicionCost * c.FailureRate
	if !c.IsSameDataCentre {
		cost += otherDataCentreCost
	}
	if c.IsCold {
		cost += coldCost
	}
	return cost
}

// generationCost is the cost of a replica for a generation.
func generationCost(c Candidate) float64 {
	return replicaCost(c) + memoryCost(c) + runCost*float64(c.Load.Running+c.Load.Waiting) + float64(c.Load.PendingPrefillTokens)/unreadTokensPerCost
}
