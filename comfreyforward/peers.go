package comfreyforward

import (
	"time"

	"comfreyridge.example/comfreyridge/comfreygossip"
	"comfreyridge.example/comfreyridge/comfreyreplica"
	"comfreyridge.example/comfreyridge/comfreystorecache"
)

// StoreRevision returns the revision up to which the store cache is complete.
func (g *Gateway) StoreRevision() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.storeCache.Revision()
}

// StoreChangesSince returns the items that another gateway's store cache lacks;
// see comfreystorecache.Cache.
func (g *Gateway) StoreChangesSince(revision uint64) ([]comfreystorecache.Item, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.storeCache.Since(revision)
}

// StoreAge returns the time since the store cache was last known to be current.
// It reports false if it never was.
func (g *Gateway) StoreAge() (time.Duration, bool) {
	return g.age(&g.storeCurrentAt)
}

// DirectStoreAge returns the time since the store last responded to this
// gateway itself. It reports false if it never did. Only this age is sent to
// other gateways: an age that is passed on from gateway to gateway does not
// include the time on the way, so that a fleet would not detect that the store
// is unreachable.
func (g *Gateway) DirectStoreAge() (time.Duration, bool) {
	return g.age(&g.storeReachedAt)
}

// age returns how long ago a time was that the mutex guards. It reports false
// if the time is zero.
func (g *Gateway) age(t *time.Time) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.IsZero() {
		return 0, false
	}
	return g.config.Now().Sub(*t), true
}

// MergeStore merges the items of another gateway's store cache.
func (g *Gateway) MergeStore(m comfreygossip.StoreUpdate) {
	g.mergeItems(func() []comfreystorecache.Item {
		if m.IsSnapshot {
			return g.storeCache.Replace(m.Revision, m.Items)
		}
		return g.storeCache.Apply(m.Revision, m.Items)
	})
	if m.HasStoreAge {
		g.ObserveStoreAge(m.Revision, m.StoreAge)
	}
}

// ObserveStoreAge applies the store age of another gateway, whose store cache
// is complete up to a revision. It counts for this gateway too if its own cache
// is complete up to that revision.
func (g *Gateway) ObserveStoreAge(revision uint64, age time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	at := g.config.Now().Add(-age)
	if revision > g.storeCache.Revision() || !at.After(g.storeCurrentAt) {
		return
	}
	g.storeCurrentAt = at
	if age < storeOutageThreshold {
		g.replicas.PlatformReachable(at)
	}
}

// Placements returns the generations of this gateway and their replicas.
func (g *Gateway) Placements() comfreygossip.Placements {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := comfreygossip.Placements{Generations: g.estimator.Generations()}
	now := g.config.Now()
	for _, r := range g.replicas.All() {
		if r.State == comfreyreplica.StateLeaving && now.Sub(r.Since) < leavingGossipTime {
			s.Leaving = append(s.Leaving, r.ID)
		}
	}
	return s
}

// leavingGossipTime is how long gossip messages list a replica as leaving.
const leavingGossipTime = 3 * time.Second

// ApplyPlacements applies the placements of another gateway.
func (g *Gateway) ApplyPlacements(gateway string, s comfreygossip.Placements) {
	g.mu.Lock()
	now := g.config.Now()
	g.estimator.SetPeer(now, gateway, s.Generations)
	var changes []comfreyreplica.Change
	for _, id := range s.Leaving {
		changes = append(changes, g.replicas.MarkLeaving(now, id, 0)...)
	}
	g.mu.Unlock()
	g.handleReplicaChanges(changes)
	g.capacityChanges.notify()
}
