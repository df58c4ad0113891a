package comfreyforward

import (
	"time"

	"comfreyridge.example/comfreyridge/comfreygossip"
	"comfreyridge.example/comfreyridge/comfreyreplica"
	"comfreyridge.example/comfreyridge/comfreystorecache"
)

// StoreRevision returns the revision up to which the copy of the store is complete.
func (g *Gateway) StoreRevision() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.mirror.Revision()
}

// StoreChangesSince returns what another copy of the store lacks; see comfreystorecache.Mirror.
func (g *Gateway) StoreChangesSince(revision uint64) ([]comfreystorecache.Item, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.mirror.Since(revision)
}

// StoreAge returns how long ago the copy of the store was known to be up to
// date.
func (g *Gateway) StoreAge() (time.Duration, bool) {
	return g.age(&g.contact)
}

// DirectStoreAge returns how long ago the store answered this gateway itself. Only
// this is told to others: an age that is passed on from gateway to gateway
// loses the time on the way, and a fleet would hold a lost store for present.
func (g *Gateway) DirectStoreAge() (time.Duration, bool) {
	return g.age(&g.ownContact)
}

// age returns how long ago a time was that the mutex guards; false if it never
// was.
func (g *Gateway) age(t *time.Time) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.IsZero() {
		return 0, false
	}
	return g.config.Now().Sub(*t), true
}

// MergeStore takes what another gateway's copy of the store holds.
func (g *Gateway) MergeStore(m comfreygossip.StoreUpdate) {
	g.mergeItems(func() []comfreystorecache.Item {
		if m.IsSnapshot {
			return g.mirror.Replace(m.Revision, m.Items)
		}
		return g.mirror.Apply(m.Revision, m.Items)
	})
	if m.HasStoreAge {
		g.ObserveStoreAge(m.Revision, m.StoreAge)
	}
}

// ObserveStoreAge takes how long ago another gateway's copy was known to be up to date.
// It counts for this copy too if this one is as far.
func (g *Gateway) ObserveStoreAge(complete uint64, age time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	at := g.config.Now().Add(-age)
	if complete > g.mirror.Revision() || !at.After(g.contact) {
		return
	}
	g.contact = at
	if age < outageTime {
		g.replicas.PlatformReachable(at)
	}
}

// Placements returns where this gateway's requests run.
func (g *Gateway) Placements() comfreygossip.Placements {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := comfreygossip.Placements{Generations: g.board.Generations()}
	now := g.config.Now()
	for _, r := range g.replicas.All() {
		if r.State == comfreyreplica.StateLeaving && now.Sub(r.Since) < leavingNews {
			s.Leaving = append(s.Leaving, r.ID)
		}
	}
	return s
}

// leavingNews is how long other gateways are told that a replica leaves.
const leavingNews = 3 * time.Second

// ApplyPlacements takes where another gateway's requests run.
func (g *Gateway) ApplyPlacements(gateway string, s comfreygossip.Placements) {
	g.mu.Lock()
	now := g.config.Now()
	g.board.SetPeer(now, gateway, s.Generations)
	var changes []comfreyreplica.Change
	for _, id := range s.Leaving {
		changes = append(changes, g.replicas.MarkLeaving(now, id, 0)...)
	}
	g.mu.Unlock()
	g.noteChanges(changes)
	g.waiting.wake()
}
