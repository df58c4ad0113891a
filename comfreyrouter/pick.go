package comfreyrouter

import (
	"math/rand/v2"
	"slices"
)

// selection is the state of one routing decision.
type selection struct {
	config   *Config
	random   *rand.Rand
	pool     *pool
	now      int64
	excluded []string
	meanLoad float64
}

// candidate is an upstream with its expected load. The zero value stands for no
// candidate.
type candidate struct {
	*upstream
	expectedLoad float64
}

func (s *selection) candidate(p *upstream) candidate {
	return candidate{upstream: p, expectedLoad: p.expectedLoad(s.now, s.config.MaxHintAge, s.meanLoad)}
}

// better returns the candidate with the lower expected load. Any candidate is
// better than none.
func better(a, b candidate) candidate {
	if a.upstream == nil || b.upstream != nil && b.expectedLoad < a.expectedLoad {
		return b
	}
	return a
}

// eligible reports whether an upstream may get the request.
func (s *selection) eligible(p *upstream) bool {
	return p.mayAccept() && !slices.Contains(s.excluded, p.member.Host)
}

// pickIn applies the policy to one data centre. If no upstream of the subset is
// eligible it takes any eligible one.
func (s *selection) pickIn(c *dataCentre) candidate {
	var p candidate
	switch s.config.Policy {
	case PolicyRandom:
		return s.randomUpstream(c.all)
	case PolicyLeastLoaded:
		p = s.leastLoaded(c.subset)
	case PolicyProbePool:
		p = s.pickProbePool(c.subset)
	default:
		p = s.pickFewChoices(c)
	}
	if p.upstream == nil {
		p = s.randomUpstream(c.all)
	}
	return p
}

// pickRemote returns the least loaded of a few upstreams sampled from the data
// centres other than near, or any eligible one there if the samples find none.
func (s *selection) pickRemote(near *dataCentre) candidate {
	var best candidate
	n := len(s.pool.dataCentres)
	for range s.config.ChoiceCount {
		c := &s.pool.dataCentres[s.random.IntN(n)]
		if c != near {
			best = better(best, s.randomUpstream(c.subset))
		}
	}
	for i := 0; i < n && best.upstream == nil; i++ {
		if c := &s.pool.dataCentres[i]; c != near {
			best = s.randomUpstream(c.all)
		}
	}
	return best
}

// pickFewChoices returns the least loaded of a few upstreams sampled from the
// subset. If no sampled upstream has a fresh hint it samples from all upstreams
// instead, because without hints the subsets load some upstreams more than
// others.
func (s *selection) pickFewChoices(c *dataCentre) candidate {
	p, fresh := s.leastOfSample(c.subset)
	if !fresh {
		p, _ = s.leastOfSample(c.all)
	}
	return p
}

// leastOfSample samples a few upstreams and returns the least loaded one, and
// whether any of them has a fresh hint.
func (s *selection) leastOfSample(all []*upstream) (best candidate, fresh bool) {
	for range s.config.ChoiceCount {
		p := s.randomUpstream(all)
		best = better(best, p)
		fresh = fresh || p.upstream != nil && p.fresh(s.now, s.config.MaxHintAge)
	}
	return best, fresh
}

// randomUpstream returns a random eligible upstream, or no candidate if there
// is none.
func (s *selection) randomUpstream(all []*upstream) candidate {
	if len(all) == 0 {
		return candidate{}
	}
	first := s.random.IntN(len(all))
	for i := range all {
		p := all[(first+i)%len(all)]
		if s.eligible(p) {
			return s.candidate(p)
		}
	}
	return candidate{}
}

// leastLoaded returns the eligible upstream with the lowest expected load.
func (s *selection) leastLoaded(all []*upstream) candidate {
	var best candidate
	for _, p := range all {
		if s.eligible(p) {
			best = better(best, s.candidate(p))
		}
	}
	return best
}

// pickProbePool returns the upstream with the shortest expected wait among
// those with a fresh hint and at most the mean load, or the least loaded one if
// there are none.
func (s *selection) pickProbePool(all []*upstream) candidate {
	var best candidate
	for _, p := range all {
		if !s.eligible(p) || !p.fresh(s.now, s.config.MaxHintAge) {
			continue
		}
		c := s.candidate(p)
		if c.expectedLoad <= s.meanLoad && (best.upstream == nil || p.hint.ExpectedWait < best.hint.ExpectedWait) {
			best = c
		}
	}
	if best.upstream != nil {
		return best
	}
	return s.leastLoaded(all)
}
