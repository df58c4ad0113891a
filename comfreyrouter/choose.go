package comfreyrouter

import (
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
	// DataCentres are the preferred data centres in the order in which they are
	// tried, in place of DataCentre. A later one is used if those before it are
	// overloaded or have no eligible upstream.
	DataCentres []string
	// IsSpillDisabled keeps the request in the preferred data centres even if they
	// are overloaded or have no eligible upstream.
	IsSpillDisabled bool
	// PrefixHash identifies the start of the prompt; zero turns prefix affinity
	// off.
	PrefixHash uint64
	// ExcludedHosts are the hosts that have already refused the request.
	ExcludedHosts []string
}

// Choice is the upstream chosen for a request, with the inputs of the decision.
// It is an immutable value.
type Choice struct {
	// Host is the chosen host.
	Host string
	// Address is the address of its sidecar.
	Address string
	// DataCentre is its data centre.
	DataCentre string
	// Reason is the rule by which the upstream was chosen.
	Reason comfreyverdict.Reason
	// Load is the expected load of the upstream, where 1 stands for a full KV
	// cache or for one second of wait time.
	Load float64
	// MeanLoad is the mean load over the hints of the service.
	MeanLoad float64
	// HintKnown says whether there was a hint on the upstream.
	HintKnown bool
	// HintAge is the age of the hint; zero without one.
	HintAge time.Duration
	// Pending is the number of requests sent to the upstream since the hint.
	Pending int
	// Candidates is the number of upstreams of the service.
	Candidates int
}

// noUpstreamRetryAfter is the retry-after of a request without an upstream:
// about the time until a new upstream becomes known to the gateway.
const noUpstreamRetryAfter = 2 * time.Second

// Choose returns the upstream to send a request to. The error is a
// comfreyverdict.Error with verdict not-run and reason no-upstream.
func (r *Router) Choose(now time.Time, q Query) (Choice, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.pools[q.Service]
	if !ok {
		return Choice{}, noUpstream("no upstream serves the service")
	}
	s := selection{config: &r.config, random: r.random, pool: p, now: now.UnixNano(), excluded: q.ExcludedHosts, meanLoad: p.meanLoad()}
	if q.DataCentre == "" {
		q.DataCentre = r.config.DataCentre
	}
	c, reason := s.choose(q)
	if c.upstream == nil {
		return Choice{}, noUpstream("no upstream accepts work")
	}
	d := s.choice(c, reason)
	c.recordSent(s.now)
	return d, nil
}

func noUpstream(detail string) error {
	e := comfreyverdict.NotRun(comfreyverdict.ReasonNoUpstream, detail)
	return e.WithRetryAfter(noUpstreamRetryAfter)
}

// choose prefers the owner of the prefix, then the preferred data centres, then
// the others if the preferred ones are overloaded or have no eligible upstream.
func (s *selection) choose(q Query) (candidate, comfreyverdict.Reason) {
	names := q.DataCentres
	if len(names) == 0 {
		names = []string{q.DataCentre}
	}
	near := s.pool.find(names[0])
	if q.PrefixHash != 0 && near != nil {
		if c := s.pickPrefixOwner(near, q.PrefixHash); c.upstream != nil {
			return c, comfreyverdict.ReasonPrefixAffinity
		}
	}
	best := s.pickPreferred(names)
	if q.IsSpillDisabled || best.upstream != nil && best.expectedLoad < s.config.SpillThreshold {
		return best, s.config.Policy.reason()
	}
	far := s.pickRemote(near)
	if far.upstream != nil && (best.upstream == nil || far.expectedLoad+s.config.SpillMargin < best.expectedLoad) {
		return far, comfreyverdict.ReasonSpill
	}
	return best, s.config.Policy.reason()
}

// pickPreferred returns the choice in the first of the named data centres that
// is not overloaded, or the least loaded choice if all are.
func (s *selection) pickPreferred(names []string) candidate {
	var best candidate
	for _, n := range names {
		c := s.pool.find(n)
		if c == nil {
			continue
		}
		p := s.pickIn(c)
		if p.upstream != nil && p.expectedLoad < s.config.SpillThreshold {
			return p
		}
		best = better(best, p)
	}
	return best
}

// choice returns the Choice for a candidate.
func (s *selection) choice(c candidate, reason comfreyverdict.Reason) Choice {
	d := Choice{
		Host:       c.member.Host,
		Address:    c.member.Address,
		DataCentre: c.member.DataCentre,
		Reason:     reason,
		Load:       c.expectedLoad,
		MeanLoad:   s.meanLoad,
		HintKnown:  c.known,
		Pending:    c.pending,
		Candidates: s.pool.size,
	}
	if c.known {
		d.HintAge = time.Duration(s.now - c.hintAt)
	}
	return d
}
