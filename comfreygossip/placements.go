package comfreygossip

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"time"

	"google.golang.org/protobuf/proto"

	"comfreyridge.example/comfreyridge/comfreycell"
	"comfreyridge.example/comfreyridge/comfreygroup"
	"comfreyridge.example/comfreyridge/comfreyoccupancy"
	"comfreyridge.example/comfreyridge/comfreyproto"
	"comfreyridge.example/comfreyridge/comfreyreplica"
	"comfreyridge.example/comfreyridge/comfreyrpc"
	"comfreyridge.example/comfreyridge/comfreystorecache"
)

const (
	// maxGenerations is how many generations fit into one datagram of the usual
	// size.
	maxGenerations = 20
	// maxRateLimits is how many rate limits are added to one datagram.
	maxRateLimits = 10
	// maxPaces is how many paces are added to one datagram.
	maxPaces = 16
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
		g.sendCrashRecords()
		if !g.sendPlacements(ctx) {
			return nil
		}
		t.Reset(placementInterval)
	}
}

// sendPlacements sends the placements to every placement target, in random order and
// spread over their comfreycell.RoundTime. It returns false if ctx ends meanwhile.
func (g *Gossip) sendPlacements(ctx context.Context) bool {
	s := g.config.Placements()
	version := g.config.StoreVersion()
	age, known := g.config.DirectStoreAge()
	g.mu.Lock()
	g.sequence++
	sequence := g.sequence
	to := g.placementTargets()
	g.mu.Unlock()
	var l [][]byte
	size := 0
	for _, d := range datagrams(s, g.config.Now()) {
		d.Address, d.DataCentre, d.Incarnation, d.Sequence = g.config.Address, g.config.DataCentre, g.incarnation, sequence
		d.Complete, d.Era, d.ContactKnown, d.ContactAgeMillis = version.Revision, version.Era, known, uint64(max(age, 0).Milliseconds())
		if b, ok := g.marshal(d); ok {
			l = append(l, b)
			size += len(b) + datagramOverhead
		}
	}
	rand.Shuffle(len(to), func(i, j int) { to[i], to[j] = to[j], to[i] })
	round := comfreycell.RoundTime(size, len(to), g.config.LinkBytesPerSecond)
	g.roundSeconds.Set(round.Seconds())
	each := round / time.Duration(max(len(to), 1))
	due := time.Duration(0)
	for _, a := range to {
		for _, b := range l {
			g.write(kindPlacements, b, a)
		}
		if due += each; due < minPacingDelay {
			continue
		}
		if !g.pause(ctx, due) {
			return false
		}
		due = 0
	}
	return due < batchDelay || g.pause(ctx, due)
}

// send sends a datagram. It is not repeated: if it is lost, the next one replaces
// it.
func (g *Gossip) send(kind string, d *comfreyproto.PlacementDatagram, to ...*net.UDPAddr) {
	if b, ok := g.marshal(d); ok {
		g.write(kind, b, to...)
	}
}

// marshal encodes a datagram. It reports false if that fails.
func (g *Gossip) marshal(d *comfreyproto.PlacementDatagram) ([]byte, bool) {
	b, err := proto.Marshal(d)
	if err != nil {
		g.config.Logger.WithError(err).Warning("cannot encode a datagram")
	}
	return b, err == nil
}

// write writes an encoded datagram.
func (g *Gossip) write(kind string, b []byte, to ...*net.UDPAddr) {
	for _, a := range to {
		_, _ = g.socket.WriteToUDP(b, a)
	}
	g.sentBytes.WithLabelValues(kind).Add(float64(len(to) * (len(b) + datagramOverhead)))
}

// datagrams splits placements into parts that fit into a datagram each.
func datagrams(s Placements, now time.Time) []*comfreyproto.PlacementDatagram {
	chunks := func(n, size int) int { return (n + size - 1) / size }
	parts := max(chunks(len(s.Generations), maxGenerations), chunks(len(s.RateLimits), maxRateLimits), chunks(len(s.Paces), maxPaces), 1)
	var l []*comfreyproto.PlacementDatagram
	for p := range parts {
		d := &comfreyproto.PlacementDatagram{Part: uint32(p), Parts: uint32(parts)}
		d.Runs = encodeGenerations(chunk(s.Generations, p, maxGenerations))
		d.RateLimits = comfreyrpc.EncodeRateLimits(chunk(s.RateLimits, p, maxRateLimits), now)
		d.Paces = comfreyrpc.EncodePaces(chunk(s.Paces, p, maxPaces), now)
		if p == 0 {
			d.Leaving, d.LeavingBorn = encodeLeaving(s.Leaving)
			d.Announced = encodeStarts(s.Announced)
			d.PermitHolders = s.PermitHolders
			d.Waiting = comfreyrpc.EncodeWaiting(s.Waiting)
			d.Refused = comfreyrpc.EncodeRefused(s.Refused, now)
		}
		l = append(l, d)
	}
	return l
}

// chunk returns a part of l; the parts of a short list end before those of a longer
// one.
func chunk[T any](l []T, part, size int) []T {
	return l[min(part*size, len(l)):min((part+1)*size, len(l))]
}

func encodeStarts(l []comfreyreplica.Start) []*comfreyproto.ReplicaStart {
	var m []*comfreyproto.ReplicaStart
	for _, k := range l {
		m = append(m, &comfreyproto.ReplicaStart{Replica: k.ID, Born: k.StartMillis})
	}
	return m
}

func decodeStarts(m []*comfreyproto.ReplicaStart) []comfreyreplica.Start {
	var l []comfreyreplica.Start
	for _, k := range m {
		l = append(l, comfreyreplica.Start{ID: k.Replica, StartMillis: k.Born})
	}
	return l
}

