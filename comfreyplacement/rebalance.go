package comfreyplacement

// ChooseRebalancingMove is built for this load: every few seconds, replicas
// leave and others start. Those that stay fill up with the generations that
// moved to them. Only a new one has free capacity, so all new prompts would be
// prefilled there, one after the other.
const (
	// minRebalancingGain is by how much the utilization of the source must
	// exceed that of the destination, after the move, for a generation to move.
	minRebalancingGain = 0.25
	// otherDataCentreMoveCost is subtracted from the gain of a move to another
	// data centre, because the copy takes twice as long.
	otherDataCentreMoveCost = 0.25
	// minRebalancingTokens is how many tokens a generation must be expected to
	// produce yet to be worth a move, which takes up to half a second.
	minRebalancingTokens = 150
)

// Movable is a generation that can move to another replica.
type Movable struct {
	// From is the index of the source among the candidates.
	From int
	// Tokens is the size of the KV cache, and RemainingTokens the number of
	// output tokens expected to follow.
	Tokens          int
	RemainingTokens float64
	// IsDecoding is true from the first event on.
	IsDecoding bool
	Pauses     Pauses
}

// ChooseRebalancingMove chooses a generation to move from a full replica to an
// emptier one. It returns the indexes of the generation and of the destination,
// or -1 and -1 if no move gains enough.
func ChooseRebalancingMove(candidates []Candidate, movables []Movable) (generation, destination int) {
	generation, destination = -1, -1
	best := minRebalancingGain
	for m, r := range movables {
		if r.RemainingTokens < minRebalancingTokens {
			continue
		}
		for d, c := range candidates {
			if d == r.From || c.IsCold || c.Load.CopyTokens > 0 || c.Load.CapacityTokens <= 0 || c.Load.UsedTokens+r.Tokens > c.Load.CapacityTokens {
				continue
			}
			// The move lowers the utilization of the source and raises that of
			// the destination.
			gain := utilization(candidates[r.From]) - utilization(c) - 2*float64(r.Tokens)/float64(c.Load.CapacityTokens)
			gain -= exposure(c, r.Pauses)
			if c.DataCentre != candidates[r.From].DataCentre {
				gain -= otherDataCentreMoveCost
			}
			if gain > best {
				generation, destination, best = m, d, gain
			}
		}
	}
	return generation, destination
}
