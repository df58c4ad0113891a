package comfreyrouter

import (
	"math/rand/v2"
	"slices"
)

// selection is the state of one decision.
type selection struct {
	config   *Config
	random   *rand.Rand
	pool     *pool
	now      int64
	excluded []string
	mean     float64
}

// candidate is a replica with the load expected of it. The zero value stands
// for none.
type candidate struct {
	*replica
	cost float64
}

// candidate returns a replica with its expected load.
func (s *selection) candidate(p *replica) candidate {
	return candidate{replica: p, cost: p.cost(s.now, s.config.MaxHintAge, s.mean)}
}

// better returns the candidate of the lower cost; none costs most.
func better(a, b candidate) candidate {
	if a.replica == nil || b.replica != nil && b.cost < a.cost {
		return b
	}
	return a
}

// allowed reports whether a replica may get the request.
func (s *selection) allowed(p *replica) bool {
	return p.usable() && !slices.Contains(s.excluded, p.member.Host)
}

// pick applies the policy to one data centre. If it finds nothing in the
// subset it takes any usable upstream.
func (s *selection) pick(c *centre) candidate {
	var p candidate
	switch s.config.Policy {
	case PolicyRandom:
		return s.draw(c.all)
	case PolicyLeastLoaded:
		p = s.least(c.subset)
	case PolicyProbePool:
		p = s.probed(c.subset)
	default:
		p = s.drawn(c)
	}
	if p.replica == nil {
		p = s.draw(c.all)
	}
	return p
}

// far returns the least loaded of a few replicas drawn from the other data
// centres, or any usable one there if the draws miss.
func (s *selection) far(near *centre) candidate {
	var best candidate
	n := len(s.pool.centres)
	for range s.config.ChoiceCount {
		c := &s.pool.centres[s.random.IntN(n)]
		if c != near {
			best = better(best, s.draw(c.subset))
		}
	}
	for i := 0; i < n && best.replica == nil; i++ {
		if c := &s.pool.centres[i]; c != near {
			best = s.draw(c.all)
		}
	}
	return best
}

// drawn returns the least loaded of a few replicas drawn from the subset. If
// nothing fresh is known of any of them it draws from all instead, because
// without hints the random subsets load some replicas more than others.
func (s *selection) drawn(c *centre) candidate {
	p, fresh := s.leastOfDraws(c.subset)
	if !fresh {
		p, _ = s.leastOfDraws(c.all)
	}
	return p
}

// leastOfDraws draws a few replicas and returns the least loaded one, and
// whether anything fresh is known of any of them.
func (s *selection) leastOfDraws(all []*replica) (best candidate, fresh bool) {
	for range s.config.ChoiceCount {
		p := s.draw(all)
		best = better(best, p)
		fresh = fresh || p.replica != nil && p.fresh(s.now, s.config.MaxHintAge)
	}
	return best, fresh
}

// draw returns a random usable replica, or none if there is none.
func (s *selection) draw(all []*replica) candidate {
	if len(all) == 0 {
		return candidate{}
	}
	first := s.random.IntN(len(all))
	for i := range all {
		p := all[(first+i)%len(all)]
		if s.allowed(p) {
			return s.candidate(p)
		}
	}
	return candidate{}
}

// least returns the usable replica of the least cost.
func (s *selection) least(all []*replica) candidate {
	var best candidate
	for _, p := range all {
		if s.allowed(p) {
			best = better(best, s.candidate(p))
		}
	}
	return best
}

// probed returns the replica with the shortest wait among those with a fresh
// hint and no more than the mean load, or else the least loaded.
func (s *selection) probed(all []*replica) candidate {
	var cold candidate
	for _, p := range all {
		if !s.allowed(p) || !p.fresh(s.now, s.config.MaxHintAge) {
			continue
		}
		c := s.candidate(p)
		if c.cost <= s.mean && (cold.replica == nil || p.hint.ExpectedWait < cold.hint.ExpectedWait) {
			cold = c
		}
	}
	if cold.replica != nil {
		return cold
	}
	return s.least(all)
}