// encodeLeaving returns the ids and the starts of replicas.
func encodeLeaving(l []comfreyreplica.Start) (ids []string, starts []int64) {
	for _, k := range l {
		ids, starts = append(ids, k.ID), append(starts, k.StartMillis)
	}
	return ids, starts
}

// decodeLeaving is the reverse of encodeLeaving. Older builds send no starts.
func decodeLeaving(ids []string, starts []int64) []comfreyreplica.Start {
	var l []comfreyreplica.Start
	for i, id := range ids {
		k := comfreyreplica.Start{ID: id}
		if len(starts) == len(ids) {
			k.StartMillis = starts[i]
		}
		l = append(l, k)
	}
	return l
}

func encodeGenerations(l []comfreyoccupancy.Generation) []*comfreyproto.PlacedRun {
	var runs []*comfreyproto.PlacedRun
	for _, r := range l {
		runs = append(runs, &comfreyproto.PlacedRun{
			Id: r.ID, Replica: r.Replica, PromptTokens: uint32(r.PromptTokens), GrownTokens: uint32(r.GeneratedTokens),
			RemainingTokens: uint32(max(r.RemainingTokens, 0)), Begun: r.IsDecoding, Copying: r.IsCopying,
		})
	}
	return runs
}

func decodeGenerations(runs []*comfreyproto.PlacedRun) []comfreyoccupancy.Generation {
	var l []comfreyoccupancy.Generation
	for _, r := range runs {
		l = append(l, comfreyoccupancy.Generation{
			ID: r.Id, Replica: r.Replica, PromptTokens: int(r.PromptTokens), GeneratedTokens: int(r.GrownTokens),
			RemainingTokens: float64(r.RemainingTokens), IsDecoding: r.Begun, IsCopying: r.Copying,
		})
	}
	return l
}

// listen receives the datagrams of other gateways.
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
			g.config.Logger.WithError(err).Debug("cannot decode a datagram")
			continue
		}
		switch {
		case d.Cell != nil:
			g.receiveCellState(partial, d.Cell)
		case d.Store != nil:
			g.receiveStoreChanges(d.Store)
		case len(d.Crashes) > 0:
			g.config.MergeCrashRecords(comfreyrpc.DecodeCrashRecords(d.Crashes, g.config.Now()))
		case len(d.SilentLosses) > 0:
			g.config.MergeSilentLosses(comfreyrpc.DecodeCrashRecords(d.SilentLosses, g.config.Now()))
		default:
			g.receive(partial, &d)
		}
	}
}

// maxAssemblies is how many incomplete states are kept before those of senders
// that have vanished are removed.
const maxAssemblies = 256

// assembly collects the parts of one sender's state.
type assembly struct {
	sequence uint64
	// began is when the first part arrived.
	began time.Time
	parts map[uint32]bool
	// placements are those of a gateway, or else cell is the state of a cell.
	placements Placements
	cell       CellState
}

// assemble returns the assembly to which a part belongs, and whether the part is
// new. A later sequence replaces an incomplete one.
func assemble(partial map[string]*assembly, now time.Time, sender string, sequence uint64, part uint32) (*assembly, bool) {
	a := partial[sender]
	if a == nil || a.sequence != sequence {
		if len(partial) >= maxAssemblies {
			maps.DeleteFunc(partial, func(_ string, a *assembly) bool { return now.Sub(a.began) > peerExpiry })
		}
		a = &assembly{sequence: sequence, began: now, parts: map[uint32]bool{}}
		partial[sender] = a
	}
	isNew := !a.parts[part]
	a.parts[part] = true
	return a, isNew
}

// receive adds one datagram to its assembly, and applies the placements once all
// parts have arrived.
func (g *Gossip) receive(partial map[string]*assembly, d *comfreyproto.PlacementDatagram) {
	if !g.isNew(d) {
		return
	}
	a, isNew := assemble(partial, g.config.Now(), d.Address, d.Sequence, d.Part)
	if !isNew {
		return
	}
	a.placements.Generations = append(a.placements.Generations, decodeGenerations(d.Runs)...)
	a.placements.Leaving = append(a.placements.Leaving, decodeLeaving(d.Leaving, d.LeavingBorn)...)
	a.placements.Announced = append(a.placements.Announced, decodeStarts(d.Announced)...)
	a.placements.RateLimits = append(a.placements.RateLimits, comfreyrpc.DecodeRateLimits(d.RateLimits, g.config.Now())...)
	a.placements.Paces = append(a.placements.Paces, comfreyrpc.DecodePaces(d.Paces, g.config.Now())...)
	a.placements.Waiting = append(a.placements.Waiting, comfreyrpc.DecodeWaiting(d.Waiting)...)
	a.placements.Refused = append(a.placements.Refused, comfreyrpc.DecodeRefused(d.Refused, g.config.Now())...)
	if d.PermitHolders != nil {
		a.placements.PermitHolders = d.PermitHolders
	}
	if len(a.parts) < int(d.Parts) {
		return
	}
	delete(partial, d.Address)
	g.mu.Lock()
	if k := g.peers[d.Address]; k != nil {
		k.sequence, k.lastDatagram = d.Sequence, g.config.Now()
	}
	g.mu.Unlock()
	version := comfreystorecache.Version{Era: d.Era, Revision: d.Complete}
	if d.ContactKnown {
		g.config.ObserveStoreAge(version, time.Duration(d.ContactAgeMillis)*time.Millisecond)
	}
	g.requestIfNewer(d.Address, version)
	g.config.ApplyPlacements(d.Address, a.placements)
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
		k.incarnation, k.sequence, k.aliveSince = d.Incarnation, 0, now
	}
	g.markAlive(k, d.DataCentre)
	return true
}
