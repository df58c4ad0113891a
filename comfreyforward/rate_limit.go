package comfreyforward

import (
	"slices"

	"comfreyridge.example/comfreyridge/comfreycall"
	"comfreyridge.example/comfreyridge/comfreydecision"
	"comfreyridge.example/comfreyridge/comfreyoccupancy"
	"comfreyridge.example/comfreyridge/comfreyplacement"
	"comfreyridge.example/comfreyridge/comfreyratelimit"
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
		g.config.TriggerGossip()
		g.capacityChanges.notify()
	}
}

// mergeRateLimits merges limits that another gateway was told, and returns those that
// have changed. The mutex must be held.
func (g *Gateway) mergeRateLimits(limits []comfreyreplica.RateLimit) []comfreyreplica.RateLimit {
	return slices.DeleteFunc(limits, func(l comfreyreplica.RateLimit) bool { return !g.replicas.MergeRateLimit(l) })
}

// KnownRateLimits returns the limits that this gateway knows, for one that starts.
func (g *Gateway) KnownRateLimits() []comfreyreplica.RateLimit {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.replicas.KnownRateLimits()
}

// MergeRateLimits merges limits that another gateway knows.
func (g *Gateway) MergeRateLimits(limits []comfreyreplica.RateLimit) {
	g.mu.Lock()
	limits = g.mergeRateLimits(limits)
	g.mu.Unlock()
	for _, l := range limits {
		g.recordRateLimit(l, "exchange")
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

// mayFetchReport reports whether a load report that is due is fetched: not if the
// responses of the engine tell as much, and less often from engines with a rate limit.
func (g *Gateway) mayFetchReport(replica string) bool {
	age, _ := g.StoreAge()
	g.mu.Lock()
	l, isLimited := g.replicas.RateLimit(replica)
	r, _ := g.replicas.Get(replica)
	heardAt, isHeard := g.paces[r.Service].LastHeard(replica)
	g.mu.Unlock()
	if isHeard && !comfreyoccupancy.NeedsReport(g.config.Now().Sub(heardAt), age) {
		return false
	}
	n := g.cellSize()
	return !isLimited || g.config.Rand() < comfreyratelimit.ReportProbability(l.PerSecond, comfreyoccupancy.ReportInterval(n, 0), n)
}

// withoutLimited leaves out the candidates with rate limits, unless there are no
// others. The mutex must be held.
func (g *Gateway) withoutLimited(l []comfreyplacement.Candidate) []comfreyplacement.Candidate {
	others := slices.DeleteFunc(slices.Clone(l), func(c comfreyplacement.Candidate) bool {
		_, isLimited := g.replicas.CurrentLimit(g.config.Now(), c.ID)
		return isLimited
	})
	if len(others) == 0 {
		return l
	}
	return others
}
