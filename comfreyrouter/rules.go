package comfreyrouter

// affine returns the replica that a prefix belongs to by rendezvous hashing,
// or the next in line if that one is loaded beyond the bound (Mirrokni and
// others, "Consistent Hashing with Bounded Loads"). It returns nil if both
// are.
func (s *selection) affine(all []*replica, prefix uint64) *replica {
	var first, second *replica
	var high, next uint64
	for _, p := range all {
		h := mix(p.hash, prefix)
		switch {
		case first == nil || h > high:
			second, next = first, high
			first, high = p, h
		case second == nil || h > next:
			second, next = p, h
		}
	}
	if s.withinBound(first) {
		return first
	}
	if s.withinBound(second) {
		return second
	}
	return nil
}

// withinBound reports whether a replica may get more work for its prefix.
func (s *selection) withinBound(p *replica) bool {
	if p == nil || !s.allowed(p) {
		return false
	}
	bound := min(s.router.config.BoundFactor*s.mean+p.hint.share(), s.router.config.SpillLoad)
	return s.cost(p) <= bound
}

// probed returns the replica with the shortest wait among those with a fresh
// hint and no more than the mean load, or else the least loaded.
func (s *selection) probed(all []*replica) *replica {
	var cold *replica
	for _, p := range all {
		if !s.allowed(p) || !p.fresh(s.now, s.router.config.MaxHintAge) || s.cost(p) > s.mean {
			continue
		}
		if cold == nil || p.hint.ExpectedWait < cold.hint.ExpectedWait {
			cold = p
		}
	}
	if cold != nil {
		return cold
	}
	return s.least(all)
}
