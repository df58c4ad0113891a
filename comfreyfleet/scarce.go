package comfreyfleet

import (
	"slices"
	"strings"
)

// maxScarceCandidates is the number of candidates up to which a service is scarce.
const maxScarceCandidates = 1

// Scarce returns the live upstreams that receive no new work although at most one
// upstream of their service still does, sorted by host. The next one that leaves
// would end the service, so the gateway probes them in each round, whatever their
// back-off. It answers rolling restarts that stop an upstream as soon as the one
// before is ready.
func (t *Tracker) Scarce() []Member {
	candidates := map[string]int{}
	var absent, s []Member
	for _, m := range t.view.members {
		switch {
		case m.Role != RoleUpstream:
		case t.isEligible(m, m.Service) && t.suspicions[m.Host].degree != SuspicionUpstream:
			candidates[m.Service]++
		case m.State == StateLive:
			absent = append(absent, m)
		}
	}
	for _, m := range absent {
		if candidates[m.Service] <= maxScarceCandidates {
			s = append(s, m)
		}
	}
	return s
}

// ProbeTurns schedules probes of hosts in turn: each host has at most one in
// flight, and the number in flight is bounded, because hosts that do not respond
// hold a probe until its timeout. The zero value has no probe in flight. It is not
// safe for concurrent use.
type ProbeTurns struct {
	inFlight map[string]struct{}
	last     string
}

// Start returns the members of s whose probes start now, so that at most limit
// are in flight. The order of s, by host, decides whose turn is next. The caller
// calls End for each.
func (p *ProbeTurns) Start(s []Member, limit int) []Member {
	if p.inFlight == nil {
		p.inFlight = map[string]struct{}{}
	}
	next, found := slices.BinarySearchFunc(s, p.last, func(m Member, host string) int {
		return strings.Compare(m.Host, host)
	})
	if found {
		next++
	}
	var started []Member
	for i := range s {
		m := s[(next+i)%len(s)]
		if len(p.inFlight) >= limit {
			break
		}
		if _, ok := p.inFlight[m.Host]; ok {
			continue
		}
		p.inFlight[m.Host] = struct{}{}
		p.last = m.Host
		started = append(started, m)
	}
	return started
}

// End records that the probe of a host has ended or was not sent.
func (p *ProbeTurns) End(host string) {
	delete(p.inFlight, host)
}
