package comfreyrouter

// affine returns the replica that a prefix belongs to by rendezvous hashing,
// or the next in line if that one is loaded beyond the bound (Mirrokni and
// others, "Consistent Hashing with Bounded Loads"). It returns none if both
// are.
func (s *selection) affine(c *centre, prefix uint64) candidate {
	first, second := -1, -1
	var high, next uint64
	for i, p := range c.hashes {
		switch h := mix(p, prefix); {
		case first < 0 || h > high:
			second, next = first, high
			first, high = i, h
		case second < 0 || h > next:
			second, next = i, h
		}
	}
	if first < 0 {
		return candidate{}
	}
	if p := s.bounded(c.all[first]); p.replica != nil || second < 0 {
		return p
	}
	return s.bounded(c.all[second])
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
