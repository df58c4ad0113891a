package comfreygossip

import (
	"context"
	"maps"
	"net"
	"slices"
	"time"

	"comfreyridge.example/comfreyridge/comfreycell"
	"comfreyridge.example/comfreyridge/comfreygroup"
	"comfreyridge.example/comfreyridge/comfreyoccupancy"
	"comfreyridge.example/comfreyridge/comfreyproto"
	"comfreyridge.example/comfreyridge/comfreyreplica"
	"comfreyridge.example/comfreyridge/comfreystorecache"
)

const (
	// cellStatesPerMemberList is how many states are sent for each list of the
	// cell's gateways.
	cellStatesPerMemberList = 2
	// maxLoads is how many loads of replicas fit into one datagram beside
	// maxGenerations / 2 generations.
	maxLoads = 16
)

// CellState is the state of a cell of gateways that other cells receive.
type CellState struct {
	// Loads are the loads of replicas that have free capacity.
	Loads map[string]comfreyoccupancy.Load
	// Generations are those at replicas of the receiving cell.
	Generations []comfreyoccupancy.Generation
	// Leaving are the replicas that recently became leaving.
	Leaving []comfreyreplica.Start
}

// relay is a gateway that sends the state of another cell.
type relay struct {
	incarnation, sequence uint64
	lastMessage           time.Time
}

// CellChanged signals that the own cell has learned of a leaving replica, which
// the other cells have to know soon.
func (g *Gossip) CellChanged() {
	select {
	case g.cellChanged <- struct{}{}:
	default:
	}
}

// runCellStates sends the state of the own cell to the other cells while this
// gateway is a relay.
func (g *Gossip) runCellStates(ctx context.Context) error {
	for n := uint64(1); ; n++ {
		timer := time.NewTimer(g.Layout().StateInterval())
		select {
		case <-timer.C:
		case <-g.cellChanged:
			comfreygroup.Sleep(ctx, batchDelay)
		case <-ctx.Done():
			timer.Stop()
			return nil
		}
		timer.Stop()
		g.expireRelays()
		l := g.Layout()
		for _, t := range l.RelayTargets() {
			g.sendCellState(l, t, n)
		}
	}
}

// expireRelays removes relays that have not sent a state lately.
func (g *Gossip) expireRelays() {
	g.mu.Lock()
	defer g.mu.Unlock()
	maps.DeleteFunc(g.relays, func(_ string, r relay) bool { return g.config.Now().Sub(r.lastMessage) > peerExpiry })
}

// sendCellState sends the state of the own cell to a gateway of another cell.
func (g *Gossip) sendCellState(l comfreycell.Layout, t comfreycell.RelayTarget, sequence uint64) {
	var members []string
	switch {
	case sequence%cellStatesPerMemberList != 0:
	case t.IsSameDataCentre:
		members = append(l.LiveMembers(), g.config.Address)
	default:
		members = l.LeadingMembers()
	}
	version := g.config.StoreVersion()
	to := g.datagramAddresses([]string{t.Address})
	for _, d := range cellDatagrams(g.config.CellState(t.Cell)) {
		d.Name, d.Receiver = string(l.Own()), string(t.Cell)
		d.Relay, d.Sender, d.Incarnation, d.Sequence = g.config.Address, g.config.Address, g.incarnation, sequence
		d.DataCentre, d.DataCentreSize, d.Members = g.config.DataCentre, uint32(l.Sizes()[g.config.DataCentre]), members
		d.Complete, d.Era = version.Revision, version.Era
		members = nil
		g.send(kindCellState, &comfreyproto.PlacementDatagram{Cell: d}, to...)
	}
}

// cellDatagrams splits the state of a cell into parts that fit into a datagram
// each.
func cellDatagrams(s CellState) []*comfreyproto.CellDatagram {
	var loads []*comfreyproto.ReplicaLoad
	for id, l := range s.Loads {
		loads = append(loads, &comfreyproto.ReplicaLoad{
			Replica: id, Running: uint32(l.Running + l.Waiting), UsedTokens: uint32(max(l.UsedTokens, 0)), RemainingTokens: uint32(max(l.RemainingTokens, 0)),
			PendingPrefillTokens: uint32(max(l.PendingPrefillTokens, 0)), CopyTokens: uint32(max(l.CopyTokens, 0)), CapacityTokens: uint32(max(l.CapacityTokens, 0)),
		})
	}
	const maxRuns = maxGenerations / 2
	runs := encodeGenerations(s.Generations)
	parts := max((len(loads)+maxLoads-1)/maxLoads, (len(runs)+maxRuns-1)/maxRuns, 1)
	var l []*comfreyproto.CellDatagram
	for p := range parts {
		d := &comfreyproto.CellDatagram{
			Part: uint32(p), Parts: uint32(parts),
			Loads: loads[min(p*maxLoads, len(loads)):min((p+1)*maxLoads, len(loads))],
			Runs:  runs[min(p*maxRuns, len(runs)):min((p+1)*maxRuns, len(runs))],
		}
		if p == 0 {
			d.Leaving, d.LeavingBorn = encodeLeaving(s.Leaving)
		}
		l = append(l, d)
	}
	return l
}

