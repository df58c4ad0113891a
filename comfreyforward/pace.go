package comfreyforward

import (
	"cmp"
	"slices"
	"time"

	"comfreyridge.example/comfreyridge/comfreypace"
	"comfreyridge.example/comfreyridge/comfreyplacement"
)

const (
	// paceGossipTime is how long gossip messages repeat a pace. Slow moments last some
	// tenths of a second.
	paceGossipTime = 600 * time.Millisecond
	// maxGossipedPaces bounds the paces of one message.
	maxGossipedPaces = 16
)

// observePace applies the pace that a response states of its replica; zero if it states
// none.
func (g *Gateway) observePace(replica string, pace float64) {
	if pace <= 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	r, ok := g.replicas.Get(replica)
	if ok {
		g.addPace(r.Service, comfreypace.Sample{Start: r.Start(), Pace: pace, At: g.config.Now(), IsDirect: true})
	}
}

// addPace adds a sample of a replica of a service. The mutex must be held.
func (g *Gateway) addPace(service string, s comfreypace.Sample) {
	t, ok := g.paces[service]
	if !ok {
		t = comfreypace.NewTracker()
		g.paces[service] = t
	}
	t.Observe(s)
}

// mergePaces adds the samples of another gateway. The mutex must be held.
func (g *Gateway) mergePaces(l []comfreypace.Sample) {
	for _, s := range l {
		if r, ok := g.replicas.Get(s.Start.ID); ok {
			g.addPace(r.Service, s)
		}
	}
}

// latestPaces returns the newest paces that were stated to this gateway. The mutex must
// be held.
func (g *Gateway) latestPaces() []comfreypace.Sample {
	var l []comfreypace.Sample
	now := g.config.Now()
	for _, t := range g.paces {
		l = append(l, t.Latest(now, paceGossipTime)...)
	}
	slices.SortFunc(l, func(a, b comfreypace.Sample) int {
		return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.Start.ID, b.Start.ID))
	})
	return l[:min(len(l), maxGossipedPaces)]
}

// pausesOf returns the target of the pauses in the stream of a request.
func pausesOf(x *exchange) comfreyplacement.Pauses {
	return comfreyplacement.Pauses{Target: x.route.TargetPause, TokensPerEvent: x.service.Engine.TokensPerEvent}
}
