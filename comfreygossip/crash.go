package comfreygossip

import (
	"iter"
	"net"
	"slices"

	"comfreyridge.example/comfreyridge/comfreyproto"
	"comfreyridge.example/comfreyridge/comfreyquarantine"
	"comfreyridge.example/comfreyridge/comfreyrpc"
)

// maxSuspectsPerDatagram is how many suspects fit into one datagram of the usual
// size.
const maxSuspectsPerDatagram = 40

// sendCrashRecords sends new crash records to the own cell, and to the other cells
// if this gateway is a relay. Each receiver sends them on a few times.
func (g *Gossip) sendCrashRecords() {
	l := g.config.CrashRecords()
	if len(l) == 0 {
		return
	}
	to := g.crashReceivers()
	for r := range datagramRecords(l) {
		g.send(kindCrashes, &comfreyproto.PlacementDatagram{Crashes: comfreyrpc.EncodeCrashRecords(r, g.config.Now())}, to...)
	}
}

// datagramRecords yields crash records that fit into one datagram each.
func datagramRecords(l []comfreyquarantine.CrashRecord) iter.Seq[[]comfreyquarantine.CrashRecord] {
	return func(yield func([]comfreyquarantine.CrashRecord) bool) {
		for _, r := range l {
			for s := range slices.Chunk(r.Suspects, maxSuspectsPerDatagram) {
				r.Suspects = s
				if !yield([]comfreyquarantine.CrashRecord{r}) {
					return
				}
			}
		}
	}
}

// crashReceivers returns the gateways of the own cell, and of the other cells if this gateway
// is a relay.
func (g *Gossip) crashReceivers() []*net.UDPAddr {
	layout := g.Layout()
	to := layout.Members()
	for _, t := range layout.RelayTargets() {
		to = append(to, t.Address)
	}
	return g.datagramAddresses(to)
}

// ShareSilentLosses sends the own cell, and other cells if this gateway is a relay, the
// requests that have no response as this gateway ends. A datagram may be lost, so each is
// sent twice.
func (g *Gossip) ShareSilentLosses(l []comfreyquarantine.CrashRecord) {
	to := g.crashReceivers()
	for range 2 {
		for r := range datagramRecords(l) {
			g.send(kindCrashes, &comfreyproto.PlacementDatagram{SilentLosses: comfreyrpc.EncodeCrashRecords(r, g.config.Now())}, to...)
		}
	}
}
