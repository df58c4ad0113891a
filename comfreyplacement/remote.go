package comfreyplacement

import (
	"cmp"
	"slices"
)

// remoteSample is how many replicas of other cells are considered for one
// generation.
const remoteSample = 3

// LeastLoaded returns up to n of the candidates, those at which a generation
// costs least.
func LeastLoaded(candidates []Candidate, n int) []Candidate {
	l := slices.Clone(candidates)
	slices.SortFunc(l, func(a, b Candidate) int { return cmp.Compare(generationCost(a), generationCost(b)) })
	return l[:min(n, len(l))]
}

// SampleRemote returns some of the replicas of other cells, chosen at random. It
// changes the order of the candidates. The random numbers are in [0, 1).
//
// It is built for this load: the gateways of a full cell all see the same
// replicas of other cells with free capacity, in loads that are half a second
// old. If each of them considered all of these replicas, all would choose the
// same one.
func SampleRemote(candidates []Candidate, random func() float64) []Candidate {
	n := min(remoteSample, len(candidates))
	for i := range n {
		j := i + int(random()*float64(len(candidates)-i))
		candidates[i], candidates[j] = candidates[j], candidates[i]
	}
	return candidates[:n]
}
