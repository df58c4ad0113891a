package comfreyforward

import (
	"context"
	"time"

	"comfreyridge.example/comfreyridge/comfreydecision"
	"comfreyridge.example/comfreyridge/comfreygroup"
	"comfreyridge.example/comfreyridge/comfreyreplica"
	"comfreyridge.example/comfreyridge/comfreyroute"
	"comfreyridge.example/comfreyridge/comfreystorecache"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// unservableRetryAfter is the retry-after of a request that no replica may serve until
// an operator or a start changes that, which takes seconds.
const unservableRetryAfter = 2 * time.Second

// applyEvacuation applies a change of an operator's order to send nothing to a data
// centre, which may be missing from an older copy of the store. It reports whether the
// data centre has to be emptied. The mutex must be held.
func (g *Gateway) applyEvacuation(now time.Time, source, dataCentre string, x comfreystorecache.Item, isRestored bool) bool {
	var state string
	switch {
	case !x.IsDeleted && g.replicas.Evacuate(now, dataCentre):
		state = "evacuated"
	case x.IsDeleted && isRestored && g.replicas.IsEvacuated(dataCentre):
		state = "missing-in-restored-store"
		g.replicas.EndRestoredEvacuation(now, dataCentre)
	case x.IsDeleted && !isRestored && g.replicas.EndEvacuation(now, dataCentre):
		state = "taken-back"
	default:
		return false
	}
	g.metrics.evacuations.WithLabelValues(state).Inc()
	g.record("", comfreydecision.KindUpstream, comfreyverdict.ReasonEvacuated, map[string]any{
		"data-centre": dataCentre, "state": state, "source": source, "revision": x.Revision,
	})
	return state == "evacuated"
}

// emptyDataCentre moves the generations of this gateway away from the replicas of an
// evacuated data centre.
func (g *Gateway) emptyDataCentre(dataCentre string) {
	g.mu.Lock()
	replicas := map[string]comfreyreplica.Replica{}
	for n := range g.generations {
		if r, ok := g.replicas.Get(n.replica.ID); ok && r.DataCentre == dataCentre {
			replicas[r.ID] = r
		}
	}
	period := g.replicas.MoveAwayPeriod()
	g.mu.Unlock()
	for _, r := range replicas {
		g.moveRemaining(r.ID)
	}
	g.capacityChanges.notify()
	g.config.Group.Go("evacuation", func(ctx context.Context) error {
		if comfreygroup.Sleep(ctx, period) {
			g.reportLeftBehind(dataCentre)
		}
		return nil
	})
}

// checkServable returns an error if no replica of a request's service may serve it,
// although there are some that accept new work: their data centres are evacuated, or
// they are outside the homes of the request. It would wait in vain.
func (g *Gateway) checkServable(x *exchange) *attemptError {
	g.mu.Lock()
	defer g.mu.Unlock()
	reason := comfreyverdict.Reason("")
	for _, r := range g.replicas.ByService(x.service.Name) {
		switch {
		case !r.IsAccepting():
		case !g.isHome(x.homes, r):
			if reason == "" {
				reason = comfreyverdict.ReasonNoHome
			}
		case g.replicas.IsEvacuated(r.DataCentre):
			reason = comfreyverdict.ReasonEvacuated
		default:
			return nil
		}
	}
	if reason == "" {
		return nil
	}
	return &attemptError{reason: reason, isNotRun: true, retryAfter: unservableRetryAfter}
}

// applyWarmUps applies what a configuration says of cold replicas. The mutex must be
// held.
func (g *Gateway) applyWarmUps(t *comfreyroute.Table) {
	w := map[string]comfreyreplica.WarmUp{}
	for _, s := range t.Services() {
		if s.WarmUpTime > 0 || s.WarmUpPerSecond > 0 {
			w[s.Name] = comfreyreplica.WarmUp{Duration: s.WarmUpTime, PerSecond: s.WarmUpPerSecond}
		}
	}
	g.replicas.SetWarmUps(w)
}

// reportLeftBehind logs the generations that could not be moved out of an evacuated
// data centre in time. They end where they run.
func (g *Gateway) reportLeftBehind(dataCentre string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.replicas.IsEvacuated(dataCentre) {
		return
	}
	n := 0
	for m := range g.generations {
		if r, ok := g.replicas.Get(m.replica.ID); ok && r.DataCentre == dataCentre {
			n++
		}
	}
	g.metrics.leftBehind.Add(float64(n))
	g.record("", comfreydecision.KindMove, comfreyverdict.ReasonEvacuated, map[string]any{"data-centre": dataCentre, "left-behind": n})
}

// evacuatedCount returns the number of evacuated data centres.
func (g *Gateway) evacuatedCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.replicas.Evacuated(g.config.Now()))
}

// coldCount returns the number of cold replicas that accept new work.
func (g *Gateway) coldCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	now := g.config.Now()
	for _, r := range g.replicas.All() {
		if r.IsAccepting() && now.Before(r.WarmAt) {
			n++
		}
	}
	return n
}
