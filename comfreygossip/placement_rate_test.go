package comfreygossip_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"comfreyridge.example/comfreyridge/comfreygossip"
	"comfreyridge.example/comfreyridge/comfreyoccupancy"
	"comfreyridge.example/comfreyridge/comfreyrelay"
)

// sentBytes returns how many bytes a gateway has sent in messages of a kind.
func sentBytes(t *testing.T, g *comfreygossip.Gossip, kind string) float64 {
	t.Helper()
	r := prometheus.NewRegistry()
	r.MustRegister(g.Collectors()...)
	l, err := r.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range l {
		for _, m := range f.GetMetric() {
			if f.GetName() == "comfrey_gossip_sent_bytes_total" && m.GetLabel()[0].GetValue() == kind {
				return m.GetCounter().GetValue()
			}
		}
	}
	return 0
}

// TestChangingPlacementsDoNotFillASlowLink guards against a gateway that sends each
// change of its placements to every other one at once: left alone in its data centre,
// it filled a link of 10 Mbit/s, and responses waited in the queue for seconds.
func TestChangingPlacementsDoNotFillASlowLink(t *testing.T) {
	const (
		receivers   = 25
		generations = 60
		interval    = 1500 * time.Millisecond
	)
	n := startNodeOn(t, comfreyrelay.NewLink(slowLink), "north", 230)
	n.mu.Lock()
	for i := range generations {
		n.generations = append(n.generations, comfreyoccupancy.Generation{ID: fmt.Sprintf("%016x", i), Replica: fmt.Sprintf("i-%010x", i), PromptTokens: 3000, RemainingTokens: 400})
	}
	n.mu.Unlock()
	var others []string
	for i := range receivers {
		others = append(others, fmt.Sprintf("127.0.8.%d:17200", i+1)) // New gateways are sent placements.
	}
	n.gossip.AddPeers(others)
	for end := time.Now().Add(interval); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		n.gossip.PlacementsChanged()
	}
	sent := sentBytes(t, n.gossip, "placements")
	if limit := 0.3 * slowLink * interval.Seconds(); sent > limit {
		t.Errorf("placements sent within %v on a link of %d bytes a second: expected at most %.0f bytes, got %.0f", interval, slowLink, limit, sent)
	}
	if least := 2 * receivers * 2500.0; sent < least {
		t.Errorf("placements sent within %v: expected at least %.0f bytes, two rounds, got %.0f", interval, least, sent)
	}
}
