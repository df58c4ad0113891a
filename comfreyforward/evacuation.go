package comfreyforward

import (
	"context"
	"time"

	"comfreyridge.example/comfreyridge/comfreydecision"
	"comfreyridge.example/comfreyridge/comfreygroup"
	"comfreyridge.example/comfreyridge/comfreyreplica"
	"comfreyridge.example/comfreyridge/comfreystorecache"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

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
