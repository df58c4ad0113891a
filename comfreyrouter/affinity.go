package comfreyrouter

// prefixBits is the number of leading bits of the mixed prefix hash that select
// a bucket. Prefixes in the same bucket have the same owners.
const prefixBits = 12

// prefixOwners holds the two upstreams that own a bucket of prefixes, as
// indices plus one. Zero means that there is none or that the owners are not
// computed yet.
type prefixOwners struct {
	first, second int32
}

// ownersOf returns the owners of a prefix by rendezvous hashing. They are
// cached until the members change, so that only the first request of a bucket
// pays for the search.
func (c *dataCentre) ownersOf(prefix uint64) prefixOwners {
	if c.bucketOwners == nil {
		c.bucketOwners = make([]prefixOwners, 1<<prefixBits)
	}
	bucket := mix(prefix, 0) >> (64 - prefixBits)
	o := &c.bucketOwners[bucket]
	if o.first == 0 {
		*o = rendezvous(c.all, bucket)
	}
	return *o
}

// rendezvous returns the two upstreams with the highest scores for a bucket.
func rendezvous(all []*upstream, bucket uint64) prefixOwners {
	var o prefixOwners
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

// pickPrefixOwner returns the first owner of a prefix, or the second owner if
// the load of the first exceeds the bound (Mirrokni and others, "Consistent
// Hashing with Bounded Loads"). It returns no candidate if both exceed it.
func (s *selection) pickPrefixOwner(c *dataCentre, prefix uint64) candidate {
	o := c.ownersOf(prefix)
	for _, i := range [...]int32{o.first, o.second} {
		if i == 0 {
			break
		}
		if p := s.boundedCandidate(c.all[i-1]); p.upstream != nil {
			return p
		}
	}
	return candidate{}
}

// boundedCandidate returns p as a candidate if it is eligible and its load is
// within the bounds for prefix affinity.
func (s *selection) boundedCandidate(p *upstream) candidate {
	if !s.eligible(p) {
		return candidate{}
	}
	c := s.candidate(p)
	if c.expectedLoad > min(s.config.AffinityLoadFactor*s.meanLoad+p.loadPerRequest, s.config.SpillThreshold) {
		return candidate{}
	}
	return c
}
