package comfreyplacement

import "time"

const (
	// farCopyFactor is how much longer a copy to another data centre takes.
	farCopyFactor = 2
	// copyTimePerCost is the time on the link that weighs as much as a whole
	// memory: a replica leaves with 1.5 s of notice, and half a dozen copies
	// share its link.
	copyTimePerCost = 250 * time.Millisecond
)

// ChooseMoveDestination returns the index of the best candidate for a generation that
// moves, or -1 if none has room. IsNear speaks of the data centre that the
// generation comes from. A running generation is worth more than one that has
// not begun, so the whole memory may be used.
//
// The load pattern that it answers: a replica with half a dozen generations
// leaves within 1.5 s, its link and those of the destinations carry one copy
// after the other, and another replica leaves at the same moment.
func ChooseMoveDestination(candidates []Candidate, n Demand, draw func() float64) int {
	return cheapest(candidates, draw, func(c Candidate) (float64, bool) {
		fits := c.Load.CapacityTokens <= 0 || c.Load.UsedTokens+n.PromptTokens <= c.Load.CapacityTokens
		return generationCost(c) + float64(copyTime(c, n))/float64(copyTimePerCost), fits
	})
}

// copyTime returns how long the copy of a generation takes to arrive, behind
// those that are on their way to the same candidate.
func copyTime(c Candidate, n Demand) time.Duration {
	if n.CopyRate <= 0 {
		return 0
	}
	tokens := float64(n.PromptTokens)
	if !c.IsSameDataCentre {
		tokens *= farCopyFactor
	}
	return time.Duration((float64(c.Load.CopyTokens) + tokens) / n.CopyRate * float64(time.Second))
}
