package comfreyforward

import (
	"context"
	"errors"
	"fmt"
	"time"

	"comfreyridge.example/comfreyridge/comfreyconnection"
	"comfreyridge.example/comfreyridge/comfreydecision"
	"comfreyridge.example/comfreyridge/comfreygroup"
	"comfreyridge.example/comfreyridge/comfreyreplica"
	"comfreyridge.example/comfreyridge/comfreystorecache"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

const (
	// watchWait is how long one watch call waits for a change. Gateways that do
	// not watch treat their store cache as stale if it was not confirmed for
	// longer.
	watchWait = 700 * time.Millisecond
	// watchMargin is how much longer than requested the response to a watch call
	// may take to begin; it usually takes 4 ms, and 60 times that when the store is
	// slow.
	watchMargin = 800 * time.Millisecond
	// pageTimeout is how long a page of a listing may take to begin.
	pageTimeout = 3 * time.Second
	// storeSilence is how long a response of the store may pause.
	storeSilence = 800 * time.Millisecond
	// watchPause is the delay between two watch calls, which batches changes: a
	// burst with a change every 60 ms does not cost a call for each.
	watchPause = 50 * time.Millisecond
	// watchCheckInterval is how often a gateway that does not watch checks
	// whether it has to.
	watchCheckInterval = 100 * time.Millisecond
	// storeOutageThreshold is how long the store must have been unreachable
	// before missing registrations are kept; they lapse after three heartbeats
	// of 1.2 s.
	storeOutageThreshold = 2 * time.Second
)

// storeSync is the state of a gateway's calls to the store.
type storeSync struct {
	// isListed means that the store cache is complete up to its version.
	isListed bool
	backlog  comfreystorecache.Backlog
	// stopBeside ends the watch of registrations beside slow transfers; nil if there is
	// none.
	stopBeside context.CancelFunc
}

// syncStore keeps the store cache current until ctx ends.
func (g *Gateway) syncStore(ctx context.Context) error {
	s := &storeSync{}
	failed := 0
	isUnreachable := false
	wasWatching := false
	for ctx.Err() == nil {
		l := g.config.Layout()
		position := comfreystorecache.Position{InFleet: l.FleetRank(), InCell: l.Rank()}
		age, isSynced := g.StoreAge()
		// A gateway that is behind goes on until it is current, if the store serves it.
		isWatching := s.backlog.IsBehind() && failed == 0 || comfreystorecache.ShouldWatch(position, age, isSynced)
		if isWatching != wasWatching {
			wasWatching = isWatching
			g.record("", comfreydecision.KindUpstream, comfreyverdict.ReasonAccepted, map[string]any{
				"dependency": "store", "watching": isWatching, "age-ms": age.Milliseconds(), "in-fleet": position.InFleet, "in-cell": position.InCell, "cell": string(l.Own()), "gateways": l.FleetSize(),
			})
		}
		if !isWatching {
			// Peers keep the cache complete, so that a later watch needs no
			// listing.
			s.isListed = true
			comfreygroup.Sleep(ctx, watchCheckInterval)
			continue
		}
		err := g.syncStoreOnce(ctx, s)
		switch {
		case ctx.Err() != nil:
		case err == nil:
			if isUnreachable {
				g.record("", comfreydecision.KindUpstream, comfreyverdict.ReasonAccepted, map[string]any{"dependency": "store", "state": "regained"})
			}
			s.isListed, isUnreachable, failed = true, false, 0
			comfreygroup.Sleep(ctx, watchPause)
		default:
			if errors.Is(err, comfreystorecache.ErrCompacted) {
				s.isListed = false
			}
			if !isUnreachable {
				isUnreachable = true
				g.record("", comfreydecision.KindUpstream, reasonOf(err, comfreyverdict.ReasonConnectionLost), map[string]any{"dependency": "store", "state": "lost", "error": err.Error()})
			}
			g.markStoreUnreachable()
			failed++
			comfreygroup.Sleep(ctx, time.Duration(float64(comfreystorecache.RetryDelay(position, failed))*(0.5+g.config.Rand())))
		}
	}
	return nil
}

// syncStoreOnce lists the store, waits for one change if it was listed before, or
// catches up with it.
func (g *Gateway) syncStoreOnce(ctx context.Context, s *storeSync) error {
	var err error
	switch {
	case !s.isListed:
		err = g.listStore(ctx, s)
	case s.backlog.IsBehind() || g.isStoreCacheStale():
		err = g.catchUpWithStore(ctx, s)
	default:
		err = g.watchStore(ctx, s)
	}
	if s.stopBeside != nil && (err != nil || !s.backlog.IsBehind()) {
		s.stopBeside()
		s.stopBeside = nil
	}
	return err
}

// isStoreCacheStale reports whether the store cache was not confirmed for longer than a
// watch waits. Its first call then returns at once, which confirms the cache for the other
// gateways too.
func (g *Gateway) isStoreCacheStale() bool {
	age, ok := g.StoreAge()
	return ok && age > watchWait
}

// watchStore waits for one change of the store.
func (g *Gateway) watchStore(ctx context.Context, s *storeSync) error {
	after := g.StoreVersion()
	t := comfreystorecache.Transfer{Requested: g.config.Now()}
	onBody := func() bool {
		g.beginTransfer(ctx, s, &t)
		return s.backlog.AcceptsLarge(t)
	}
	version, items, err := g.config.Store.Watch(ctx, comfreystorecache.WatchRequest{After: after, Wait: watchWait, OnBody: onBody}, comfreyconnection.Timeouts{Header: watchWait + watchMargin, Silence: storeSilence})
	t.Ended, t.IsFailed = g.config.Now(), err != nil
	s.backlog.ObserveWatch(t)
	if errors.Is(err, comfreystorecache.ErrTooManyChanges) {
		return nil
	}
	if err == nil {
		err = g.checkSameEra(after, version)
	}
	if err != nil {
		return err
	}
	g.mergeStoreChanges(after, version, items)
	g.config.ShareStoreChanges(after, version, items)
	return nil
}

// mergeStoreChanges merges all changes from one version to another, which the store has
// returned.
func (g *Gateway) mergeStoreChanges(after, version comfreystorecache.Version, items []comfreystorecache.Item) {
	g.markStoreReachable()
	g.mergeItems("store", func() []comfreystorecache.Item {
		changes, _ := g.storeCache.Apply(after, version, items)
		return changes
	})
}

// listStore merges a listing of all keys of the store into the store cache.
func (g *Gateway) listStore(ctx context.Context, s *storeSync) error {
	var l comfreystorecache.Listing
	var slowest time.Duration
	for !l.IsComplete() {
		started := g.config.Now()
		p, err := g.config.Store.ListPage(ctx, l.Next(), comfreyconnection.Timeouts{Header: pageTimeout, Silence: storeSilence})
		slowest = max(slowest, g.config.Now().Sub(started))
		if err != nil {
			d, ok := l.RetryDelay()
			if !ok || !comfreygroup.Sleep(ctx, time.Duration(float64(d)*(0.5+g.config.Rand()))) {
				return err
			}
			continue
		}
		if err := l.Add(p); err != nil {
			return err
		}
	}
	version, items := l.Items()
	if err := g.checkEra(version); err != nil {
		return err
	}
	s.backlog.ObserveListing(g.config.Now(), slowest)
	g.markStoreReachable()
	g.mergeItems("store", func() []comfreystorecache.Item { return g.storeCache.Replace(version, items) })
	g.config.ShareStoreChanges(version, version, nil)
	return nil
}

// checkSameEra returns an error if a response of the store to a request for the changes
// after a version is of another era.
func (g *Gateway) checkSameEra(after, version comfreystorecache.Version) error {
	if err := g.checkEra(version); err != nil {
		return err
	}
	if version.Era != after.Era {
		return fmt.Errorf("comfreyforward: the store was restored, its version is %v after %v: %w", version, after, comfreystorecache.ErrCompacted)
	}
	return nil
}

// checkEra returns an error if a response of the store is of an older era than
// the store cache, to which another gateway may have added a newer one meanwhile.
func (g *Gateway) checkEra(v comfreystorecache.Version) error {
	if known := g.StoreVersion(); v.Era < known.Era {
		return fmt.Errorf("comfreyforward: store: expected era %d, got a response of era %d", known.Era, v.Era)
	}
	return nil
}

// markStoreReachable records that the store responded.
func (g *Gateway) markStoreReachable() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Now()
	g.storeCurrentAt, g.storeReachedAt = now, now
	g.replicas.PlatformReachable(now)
}

