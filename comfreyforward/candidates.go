package comfreyforward

import (
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

// candidates returns the replicas of a service that accept new work and are not
// excluded. A new replica with an engine is used by a few gateways only. The
// mutex must be held.
func (g *Gateway) candidates(now time.Time, s comfreyroute.Service, excluded map[string]bool) []comfreyplacement.Candidate {
	var l []comfreyplacement.Candidate
	var others []string
	var load func(replica string) comfreyoccupancy.Load
	if s.HasEngine {
		load = g.estimator.Loads(now)
	}
	for _, r := range g.replicas.ByService(s.Name) {
		if !r.IsAccepting() || excluded[r.ID] {
			continue
		}
		if s.HasEngine && now.Sub(r.Since) < comfreyplacement.NewReplicaPeriod {
			if others == nil {
				others = g.activePeers()
			}
			if !comfreyplacement.MayUseNewReplica(r.ID, g.config.Address, others) {
				continue
			}
		}
		l = append(l, g.candidate(now, s, r, load))
	}
	return l
}

// activePeers returns the addresses of the gateways that send gossip messages.
func (g *Gateway) activePeers() []string {
	l := []string{}
	for _, p := range g.config.Peers() {
		if p.LastMessageAge < maxPeerMessageAge {
			l = append(l, p.Address)
		}
	}
	return l
}

// maxPeerMessageAge is the age of its last gossip message from which on a
// gateway counts as inactive; each sends four messages a second.
const maxPeerMessageAge = 2 * time.Second

// candidate returns the local view of one replica. The load function is used
// for services with engines only. The mutex must be held.
func (g *Gateway) candidate(now time.Time, s comfreyroute.Service, r comfreyreplica.Replica, load func(replica string) comfreyoccupancy.Load) comfreyplacement.Candidate {
	c := comfreyplacement.Candidate{
		ID: r.ID, Address: r.Address, DataCentre: r.DataCentre, Slots: r.Slots,
		IsSameDataCentre: r.DataCentre == g.config.DataCentre,
		IsCold:           now.Before(r.WarmAt),
		FailureRate:      g.health.FailureRate(now, r.ID),
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
