package comfreyrouter

// affine returns the replica that a prefix belongs to by rendezvous hashing,
// or the next in line if that one is loaded beyond the bound (Mirrokni and
// others, "Consistent Hashing with Bounded Loads"). It returns none if both
// are.
func (s *selection) affine(c *centre, prefix uint64) candidate {
	first := owner(c.hashes, prefix, -1)
	if first < 0 {
		return candidate{}
	}
	if p := s.bounded(c.all[first]); p.replica != nil {
		return p
	}
	second := owner(c.hashes, prefix, first)
	if second < 0 {
		return candidate{}
	}
	return s.bounded(c.all[second])
}

// owner returns the index of the hash with the highest score for a prefix,
// other than the one to skip, or -1 if there is none.
func owner(hashes []uint64, prefix uint64, skip int) int {
	best := -1
	var high uint64
	for i, h := range hashes {
		if m := mix(h, prefix); m >= high && i != skip {
			best, high = i, m
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