// markStoreUnreachable records that the store did not respond. A short outage
// has no effect.
func (g *Gateway) markStoreUnreachable() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.wasStoreUnreachable(g.config.Now()) {
		g.replicas.PlatformUnreachable()
	}
}

// wasStoreUnreachable reports whether no gateway that this one knows of has reached the
// store for some time. The mutex must be held.
func (g *Gateway) wasStoreUnreachable(now time.Time) bool {
	return !g.storeCurrentAt.IsZero() && now.Sub(g.storeCurrentAt) >= storeOutageThreshold
}

// mergeItems merges items from a source into the store cache through f, which
// returns those that were new, and applies them.
func (g *Gateway) mergeItems(source string, f func() []comfreystorecache.Item) {
	g.mu.Lock()
	var changes []comfreyreplica.Change
	now := g.config.Now()
	wasUnreachable := g.wasStoreUnreachable(now)
	old := g.storeCache.Version()
	items := f()
	if wasUnreachable && len(items) > 0 {
		// Registrations that lapsed meanwhile can be renewed, also if this gateway did
		// not call the store itself.
		g.replicas.PlatformUnreachable()
		g.replicas.PlatformReachable(now)
	}
	version := g.storeCache.Version()
	isRestored := version.Era > old.Era && old.Revision > 0
	if isRestored {
		g.replicas.PlatformRestored(now)
		g.record("", comfreydecision.KindUpstream, comfreyverdict.ReasonAccepted, map[string]any{
			"dependency": "store", "state": "restored", "source": source, "era": version.Era, "revision": version.Revision,
			"from-era": old.Era, "from-revision": old.Revision, "changes": len(items),
		})
	}
	var toEmpty []string
	for _, x := range items {
		if d, ok := g.config.Store.EvacuatedDataCentre(x.Key); ok {
			if g.applyEvacuation(now, source, d, x, isRestored) {
				toEmpty = append(toEmpty, d)
			}
			continue
		}
		switch {
		case g.config.Store.IsConfigurationKey(x.Key):
			g.applyConfiguration(source, x)
		case g.config.Store.IsRegistrationKey(x.Key):
			changes = append(changes, g.applyRegistration(now, x, isRestored)...)
		}
	}
	g.mu.Unlock()
	g.handleReplicaChanges(changes)
	for _, d := range toEmpty {
		g.emptyDataCentre(d)
	}
}

