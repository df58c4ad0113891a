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
	lateNeighbourCost    = 0.4
	lateNeighbourNowCost = 1.2
)

// pace returns the pace of a candidate.
func (c Candidate) pace() comfreypace.Pace {
	if c.Pace.Usual <= 0 {
		return comfreypace.Unknown
	}
	return c.Pace
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
	case d.TargetPause <= 0:
	case longestPause(d.TokensPerEvent, p.Now) > d.TargetPause:
		cost += lateNeighbourNowCost * float64(c.Load.Decoding)
	case longestPause(d.TokensPerEvent, p.Slow) > d.TargetPause:
		cost += lateNeighbourCost * float64(c.Load.Decoding)
	}
	return cost
}

// longestPause returns the time between two events of a generation while a prompt is
// prefilled beside it.
func longestPause(tokensPerEvent int, pace float64) time.Duration {
	return time.Duration(float64(chunkStep) * float64(max(tokensPerEvent, 1)) * pace)
}
