package comfreyplacement

// The load pattern that Relief answers: replicas leave and others come every
// few seconds. Those that stay fill up with what moved to them, and a new one
// has the only free memory, so that every new prompt would be read there, one
// after another.
const (
	// reliefGain is by how much the cost of a replica must exceed that of
	// another, after the move, for one generation to move.
	reliefGain = 0.25
	// farReliefCost is what another data centre takes off a gain, because the
	// copy takes twice as long.
	farReliefCost = 0.25
	// minReliefTokens is how many tokens a generation must have left to be
	// worth a move, which takes up to half a second.
	minReliefTokens = 150
)

// Movable is a generation that may move.
type Movable struct {
	// From is the index of the candidate where it runs.
	From int
	// Tokens is the memory that it holds, and RemainingTokens the expected
	// growth.
	Tokens          int
	RemainingTokens float64
	// HasBegun is true from the first event on.
	HasBegun bool
}

// ChooseRebalancingMove chooses a generation to move from a full replica to an emptier one. It
// returns the indexes of the generation and of the destination, or -1 and -1 if
// nothing is gained.
func ChooseRebalancingMove(candidates []Candidate, movables []Movable) (generation, destination int) {
	generation, destination = -1, -1
	best := reliefGain
	for m, r := range movables {
		if r.RemainingTokens < minReliefTokens {
			continue
		}
		for d, c := range candidates {
			if d == r.From || c.IsCold || c.Load.CopyTokens > 0 || c.Load.CapacityTokens <= 0 || c.Load.UsedTokens+r.Tokens > c.Load.CapacityTokens {
				continue
			}
			gain := memoryCost(candidates[r.From]) - memoryCost(c) - 2*float64(r.Tokens)/float64(c.Load.CapacityTokens)
			if c.DataCentre != candidates[r.From].DataCentre {
				gain -= farReliefCost
			}
			if gain > best {
				generation, destination, best = m, d, gain
			}
		}
	}
	return generation, destination
}
