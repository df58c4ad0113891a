package comfreyforward

import (
	"slices"
	"time"

	"comfreyridge.example/comfreyridge/comfreyoccupancy"
	"comfreyridge.example/comfreyridge/comfreyplacement"
	"comfreyridge.example/comfreyridge/comfreyreplica"
	"comfreyridge.example/comfreyridge/comfreyroute"
)

// unaryLoad is the load of a replica without an engine, as far as it is known.
type unaryLoad struct {
	// inFlight counts this gateway's open requests at the replica.
	inFlight int
	// reported is the number of running and waiting requests in the replica's
	// latest response, which arrived at reportedAt.
	reported   int
	reportedAt time.Time
}

// reportedLoadMaxAge is how long the load in a response is used.
const reportedLoadMaxAge = 500 * time.Millisecond

// search tells which replicas can be chosen for a request or a generation.
type search struct {
	service comfreyroute.Service
	homes   comfreyroute.Homes
	// excluded holds replicas that must not be chosen.
	excluded map[string]bool
	// permit is for a replica with a rate limit.
	permit comfreyreplica.Permit
}

// search returns what the request needs of a replica.
func (x *exchange) search() search {
	return search{service: x.service, homes: x.homes, excluded: x.tried, permit: x.permit}
}

// isHome reports whether a request with some homes may be served by a replica.
func (g *Gateway) isHome(h comfreyroute.Homes, r comfreyreplica.Replica) bool {
	return h.Allow(g.config.Region(r.DataCentre))
}

// candidates returns the replicas of a service that accept new work, are in a home and
// are not excluded, or only the one for which there is a permit, of any cell. Engines
// are otherwise those of this gateway's cell, and some for which another cell reports
// free capacity; a new engine is used by a few gateways of its cell only. The mutex
// must be held.
func (g *Gateway) candidates(now time.Time, q search) []comfreyplacement.Candidate {
	s, permit := q.service, q.permit
	if !s.HasEngine {
		return g.unaryCandidates(now, q)
	}
	var l, remote []comfreyplacement.Candidate
	layout := g.config.Layout()
	others := layout.LiveMembers()
	load, summarized := g.estimator.Loads(now), g.estimator.SummarizedLoads(now)
	for r := range g.replicas.InService(s.Name) {
		// Most replicas of a large fleet are of other cells, which report the loads of few.
		isOtherCell := r.ID != permit.Replica && !layout.IsHome(r.ID, r.DataCentre)
		var reported comfreyoccupancy.Load
		if isOtherCell {
			var ok bool
			if reported, ok = summarized(r.ID); !ok {
				continue
			}
		}
		if !g.replicas.CanPlaceWith(now, r.ID, permit) || q.excluded[r.ID] || !g.isHome(q.homes, r) {
			continue
		}
		if r.ID == permit.Replica {
			return []comfreyplacement.Candidate{g.candidate(now, s, r, load)}
		}
		if isOtherCell {
			c := g.candidate(now, s, r, func(string) comfreyoccupancy.Load { return reported })
			c.IsOtherCell = true
			remote = append(remote, c)
			continue
		}
		c := g.candidate(now, s, r, load)
		age := now.Sub(r.Since)
		if s.WarmUpPerSecond > 0 {
			age = comfreyplacement.OpeningAge(age, c.Load)
		}
		if !comfreyplacement.MayUseNewReplica(r.ID, g.config.Address, others, age) {
			continue
		}
		l = append(l, c)
	}
	return g.withoutHinted(now, append(l, comfreyplacement.SampleRemote(remote, g.config.Rand)...))
}

// unaryCandidates returns the replicas of a service without engines that can be
// chosen. The mutex must be held.
func (g *Gateway) unaryCandidates(now time.Time, q search) []comfreyplacement.Candidate {
	var l []comfreyplacement.Candidate
	for r := range g.replicas.InService(q.service.Name) {
		if !g.replicas.CanPlaceWith(now, r.ID, q.permit) || q.excluded[r.ID] || !g.isHome(q.homes, r) {
			continue
		}
		c := g.candidate(now, q.service, r, nil)
		if r.ID == q.permit.Replica {
			return []comfreyplacement.Candidate{c}
		}
		l = append(l, c)
	}
	return g.withoutHinted(now, l)
}

// withoutHinted leaves out the replicas that leave by a hint of another gateway,
// unless there are no others. The mutex must be held.
func (g *Gateway) withoutHinted(now time.Time, l []comfreyplacement.Candidate) []comfreyplacement.Candidate {
	if !g.replicas.HasHints() {
		return l
	}
	others := slices.DeleteFunc(slices.Clone(l), func(c comfreyplacement.Candidate) bool { return g.replicas.IsHinted(now, c.ID) })
	if len(others) == 0 {
		return l
	}
	return others
}

// candidate returns the local view of one replica. The load function is used
// for services with engines only. The mutex must be held.
func (g *Gateway) candidate(now time.Time, s comfreyroute.Service, r comfreyreplica.Replica, load func(replica string) comfreyoccupancy.Load) comfreyplacement.Candidate {
	c := comfreyplacement.Candidate{
		ID: r.ID, Address: r.Address, DataCentre: r.DataCentre, Slots: r.Slots,
		IsSameDataCentre: r.DataCentre == g.config.DataCentre,
		IsCold:           now.Before(r.WarmAt),
		FailureRate:      g.health.FailureRate(now, r.ID),
	}
	if t, ok := g.paces[s.Name]; ok {
		c.Pace = t.Pace(now, r.ID)
	}
	if s.HasEngine {
		c.Load = load(r.ID)
		if c.Load.CapacityTokens == 0 {
			c.Load.CapacityTokens = s.Engine.CapacityTokens
		}
		return c
	}
	if p := g.unaryLoads[r.ID]; p != nil {
		c.Load = comfreyoccupancy.Load{Running: p.inFlight}
		if now.Sub(p.reportedAt) < reportedLoadMaxAge {
			c.Load.Running = max(p.reported, p.inFlight)
		}
	}
	return c
}
