package comfreyforward

import (
	"fmt"
	"math"
	"runtime"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreycell"
	"comfreyridge.example/comfreyridge/comfreydecision"
	"comfreyridge.example/comfreyridge/comfreyreplica"
	"comfreyridge.example/comfreyridge/comfreyroute"
)

// newFleetGateway returns a gateway that is not started, in a fleet of a size with ten
// engines for each gateway, over three data centres.
func newFleetGateway(gateways int, listedAt time.Time) *Gateway {
	dataCentre := func(i int) string { return fmt.Sprintf("dc-%d", i%3) }
	var others []comfreycell.Gateway
	for i := range gateways - 1 {
		others = append(others, comfreycell.Gateway{Address: fmt.Sprintf("10.0.%d.%d:1", i/200, i%200), DataCentre: dataCentre(i), AliveFor: time.Hour})
	}
	layout := comfreycell.New(comfreycell.Gateway{Address: "10.9.0.0:1", DataCentre: dataCentre(0), AliveFor: time.Hour}, others, nil)
	g := New(Config{
		DataCentre: dataCentre(0), Address: "10.9.0.0:1", Recorder: comfreydecision.New(comfreydecision.Config{}),
		Layout: func() comfreycell.Layout { return layout },
	})
	for i := range 10 * gateways {
		g.replicas.Update(listedAt, comfreyreplica.Registration{
			ID: fmt.Sprintf("i-%08x", uint32(i)*2654435761), Service: "llm", Address: fmt.Sprintf("10.1.%d.%d:1", i/200, i%200), DataCentre: dataCentre(i), Slots: 32,
		})
	}
	return g
}

// BenchmarkCandidates measures one search for an engine in fleets of different sizes, in
// the first second after a gateway has started and later.
func BenchmarkCandidates(b *testing.B) {
	now := time.Unix(1_000_000, 0)
	q := search{service: comfreyroute.Service{Name: "llm", HasEngine: true}}
	for _, gateways := range []int{30, 100, 300} {
		for name, age := range map[string]time.Duration{"after a start": 300 * time.Millisecond, "later": time.Hour} {
			g := newFleetGateway(gateways, now.Add(-age))
			b.Run(fmt.Sprintf("%d gateways/%s", gateways, name), func(b *testing.B) {
				for b.Loop() {
					g.mu.Lock()
					l := g.candidates(now, q)
					g.mu.Unlock()
					if len(l) == 0 {
						b.Fatal("expected candidates, got none")
					}
				}
			})
		}
	}
}

// TestSearchAllocatesForItsCellOnly compares searches in fleets of 30 and 300 gateways,
// with ten replicas each. It guards against searches whose cost grows with the replicas of
// other cells, which a gateway with a small share of a core cannot bear.
func TestSearchAllocatesForItsCellOnly(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	q := search{service: comfreyroute.Service{Name: "llm", HasEngine: true}}
	for name, age := range map[string]time.Duration{"after a start": 300 * time.Millisecond, "later": time.Hour} {
		small, large := newFleetGateway(30, now.Add(-age)), newFleetGateway(300, now.Add(-age))
		one, many := allocatedBytes(func() { small.candidates(now, q) }), allocatedBytes(func() { large.candidates(now, q) })
		if many > 2*one {
			t.Errorf("%s: a search allocates %d bytes among 30 gateways and %d among 300, want at most twice as many", name, one, many)
		}
	}
}

// allocatedBytes returns how many bytes a call of f allocates: the least of several calls,
// beside which other goroutines may allocate.
func allocatedBytes(f func()) uint64 {
	least := uint64(math.MaxUint64)
	for range 20 {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		f()
		runtime.ReadMemStats(&after)
		least = min(least, after.TotalAlloc-before.TotalAlloc)
	}
	return least
}
