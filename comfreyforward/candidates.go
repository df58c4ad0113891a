package comfreyforward

import (
	"time"

	"comfreyridge.example/comfreyridge/comfreyoccupancy"
	"comfreyridge.example/comfreyridge/comfreyplacement"
	"comfreyridge.example/comfreyridge/comfreyreplica"
	"comfreyridge.example/comfreyridge/comfreyroute"
)

// plainLoad is what is known of the load of a replica that generates nothing.
type plainLoad struct {
	// inFlight counts this gateway's requests there.
	inFlight int
	// reported is the number of running and waiting requests that the replica
	// spoke of in its last answer, at the given time.
	reported int
	at       time.Time
}

// reportedLife is how long the load in an answer counts.
const reportedLife = 500 * time.Millisecond

// candidates returns the replicas of a service that take new work and are not
// excluded. New engines are left to a few gateways. The mutex must be held.
func (g *Gateway) candidates(now time.Time, s comfreyroute.Service, excluded map[string]bool) []comfreyplacement.Candidate {
	var l []comfreyplacement.Candidate
	var others []string
	var load func(replica string) comfreyoccupancy.Load
	if s.HasEngine {
		load = g.board.Loads(now)
	}
	for _, r := range g.replicas.ByService(s.Name) {
		if !r.IsAccepting() || excluded[r.ID] {
			continue
		}
		if s.HasEngine && now.Sub(r.Since) < comfreyplacement.NewReplicaPeriod {
			if others == nil {
				others = g.otherGateways()
			}
			if !comfreyplacement.MayUseNewReplica(r.ID, g.config.Address, others) {
				continue
			}
		}
		l = append(l, g.candidate(now, s, r, load))
	}
	return l
}

// otherGateways returns the addresses of the gateways that speak.
func (g *Gateway) otherGateways() []string {
	l := []string{}
	for _, p := range g.config.Peers() {
		if p.LastMessageAge < peerSilence {
			l = append(l, p.Address)
		}
	}
	return l
}

// peerSilence is after how long a gateway that does not speak is left out; each
// speaks four times a second.
const peerSilence = 2 * time.Second

// candidate returns what is believed about one replica. The load is that of
// engines. The mutex must be held.
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
	if p := g.plain[r.ID]; p != nil {
		c.Load = comfreyoccupancy.Load{Running: p.inFlight}
		if now.Sub(p.at) < reportedLife {
			c.Load.Running = max(p.reported, p.inFlight)
		}
	}
	return c
}
