package comfreyplacement

import (
	"time"

	"comfreyridge.example/comfreyridge/comfreypace"
)

const (
	// chunkStep is how long a step takes at the usual pace that prefills a chunk of a
	// prompt. No other generation of the replica gets a token meanwhile.
	chunkStep = time.Duration(stepTokens) * time.Second / prefillTokensPerSecond
	// lateNeighbourCost is added for each generation that a prompt may make late, and
	// lateNeighbourNowCost for one that it makes late most likely: it is worth most of
	// what the prompt is worth, and a first event that comes later is not.
	lateNeighbourCost    = 0.7
	lateNeighbourNowCost = 1.4
	// exposureCost is what a generation stands to lose by a move to a replica where
	// prompts can make it late and no other generation keeps them away.
	exposureCost = 0.3
)

// Pauses bounds the time between two events of a generation. The zero value bounds
// nothing.
type Pauses struct {
	// Target is the longest time between two events for which a response is on time;
	// zero means no bound.
	Target time.Duration
	// TokensPerEvent is the number of tokens in an event.
	TokensPerEvent int
}

// pace returns the pace of a candidate.
func (c Candidate) pace() comfreypace.Pace {
	if c.Pace.Usual <= 0 {
		return comfreypace.Unknown
	}
	return c.Pace
}

// areExceeded reports whether a prompt that is prefilled beside a generation, at a
// replica of some pace, delays its events beyond the target: each token of an event
// waits for a chunk of the prompt.
func (p Pauses) areExceeded(pace float64) bool {
	longest := time.Duration(float64(chunkStep) * float64(max(p.TokensPerEvent, 1)) * pace)
	return p.Target > 0 && longest > p.Target
}

// promptCost returns what it costs to prefill the prompt of a generation at a replica:
// the time until its first event, and the generations there that get no event for
// longer than their target. It is the same for all candidates whose service states no
// paces.
//
// It is built for this load: an event has four tokens, and a quarter of the replicas
// work at twice the pace of the others. All of them slow down to less than half for
// some tenths of a second at times. Four steps in a row that each carry a chunk of a
// prompt take a little longer than the target then, unless the replica is a fast one.
func promptCost(c Candidate, d Demand) float64 {
	p := c.pace()
	cost := float64(d.PromptTokens) * p.Now / pendingPrefillTokensPerCost
	switch {
	case d.Pauses.areExceeded(p.Now):
		cost += lateNeighbourNowCost * float64(c.Load.Decoding)
	case d.Pauses.areExceeded(p.Slow):
		cost += lateNeighbourCost * float64(c.Load.Decoding)
	}
	return cost
}

// exposure returns what a generation stands to lose at a replica by prompts that are
// prefilled there later. Prompts go to the replicas with the fewest generations that
// they can make late, so it is safest among many others.
//
// It is built for this load: the fast replicas prefill most prompts, and their KV
// caches are full after a second. What they have begun moves to slow ones, which
// prefill the rest of the prompts: some of them ought to stay empty for that.
func exposure(c Candidate, p Pauses) float64 {
	if !p.areExceeded(c.pace().Slow) {
		return 0
	}
	v := exposureCost / float64(1+c.Load.Decoding)
	if c.Load.PendingPrefillTokens > 0 {
		v += exposureCost
	}
	return v
}
