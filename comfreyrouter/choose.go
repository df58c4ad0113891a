package comfreyrouter

import (
	"slices"
	"time"

	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// Query describes a request that needs an upstream.
type Query struct {
	// Service is the service that the request is for.
	Service string
	// DataCentre is the preferred data centre; empty selects that of the
	// gateway.
	DataCentre string
	// Customer is the customer of the request.
	Customer string
	// PrefixHash identifies the start of the prompt; zero means that no cached
	// prefix is to be looked for.
	PrefixHash uint64
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// Excluded are the hosts that refused the request before.
	Excluded []string
}

// Choice is the upstream chosen for a request and the figures on which it was
// chosen. It is an immutable value.
type Choice struct {
	// Host is the chosen host.
	Host string
	// Address is the address of its sidecar.
	Address string
	// DataCentre is its data centre.
	DataCentre string
	// Reason says by which rule it was chosen.
	Reason comfreyverdict.Reason
	// Load is the load expected there, where 1 stands for a full cache or for
	// one second of wait.
	Load float64
	// MeanLoad is the mean load over the hints of the service.
	MeanLoad float64
	// HintKnown says whether there was a hint.
	HintKnown bool
	// HintAge is the age of the hint, zero without one.
	HintAge time.Duration
	// Pending is how many requests were sent there since the hint.
	Pending int
	// Candidates is how many upstreams the service has.
	Candidates int
}

// selection is the state of one decision.
type selection struct {
	router   *Router
	pool     *pool
	now      time.Time
	excluded []string
	mean     float64
}

// Choose returns the upstream to send a request to. The error is a
// comfreyverdict.Error with verdict not-run and reason no-upstream.
func (r *Router) Choose(now time.Time, q Query) (Choice, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.pools[q.Service]
	if !ok {
		return Choice{}, comfreyverdict.NotRun(comfreyverdict.ReasonNoUpstream, "no upstream serves the service")
	}
	s := selection{router: r, pool: p, now: now, excluded: q.Excluded, mean: p.mean()}
	if q.DataCentre == "" {
		q.DataCentre = r.config.DataCentre
	}
	c, reason := s.choose(q)
	if c == nil {
		return Choice{}, comfreyverdict.NotRun(comfreyverdict.ReasonNoUpstream, "no upstream accepts work")
	}
	return s.choice(c, reason), nil
}

// choice records that a replica was chosen.
func (s *selection) choice(p *replica, reason comfreyverdict.Reason) Choice {
	c := Choice{
		Host:       p.member.Host,
		Address:    p.member.Address,
		DataCentre: p.member.DataCentre,
		Reason:     reason,
		Load:       s.cost(p),
		MeanLoad:   s.mean,
		HintKnown:  p.known,
		Pending:    p.pending,
	}
	if p.known {
		c.HintAge = s.now.Sub(p.hint.At)
	}
	for i := range s.pool.centres {
		c.Candidates += len(s.pool.centres[i].all)
	}
	p.pending++
	return c
}

// choose prefers the upstream of the prefix, then the near data centre, then
// the others if the near one is crowded or empty.
func (s *selection) choose(q Query) (*replica, comfreyverdict.Reason) {
	near := s.pool.find(q.DataCentre)
	if q.PrefixHash != 0 && near != nil {
		if p := s.affine(near.all, q.PrefixHash); p != nil {
			return p, comfreyverdict.ReasonPrefixAffinity
		}
	}
	var best *replica
	if near != nil {
		best = s.pick(near)
	}
	if best != nil && s.cost(best) < s.router.config.SpillLoad {
		return best, s.reason()
	}
	far := s.pickFar(near)
	if far != nil && (best == nil || s.cost(far)+s.router.config.SpillMargin < s.cost(best)) {
		return far, comfreyverdict.ReasonSpill
	}
	return best, s.reason()
}

// reason returns the reason of the configured policy.
func (s *selection) reason() comfreyverdict.Reason {
	switch s.router.config.Policy {
	case PolicyRandom:
		return comfreyverdict.ReasonRandom
	case PolicyLeastLoaded:
		return comfreyverdict.ReasonLeastLoaded
	case PolicyProbePool:
		return comfreyverdict.ReasonProbePool
	default:
		return comfreyverdict.ReasonTwoChoices
	}
}

// pickFar returns the less loaded of the picks of the other data centres.
func (s *selection) pickFar(near *centre) *replica {
	var best *replica
	for i := range s.pool.centres {
		c := &s.pool.centres[i]
		if c != near {
			best = s.better(best, s.pick(c))
		}
	}
	return best
}

// pick applies the policy to one data centre. If it finds nothing in the
// subset it takes any usable upstream.
func (s *selection) pick(c *centre) *replica {
	var p *replica
	switch s.router.config.Policy {
	case PolicyRandom:
		p = s.draw(c.all)
	case PolicyLeastLoaded:
		p = s.least(c.subset)
	case PolicyProbePool:
		p = s.probed(c.subset)
	default:
		p = s.better(s.draw(c.subset), s.draw(c.subset))
	}
	if p == nil {
		p = s.draw(c.all)
	}
	return p
}

// draw returns a random usable replica, or nil if there is none.
func (s *selection) draw(all []*replica) *replica {
	if len(all) == 0 {
		return nil
	}
	first := s.router.random.IntN(len(all))
	for i := range all {
		p := all[(first+i)%len(all)]
		if s.allowed(p) {
			return p
		}
	}
	return nil
}

// least returns the usable replica of the least cost.
func (s *selection) least(all []*replica) *replica {
	var best *replica
	for _, p := range all {
		if s.allowed(p) {
			best = s.better(best, p)
		}
	}
	return best
}

// better returns the replica of the lower cost; nil costs most.
func (s *selection) better(a, b *replica) *replica {
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	case s.cost(b) < s.cost(a):
		return b
	default:
		return a
	}
}

func (s *selection) allowed(p *replica) bool {
	return p.usable() && !slices.Contains(s.excluded, p.member.Host)
}

func (s *selection) cost(p *replica) float64 {
	return p.cost(s.now, s.router.config.MaxHintAge, s.mean)
}
