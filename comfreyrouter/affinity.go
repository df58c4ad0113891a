package comfreyrouter

import "math"

// affine returns the replica that a prefix belongs to by rendezvous hashing,
// or the next in line if that one is loaded beyond the bound (Mirrokni and
// others, "Consistent Hashing with Bounded Loads"). It returns none if both
// are.
func (s *selection) affine(c *centre, prefix uint64) candidate {
	first := highest(c.hashes, prefix, math.MaxUint64)
	if first == 0 {
		return candidate{}
	}
	if p := s.bounded(c.all[first&indexMask]); p.replica != nil {
		return p
	}
	second := highest(c.hashes, prefix, first)
	if second == 0 {
		return candidate{}
	}
	return s.bounded(c.all[second&indexMask])
}

// indexMask selects the bits of a score that hold the index of its hash, so
// that the search for the highest needs no branch.
const indexMask = 1<<16 - 1

// highest returns the highest score below a limit of any hash for a prefix,
// or 0 if there is none. Hashes beyond the first 65,536 are passed over.
func highest(hashes []uint64, prefix, limit uint64) uint64 {
	var best uint64
	for i, h := range hashes[:min(len(hashes), indexMask+1)] {
		m := mix(h, prefix)&^indexMask | uint64(i)
		if m < limit {
			best = max(best, m)
		}
	}
	return best
}

// bounded returns a replica if it may get more work for its prefix.
func (s *selection) bounded(p *replica) candidate {
	if !s.allowed(p) {
		return candidate{}
	}
	c := s.candidate(p)
	if c.cost > min(s.config.BoundFactor*s.mean+p.share, s.config.SpillLoad) {
		return candidate{}
	}
	return c
}
