package comfreygossip

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

const (
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
