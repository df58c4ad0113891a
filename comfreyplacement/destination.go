package comfreyplacement

import "time"

const (
	// otherDataCentreCopyFactor is how many times longer a copy to another data
	// centre takes.
	otherDataCentreCopyFactor = 2
	// copyTimePerCost is the transfer time that costs as much as a full KV
	// cache. A replica leaves with 1.5 s of notice, and half a dozen copies
	// share its link.
	copyTimePerCost = 250 * time.Millisecond
)

// ChooseMoveDestination returns the index of the best candidate for a
// generation that moves, or -1 if none has enough free capacity.
// IsSameDataCentre refers to the data centre of the source replica. All of the
// capacity may be used, without headroom, because a running generation is worth
// more than one that has not started.
//
// It is built for this load: a replica with half a dozen generations leaves
// within 1.5 s, its link and those of the destinations transfer one copy after
// the other, and another replica leaves at the same time.
func ChooseMoveDestination(candidates []Candidate, d Demand, random func() float64) int {
	return cheapest(candidates, random, func(c Candidate) (float64, bool) {
		fits := c.Load.CapacityTokens <= 0 || c.Load.UsedTokens+d.PromptTokens <= c.Load.CapacityTokens
		return generationCost(c) + exposure(c, d.Pauses) + float64(copyTime(c, d))/float64(copyTimePerCost), fits
	})
}

// copyTime returns how long the copy of a generation takes to arrive, including
// the copies that are already on their way to the candidate. It is zero if the
// transfer rate is unknown.
func copyTime(c Candidate, d Demand) time.Duration {
	if d.CopyTokensPerSecond <= 0 {
		return 0
	}
	tokens := float64(d.PromptTokens)
	if !c.IsSameDataCentre {
		tokens *= otherDataCentreCopyFactor
	}
	return time.Duration((float64(c.Load.CopyTokens) + tokens) / d.CopyTokensPerSecond * float64(time.Second))
}
