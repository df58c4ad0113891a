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
	// maxGenerations is how many generations fit into one datagram of the usual
	// size.
	maxGenerations = 20
	// maxDatagram is the size in bytes of the largest datagram that is read.
	maxDatagram = 8 << 10
)

// PlacementsChanged signals that the placements changed, so that they are sent to
// the other gateways soon.
func (g *Gossip) PlacementsChanged() {
	select {
	case g.changed <- struct{}{}:
	default:
	}
}

// runPlacements sends the placements to the other gateways, soon after a change
// and periodically without one.
func (g *Gossip) runPlacements(ctx context.Context) error {
	t := time.NewTimer(placementInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		case <-g.changed:
			if !comfreygroup.Sleep(ctx, batchDelay) {
				return nil
			}
		}
		g.sendPlacements()
		t.Reset(placementInterval)
	}
}

// sendPlacements sends the placements to every placement target.
func (g *Gossip) sendPlacements() {
	s := g.config.Placements()
	revision := g.config.StoreRevision()
	age, known := g.config.DirectStoreAge()
	g.mu.Lock()
	g.sequence++
	sequence := g.sequence
	to := g.placementTargets()
	g.mu.Unlock()
	for _, d := range datagrams(s) {
		d.Address, d.Incarnation, d.Sequence = g.config.Address, g.incarnation, sequence
		d.Complete, d.ContactKnown, d.ContactAgeMillis = revision, known, uint64(max(age, 0).Milliseconds())
		b, err := proto.Marshal(d)
		if err != nil {
			g.config.Logger.WithError(err).Warning("cannot encode placements")
			return
		}
		for _, a := range to {
			// No retry: if a datagram is lost, the next one replaces it.
			_, _ = g.socket.WriteToUDP(b, a)
		}
	}
}

// datagrams splits placements into parts that fit into a datagram each.
func datagrams(s Placements) []*comfreyproto.PlacementDatagram {
	parts := max((len(s.Generations)+maxGenerations-1)/maxGenerations, 1)
	var l []*comfreyproto.PlacementDatagram
	for p := range parts {
		d := &comfreyproto.PlacementDatagram{Part: uint32(p), Parts: uint32(parts)}
		for _, r := range s.Generations[p*maxGenerations : min((p+1)*maxGenerations, len(s.Generations))] {
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

// listen receives the placements of other gateways.
func (g *Gossip) listen(ctx context.Context) error {
	b := make([]byte, maxDatagram)
	partial := map[string]*assembly{}
	for {
		n, _, err := g.socket.ReadFromUDP(b)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			// A datagram sent to an unreachable host may make the next read fail
			// once.
			if !comfreygroup.Sleep(ctx, batchDelay) {
				return nil
			}
			continue
		}
		var d comfreyproto.PlacementDatagram
		if err := proto.Unmarshal(b[:n], &d); err != nil {
			g.config.Logger.WithError(err).Debug("cannot decode placement datagram")
			continue
		}
		g.receive(partial, &d)
	}
}

// assembly collects the parts of one gateway's placements.
type assembly struct {
	sequence   uint64
	parts      map[uint32]bool
	placements Placements
}

// receive adds one datagram to its assembly, and applies the placements once all
// parts have arrived.
func (g *Gossip) receive(partial map[string]*assembly, d *comfreyproto.PlacementDatagram) {
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
		a.placements.Generations = append(a.placements.Generations, comfreyoccupancy.Generation{
			ID: r.Id, Replica: r.Replica, PromptTokens: int(r.PromptTokens), GeneratedTokens: int(r.GrownTokens),
			RemainingTokens: float64(r.RemainingTokens), IsDecoding: r.Begun, IsCopying: r.Copying,
		})
	}
	a.placements.Leaving = append(a.placements.Leaving, d.Leaving...)
	if len(a.parts) < int(d.Parts) {
		return
	}
	delete(partial, d.Address)
	g.mu.Lock()
	if k := g.peers[d.Address]; k != nil {
		k.sequence, k.lastDatagram = d.Sequence, g.config.Now()
	}
	g.mu.Unlock()
	g.compareStores(d)
	g.config.ApplyPlacements(d.Address, a.placements)
}

// compareStores compares the sender's store cache with this gateway's, and
// requests an exchange if the sender's revision is higher.
func (g *Gossip) compareStores(d *comfreyproto.PlacementDatagram) {
	if d.ContactKnown {
		g.config.ObserveStoreAge(d.Complete, time.Duration(d.ContactAgeMillis)*time.Millisecond)
	}
	if d.Complete > g.config.StoreRevision() {
		select {
		case g.newer <- d.Address:
		default:
		}
	}
}

// isNew reports whether a datagram is newer than the last complete placements
// from its sender.
func (g *Gossip) isNew(d *comfreyproto.PlacementDatagram) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	k := g.addPeer(d.Address)
	if k == nil {
		return false
	}
	now := g.config.Now()
	switch {
	case d.Incarnation == k.incarnation:
		if d.Sequence <= k.sequence {
			return false
		}
	case d.Incarnation < k.incarnation && now.Sub(k.lastMessage) < clockResetDelay:
		return false
	default:
		k.incarnation, k.sequence = d.Incarnation, 0
	}
	k.lastMessage = now
	return true
}