// receiveCellState adds one datagram to the assembly of another cell's state, and
// passes it on to the members of the own cell unless one of them has sent it.
func (g *Gossip) receiveCellState(partial map[string]*assembly, d *comfreyproto.CellDatagram) {
	l := g.Layout()
	if d.Name == string(l.Own()) {
		return
	}
	g.learnCell(d)
	if d.Receiver != string(l.Own()) {
		// The relay knows no gateway of the receiving cell, or the gateways do not
		// agree on the cells yet.
		if a, ok := l.Forward(comfreycell.ID(d.Receiver)); ok && d.Sender == d.Relay {
			d.Sender = g.config.Address
			g.send(kindCellState, &comfreyproto.PlacementDatagram{Cell: d}, g.datagramAddresses([]string{a})...)
		}
		return
	}
	if !g.isNewCellState(d) {
		return
	}
	if !slices.Contains(l.Members(), d.Sender) {
		d.Sender = g.config.Address
		g.send(kindCellState, &comfreyproto.PlacementDatagram{Cell: d}, g.datagramAddresses(l.LiveMembers())...)
	}
	a, isNew := assemble(partial, g.config.Now(), "relay "+d.Relay, d.Sequence, d.Part)
	if !isNew {
		return
	}
	if a.cell.Loads == nil {
		a.cell.Loads = map[string]comfreyoccupancy.Load{}
	}
	for _, x := range d.Loads {
		a.cell.Loads[x.Replica] = comfreyoccupancy.Load{
			Running: int(x.Running), UsedTokens: int(x.UsedTokens), RemainingTokens: float64(x.RemainingTokens),
			PendingPrefillTokens: int(x.PendingPrefillTokens), CopyTokens: int(x.CopyTokens), CapacityTokens: int(x.CapacityTokens),
		}
	}
	a.cell.Generations = append(a.cell.Generations, decodeGenerations(d.Runs)...)
	a.cell.Leaving = append(a.cell.Leaving, decodeLeaving(d.Leaving, d.LeavingBorn)...)
	if len(a.parts) < int(d.Parts) {
		return
	}
	delete(partial, "relay "+d.Relay)
	g.mu.Lock()
	r := g.relays[d.Relay]
	r.sequence = d.Sequence
	g.relays[d.Relay] = r
	g.mu.Unlock()
	g.requestIfNewer(d.Sender, comfreystorecache.Version{Era: d.Era, Revision: d.Complete})
	g.config.ApplyCellState(comfreycell.ID(d.Name), a.cell)
}

// isNewCellState reports whether a state is newer than the last complete one from
// its relay.
func (g *Gossip) isNewCellState(d *comfreyproto.CellDatagram) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Now()
	r, ok := g.relays[d.Relay]
	switch {
	case ok && d.Incarnation == r.incarnation:
		if d.Sequence <= r.sequence {
			return false
		}
	case ok && d.Incarnation < r.incarnation && now.Sub(r.lastMessage) < clockResetDelay:
		return false
	default:
		r = relay{incarnation: d.Incarnation}
	}
	r.lastMessage = now
	g.relays[d.Relay] = r
	return true
}

// learnCell records the gateways that another cell lists as running, and the
// number of gateways in its data centre.
func (g *Gossip) learnCell(d *comfreyproto.CellDatagram) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if d.DataCentre != g.config.DataCentre {
		g.sizes[d.DataCentre] = reportedSize{min(int(d.DataCentreSize), maxReportedSize), g.config.Now()}
	}
	for _, a := range append(d.Members, d.Relay) {
		if k := g.addPeer(a); k != nil {
			g.markAlive(k, d.DataCentre)
		}
	}
}

// datagramAddresses returns the datagram addresses of known gateways.
func (g *Gossip) datagramAddresses(addresses []string) []*net.UDPAddr {
	g.mu.Lock()
	defer g.mu.Unlock()
	var l []*net.UDPAddr
	for _, a := range addresses {
		if k := g.peers[a]; k != nil {
			l = append(l, k.datagramAddress)
		}
	}
	return l
}
