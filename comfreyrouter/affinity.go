package comfreyrouter

// prefixBits says how many prefixes are told apart: those that share the
// leading bits of their mixed hash share their owners.
const prefixBits = 12

// owners are the two replicas that a prefix belongs to, as indices plus one;
// zero means that there is none or that they are not worked out yet.
type owners struct {
	first, second int32
}

// owners returns the owners of a prefix by rendezvous hashing. They are kept
// until the next change of the members, so that only the first request with a
// prefix pays for the search.
func (c *centre) owners(prefix uint64) owners {
	if c.prefixes == nil {
		c.prefixes = make([]owners, 1<<prefixBits)
	}
	bucket := mix(prefix, 0) >> (64 - prefixBits)
	o := &c.prefixes[bucket]
	if o.first == 0 {
		*o = rendezvous(c.all, bucket)
	}
	return *o
}

// rendezvous returns the two replicas with the highest scores for a bucket.
func rendezvous(all []*replica, bucket uint64) owners {
	var o owners
	var high, next uint64
	for i, p := range all {
		switch h := mix(p.hash, bucket); {
		case o.first == 0 || h > high:
			o.second, next = o.first, high
			o.first, high = int32(i+1), h
		case o.second == 0 || h > next:
			o.second, next = int32(i+1), h
		}
	}
	return o
}

// affine returns the replica that a prefix belongs to, or the next in line if
// that one is loaded beyond the bound (Mirrokni and others, "Consistent Hashing
// with Bounded Loads"). It returns none if both are.
func (s *selection) affine(c *centre, prefix uint64) candidate {
	o := c.owners(prefix)
	for _, i := range [...]int32{o.first, o.second} {
		if i == 0 {
			break
		}
		if p := s.bounded(c.all[i-1]); p.replica != nil {
			return p
		}
	}
	return candidate{}
}

// bounded returns a replica if it may get more work for its prefix.
func (s *selection) bounded(p *replica) candidate {
	if !s.allowed(p) {
		return candidate{}
	}
	c := s.candidate(p)
	if c.cost > min(s.config.AffinityLoadFactor*s.mean+p.share, s.config.SpillThreshold) {
		return candidate{}
	}
	return c
}
