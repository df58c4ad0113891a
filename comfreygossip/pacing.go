package comfreygossip

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	// placementLinkShare is the part of the own link that placements may use. What a
	// gateway sends to callers and replicas waits in the same queue.
	placementLinkShare = 0.25
	// maxReceivedRate is the largest rate, in bytes a second, at which a gateway
	// receives placements if all others send as many as they may: half of a link of
	// 10 Mbit/s, since the links of receivers are not known.
	maxReceivedRate = 625e3
	// datagramOverhead is the size in bytes of the headers of a datagram on an
	// Ethernet link.
	datagramOverhead = 46
	// minPacingDelay is the shortest time that is waited between the datagrams to two
	// gateways; shorter ones are added up.
	minPacingDelay = 20 * time.Millisecond
)

// The kinds of messages by which the bytes that are sent to other gateways are
// counted.
const (
	kindPlacements     = "placements"
	kindCellState      = "cell-state"
	kindStoreChanges   = "store-changes"
	kindCrashes        = "crashes"
	kindExchange       = "exchange"
	kindExchangeAnswer = "exchange-answer"
)

// roundTime returns over how much time placements of a size in bytes are sent to a
// number of receivers, so that they leave the rest of a link to callers. The load that
// it answers: a gateway that is left almost alone in its data centre while the others
// restart has 60 generations that begin or end a second and 150 that run, and tells
// each change to 25 others with all the generations. That is several times what a link
// of 10 Mbit/s carries, and responses wait for seconds in its queue. A link of 0 is
// not known.
func roundTime(size, receivers int, linkBytesPerSecond float64) time.Duration {
	rate := float64(maxReceivedRate)
	if linkBytesPerSecond > 0 {
		rate = min(rate, placementLinkShare*linkBytesPerSecond)
	}
	// Each receiver has as many senders.
	return time.Duration(float64(size*receivers) / rate * float64(time.Second))
}

// pause waits between the datagrams of placements, and sends crash records that come
// up meanwhile. It returns false if ctx ends.
func (g *Gossip) pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	isChanged := false
	for {
		select {
		case <-g.changed:
			isChanged = true
			g.sendCrashRecords()
		case <-t.C:
			if isChanged {
				g.PlacementsChanged()
			}
			return true
		case <-ctx.Done():
			return false
		}
	}
}

// newSentBytes returns the counter of the bytes that are sent to other gateways.
func newSentBytes() *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "comfrey_gossip_sent_bytes_total",
		Help: "Bytes sent to other gateways, with the headers of datagrams and without those of HTTP, by kind of message.",
	}, []string{"kind"})
}

// newRoundSeconds returns the gauge of the time over which placements are sent.
func newRoundSeconds() prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "comfrey_gossip_placement_round_seconds",
		Help: "Time over which the latest placements are sent to all receivers.",
	})
}

// Collectors returns the collectors of the metrics.
func (g *Gossip) Collectors() []prometheus.Collector {
	return []prometheus.Collector{g.sentBytes, g.roundSeconds}
}
