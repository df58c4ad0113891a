package comfreyforward

import (
	"slices"
	"time"

	"comfreyridge.example/comfreyridge/comfreycell"
	"comfreyridge.example/comfreyridge/comfreygossip"
	"comfreyridge.example/comfreyridge/comfreyoccupancy"
	"comfreyridge.example/comfreyridge/comfreyplacement"
	"comfreyridge.example/comfreyridge/comfreyreplica"
	"comfreyridge.example/comfreyridge/comfreystorecache"
)

// StoreVersion returns the version up to which the store cache is complete.
func (g *Gateway) StoreVersion() comfreystorecache.Version {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.storeCache.Version()
}

// StoreChangesSince returns the items that another gateway's store cache lacks;
// see comfreystorecache.Cache.
func (g *Gateway) StoreChangesSince(v comfreystorecache.Version) comfreystorecache.Changes {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.storeCache.Since(v)
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
	g.mergeItems(m.Gateway, func() []comfreystorecache.Item { return g.storeCache.Merge(m.After, m.Changes) })
	if m.HasStoreAge {
		g.ObserveStoreAge(m.Version, m.StoreAge)
	}
}

// MergeStorePartial merges some of the changes up to a version from a source, and
// reports whether one was new.
func (g *Gateway) MergeStorePartial(source string, v comfreystorecache.Version, changes []comfreystorecache.Item) bool {
	isNew := false
	g.mergeItems(source, func() []comfreystorecache.Item {
		l := g.storeCache.MergePartial(v, changes)
		isNew = len(l) > 0
		return l
	})
	return isNew
}