// applyConfiguration activates a configuration from a source if it is newer than
// the active one. The mutex must be held.
func (g *Gateway) applyConfiguration(source string, x comfreystorecache.Item) {
	if x.IsDeleted {
		return // Operators do not delete the configuration; the active one stays.
	}
	t, err := g.config.Store.DecodeConfiguration(x.Value)
	if err != nil {
		g.record("", comfreydecision.KindRevision, comfreyverdict.ReasonConfigInvalid, map[string]any{"revision": x.Revision, "error": err.Error()})
		return
	}
	old := g.table.Load()
	if old != nil && old.Version() >= t.Version() {
		g.record("", comfreydecision.KindRevision, comfreyverdict.ReasonConfigStale, map[string]any{"version": t.Version(), "in-force": old.Version(), "revision": x.Revision})
		return
	}
	f := map[string]any{"version": t.Version(), "revision": x.Revision, "source": source, "size-bytes": len(x.Value)}
	n := t.Size()
	f["routes"], f["services"], f["keys"] = n.Routes, n.Services, n.Keys
	if old != nil {
		o := old.Size()
		f["from-version"], f["more-routes"], f["more-keys"] = old.Version(), n.Routes-o.Routes, n.Keys-o.Keys
	}
	g.table.Store(t)
	g.applyWarmUps(t)
	g.record("", comfreydecision.KindRevision, comfreyverdict.ReasonConfigTaken, f)
}

// applyRegistration applies a change of a replica's registration, which may be
// that of an older copy from which the store was restored. One that cannot be
// decoded counts as removed. The mutex must be held.
func (g *Gateway) applyRegistration(now time.Time, x comfreystorecache.Item, isRestored bool) []comfreyreplica.Change {
	id := g.config.Store.ReplicaIDFromKey(x.Key)
	if x.IsDeleted {
		return g.replicas.Remove(now, id)
	}
	l, err := g.config.Store.DecodeRegistration(x.Key, x.Value)
	if err != nil {
		g.record("", comfreydecision.KindUpstream, comfreyverdict.ReasonConfigInvalid, map[string]any{"replica": id, "revision": x.Revision, "error": err.Error()})
		return g.replicas.Remove(now, id)
	}
	if isRestored {
		return g.replicas.UpdateRestored(now, l)
	}
	changes := g.replicas.Update(now, l)
	// Entries of other writers may name services that do not exist.
	if t := g.table.Load(); t != nil {
		if _, ok := t.Service(l.Service); ok {
			changes = append(changes, g.replicas.TakeAddress(now, id)...)
		}
	}
	return changes
}
