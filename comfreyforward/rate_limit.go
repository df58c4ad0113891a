package comfreyforward

import (
	"comfreyridge.example/comfreyridge/comfreycall"
	"comfreyridge.example/comfreyridge/comfreydecision"
	"comfreyridge.example/comfreyridge/comfreyreplica"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// observeRateLimit applies what a response of a replica says of its rate limit.
func (g *Gateway) observeRateLimit(replica string, h comfreycall.RateLimit) {
	g.mu.Lock()
	now := g.config.Now()
	var l comfreyreplica.RateLimit
	switch h.Kind {
	case comfreycall.RateLimitNamed:
		l = g.replicas.NamedRateLimit(now, replica, h.PerSecond)
	case comfreycall.RateLimitNone:
		l = g.replicas.EndedRateLimit(now, replica)
	default:
		g.mu.Unlock()
		return
	}
	changed := g.replicas.MergeRateLimit(l)
	g.mu.Unlock()
	if changed {
		g.recordRateLimit(l, "")
	}
}

// recordRateLimit logs a changed limit and the gateway that has sent it; empty if
// the replica itself has.
func (g *Gateway) recordRateLimit(l comfreyreplica.RateLimit, gateway string) {
	g.metrics.rateLimits.Inc()
	state := "limited"
	if l.IsEnded() {
		state = "unlimited"
	}
	g.record("", comfreydecision.KindUpstream, comfreyverdict.ReasonUpstreamLimited, map[string]any{
		"replica": l.Start.ID, "born": l.Start.StartMillis, "state": state, "per-second": l.PerSecond,
		"age-ms": g.config.Now().Sub(l.ObservedAt).Milliseconds(), "source": gateway,
	})
}