// ObserveStoreAge applies the store age of another gateway, whose store cache
// is complete up to a version. It counts for this gateway too if its own cache
// is of the same era and complete up to that version.
func (g *Gateway) ObserveStoreAge(v comfreystorecache.Version, age time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	at := g.config.Now().Add(-age)
	own := g.storeCache.Version()
	if v.Era != own.Era || v.Revision > own.Revision || !at.After(g.storeCurrentAt) {
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
	leaving, announced := g.recentlyLeaving()
	return comfreygossip.Placements{
		Generations: g.estimator.Generations(), Leaving: leaving, Announced: announced,
		Paces:   g.latestPaces(),
		Waiting: g.ownWaiting(), Refused: g.returns.Recent(g.config.Now()),
		RateLimits: g.replicas.RateLimits(), PermitHolders: g.division.HolderNames(g.config.Now(), g.replicas.LimitedServices(), g.permitView),
	}
}

// recentlyLeaving returns the replicas that became leaving within
// leavingGossipTime; apart from the others, those that announced it to this
// gateway only. The mutex must be held.
func (g *Gateway) recentlyLeaving() (leaving, announced []comfreyreplica.Start) {
	now := g.config.Now()
	for _, r := range g.replicas.All() {
		switch {
		case !r.IsKnownToLeave() || now.Sub(r.Since) >= leavingGossipTime:
		case r.IsAnnounced:
			announced = append(announced, r.Start())
		default:
			leaving = append(leaving, r.Start())
		}
	}
	return leaving, announced
}

// leavingGossipTime is how long gossip messages list a replica as leaving.
const leavingGossipTime = 3 * time.Second

// ApplyPlacements applies the placements of another gateway.
func (g *Gateway) ApplyPlacements(gateway string, s comfreygossip.Placements) {
	g.mu.Lock()
	now := g.config.Now()
	g.estimator.SetPeer(now, gateway, s.Generations)
	changes := g.markLeaving(now, s.Leaving)
	for _, k := range s.Announced {
		g.replicas.Hint(now, k)
	}
	g.mergePaces(s.Paces)
	g.returns.Merge(s.Refused)
	if len(s.Waiting) > 0 {
		g.peerQueues[gateway] = peerQueue{s.Waiting, now}
	} else {
		delete(g.peerQueues, gateway)
	}
	limits := g.mergeRateLimits(s.RateLimits)
	isNewName := g.division.SetHolderNames(now, gateway, s.PermitHolders)
	g.mu.Unlock()
	for _, l := range limits {
		g.recordRateLimit(l, gateway)
	}
	if len(limits) > 0 || isNewName {
		g.config.TriggerGossip()
	}
	g.handleReplicaChanges(changes)
	g.announceLeaving(changes)
	g.capacityChanges.notify()
}

// markLeaving marks replicas as leaving. The mutex must be held.
func (g *Gateway) markLeaving(now time.Time, replicas []comfreyreplica.Start) []comfreyreplica.Change {
	var changes []comfreyreplica.Change
	for _, k := range replicas {
		changes = append(changes, g.replicas.MarkStartLeaving(now, k)...)
	}
	return changes
}

// KnownLeaving returns the replicas that leave, for a gateway that starts.
func (g *Gateway) KnownLeaving() []comfreyreplica.Start {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.replicas.LeavingStarts()
}

// MergeLeaving merges replicas that leave by the word of another gateway.
func (g *Gateway) MergeLeaving(starts []comfreyreplica.Start) {
	g.mu.Lock()
	changes := g.replicas.MergeLeaving(g.config.Now(), starts)
	g.mu.Unlock()
	g.handleReplicaChanges(changes)
}

// announceLeaving sends the leaving replicas among changes to the other gateways
// soon. It is needed only for changes that did not come from the store.
func (g *Gateway) announceLeaving(changes []comfreyreplica.Change) {
	for _, c := range changes {
		if c.Replica.State == comfreyreplica.StateLeaving {
			g.config.TriggerGossip()
			g.config.CellChanged()
			return
		}
	}
}

// CellState returns the state of this gateway's cell for another cell: the loads
// of the replicas that have most free capacity among those that the other cell may
// use, and the generations that run at replicas of the other cell.
func (g *Gateway) CellState(receiver comfreycell.ID) comfreygossip.CellState {
	g.mu.Lock()
	defer g.mu.Unlock()
	layout := g.config.Layout()
	leaving, _ := g.recentlyLeaving()
	s := comfreygossip.CellState{Loads: map[string]comfreyoccupancy.Load{}, Leaving: leaving}
	offered := slices.DeleteFunc(g.homeCandidates(layout), func(c comfreyplacement.Candidate) bool {
		guest, ok := layout.Guest(c.ID)
		return !ok || guest != receiver
	})
	for _, c := range comfreyplacement.LeastLoaded(offered, maxSummarizedLoads) {
		s.Loads[c.ID] = c.Load
	}
	for _, n := range g.estimator.CellGenerations() {
		if r, ok := g.replicas.Get(n.Replica); ok && layout.Home(r.ID, r.DataCentre) == receiver {
			s.Generations = append(s.Generations, n)
		}
	}
	return s
}

// maxSummarizedLoads bounds the replicas whose loads are sent to other cells. The
// other cells use them only while their own replicas are fuller.
const maxSummarizedLoads = 8

// homeCandidates returns the engines of this gateway's cell that accept new work
// and are no longer new. The mutex must be held.
func (g *Gateway) homeCandidates(layout comfreycell.Layout) []comfreyplacement.Candidate {
	t := g.table.Load()
	if t == nil {
		return nil
	}
	now := g.config.Now()
	load := g.estimator.Loads(now)
	var l []comfreyplacement.Candidate
	for _, r := range g.replicas.All() {
		s, ok := t.Service(r.Service)
		if ok && s.HasEngine && g.replicas.Accepts(r) && now.Sub(r.Since) >= comfreyplacement.NewReplicaPeriod && layout.IsHome(r.ID, r.DataCentre) {
			l = append(l, g.candidate(now, s, r, load))
		}
	}
	return l
}

// ApplyCellState applies the state of another cell.
func (g *Gateway) ApplyCellState(cell comfreycell.ID, s comfreygossip.CellState) {
	g.mu.Lock()
	now := g.config.Now()
	g.estimator.SetCell(now, string(cell), comfreyoccupancy.Cell{Loads: s.Loads, Generations: s.Generations})
	changes := g.markLeaving(now, s.Leaving)
	g.mu.Unlock()
	g.handleReplicaChanges(changes)
	g.capacityChanges.notify()
}
