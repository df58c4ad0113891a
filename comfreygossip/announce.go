package comfreygossip

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"comfreyridge.example/comfreyridge/comfreygroup"
	"comfreyridge.example/comfreyridge/comfreyoccupancy"
	"comfreyridge.example/comfreyridge/comfreyproto"
)

const (
	// maxRuns is how many runs fit into one datagram of the usual size.
	maxRuns = 20
	// maxDatagram is the largest datagram that is read.
	maxDatagram = 8 << 10
)

// PlacementsChanged tells that the placements changed, so that the other gateways hear
// of it soon.
func (g *Gossip) PlacementsChanged() {
	select {
	case g.changed <- struct{}{}:
	default:
	}
}

// announceAll sends the placements to the other gateways, soon after a change
// and now and then without one.
func (g *Gossip) announceAll(ctx context.Context) error {
	t := time.NewTimer(announceInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		case <-g.changed:
			if !comfreygroup.Sleep(ctx, gatherTime) {
				return nil
			}
		}
		g.announce()
		t.Reset(announceInterval)
	}
}

// announce sends the placements to every known gateway.
func (g *Gossip) announce() {
	s := g.config.Placements()
	complete := g.config.StoreRevision()
	age, known := g.config.DirectStoreAge()
	g.mu.Lock()
	g.sequence++
	sequence := g.sequence
	to := g.neighbours()
	g.mu.Unlock()
	for _, d := range datagrams(s) {
		d.Address, d.Incarnation, d.Sequence = g.config.Address, g.incarnation, sequence
		d.Complete, d.ContactKnown, d.ContactAgeMillis = complete, known, uint64(max(age, 0).Milliseconds())
		b, err := proto.Marshal(d)
		if err != nil {
			g.config.Logger.WithError(err).Warning("placements cannot be encoded")
			return
		}
		for _, a := range to {
			// A datagram that is lost is followed by another one.
			_, _ = g.socket.WriteToUDP(b, a)
		}
	}
}

// datagrams splits a state into parts.
func datagrams(s Placements) []*comfreyproto.PlacementDatagram {
	parts := max((len(s.Generations)+maxRuns-1)/maxRuns, 1)
	var l []*comfreyproto.PlacementDatagram
	for p := range parts {
		d := &comfreyproto.PlacementDatagram{Part: uint32(p), Parts: uint32(parts)}
		for _, r := range s.Generations[p*maxRuns : min((p+1)*maxRuns, len(s.Generations))] {
			d.Runs = append(d.Runs, &comfreyproto.PlacedRun{
				Id: r.ID, Replica: r.Replica, PromptTokens: uint32(r.PromptTokens), GrownTokens: uint32(r.GeneratedTokens),
				RemainingTokens: uint32(max(r.RemainingTokens, 0)), Begun: r.IsDecoding, Copying: r.IsCopying,
			})
		}
		if p == 0 {
			d.Leaving = s.Leaving
		}
		l = append(l, d)
	}
	return l
}

// listen takes the placements of other gateways.
func (g *Gossip) listen(ctx context.Context) error {
	b := make([]byte, maxDatagram)
	partial := map[string]*assembly{}
	for {
		n, _, err := g.socket.ReadFromUDP(b)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			// A host that is away may make the next read fail once.
			if !comfreygroup.Sleep(ctx, gatherTime) {
				return nil
			}
			continue
		}
		var d comfreyproto.PlacementDatagram
		if err := proto.Unmarshal(b[:n], &d); err != nil {
			g.config.Logger.WithError(err).Debug("a datagram cannot be decoded")
			continue
		}
		g.take(partial, &d)
	}
}

// assembly gathers the parts of one state.
type assembly struct {
	sequence uint64
	parts    map[uint32]bool
	state    Placements
}

// take takes one datagram, and the state once all of its parts are there.
func (g *Gossip) take(partial map[string]*assembly, d *comfreyproto.PlacementDatagram) {
	if !g.isNew(d) {
		return
	}
	a := partial[d.Address]
	if a == nil || a.sequence != d.Sequence {
		a = &assembly{sequence: d.Sequence, parts: map[uint32]bool{}}
		partial[d.Address] = a
	}
	if a.parts[d.Part] {
		return
	}
	a.parts[d.Part] = true
	for _, r := range d.Runs {
		a.state.Generations = append(a.state.Generations, comfreyoccupancy.Generation{
			ID: r.Id, Replica: r.Replica, PromptTokens: int(r.PromptTokens), GeneratedTokens: int(r.GrownTokens),
			RemainingTokens: float64(r.RemainingTokens), IsDecoding: r.Begun, IsCopying: r.Copying,
		})
	}
	a.state.Leaving = append(a.state.Leaving, d.Leaving...)
	if len(a.parts) < int(d.Parts) {
		return
	}
	delete(partial, d.Address)
	g.mu.Lock()
	if k := g.gateways[d.Address]; k != nil {
		k.sequence, k.spoke = d.Sequence, g.config.Now()
	}
	g.mu.Unlock()
	g.noteCopy(d)
	g.config.ApplyPlacements(d.Address, a.state)
}

// noteCopy compares the copies of the store.
func (g *Gossip) noteCopy(d *comfreyproto.PlacementDatagram) {
	if d.ContactKnown {
		g.config.ObserveStoreAge(d.Complete, time.Duration(d.ContactAgeMillis)*time.Millisecond)
	}
	if d.Complete > g.config.StoreRevision() {
		select {
		case g.behind <- d.Address:
		default:
		}
	}
}

// isNew reports whether a datagram is newer than what its sender said before.
func (g *Gossip) isNew(d *comfreyproto.PlacementDatagram) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	k := g.learn(d.Address)
	if k == nil {
		return false
	}
	now := g.config.Now()
	switch {
	case d.Incarnation == k.incarnation:
		if d.Sequence <= k.sequence {
			return false
		}
	case d.Incarnation < k.incarnation && now.Sub(k.heard) < restartTime:
		return false
	default:
		k.incarnation, k.sequence = d.Incarnation, 0
	}
	k.heard = now
	return true
}
