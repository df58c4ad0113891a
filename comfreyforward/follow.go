package comfreyforward

import (
	"context"
	"errors"
	"time"

	"comfreyridge.example/comfreyridge/comfreydecision"
	"comfreyridge.example/comfreyridge/comfreygroup"
	"comfreyridge.example/comfreyridge/comfreyreplica"
	"comfreyridge.example/comfreyridge/comfreystorecache"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

const (
	// watchTime is how long one watch waits. The gateways that do not watch take
	// a copy for old that was not confirmed for longer.
	watchTime = 700 * time.Millisecond
	// watchSlack is how much later than asked a watch may answer; answers take
	// 4 ms, and 60 times that when the store is slow.
	watchSlack = 800 * time.Millisecond
	// listTimeout bounds a listing.
	listTimeout = 3 * time.Second
	// followPause lets changes gather, so that a storm of one change each 60 ms
	// does not cost a call for each.
	followPause = 50 * time.Millisecond
	// dutyInterval is how often a gateway that does not watch looks whether it
	// has to.
	dutyInterval = 100 * time.Millisecond
	// minFollowRetry and maxFollowRetry bound the pause after a failed call.
	minFollowRetry = 50 * time.Millisecond
	maxFollowRetry = 600 * time.Millisecond
	// outageTime is how long the store must have been unreadable before missing
	// entries are kept: they lapse after three heartbeats of 1.2 s.
	outageTime = 2 * time.Second
)

// followStore keeps the copy of the store up to date.
func (g *Gateway) followStore(ctx context.Context) error {
	isListed := false
	retry := minFollowRetry
	isLost := false
	for ctx.Err() == nil {
		if age, ok := g.StoreAge(); !comfreystorecache.ShouldWatch(g.config.Address, g.config.Peers(), age, ok) {
			isListed = true
			comfreygroup.Sleep(ctx, dutyInterval)
			continue
		}
		err := g.followOnce(ctx, isListed)
		switch {
		case ctx.Err() != nil:
		case err == nil:
			if isLost {
				g.record("", comfreydecision.KindUpstream, comfreyverdict.ReasonAccepted, map[string]any{"dependency": "store", "state": "regained"})
			}
			isListed, isLost, retry = true, false, minFollowRetry
			comfreygroup.Sleep(ctx, followPause)
		default:
			if errors.Is(err, comfreystorecache.ErrCompacted) {
				isListed = false
			}
			if !isLost {
				isLost = true
				g.record("", comfreydecision.KindUpstream, comfreyverdict.ReasonConnectionLost, map[string]any{"dependency": "store", "state": "lost", "error": err.Error()})
			}
			g.noteOutage()
			comfreygroup.Sleep(ctx, time.Duration(float64(retry)*(0.5+g.config.Rand())))
			retry = min(2*retry, maxFollowRetry)
		}
	}
	return nil
}

// followOnce lists the store or waits for a change.
func (g *Gateway) followOnce(ctx context.Context, isListed bool) error {
	if !isListed {
		ctx, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		revision, items, err := g.config.Store.List(ctx)
		if err != nil {
			return err
		}
		g.noteContact()
		g.mergeItems(func() []comfreystorecache.Item { return g.mirror.Replace(revision, items) })
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, watchTime+watchSlack)
	defer cancel()
	g.mu.Lock()
	after := g.mirror.Revision()
	g.mu.Unlock()
	revision, items, err := g.config.Store.Watch(ctx, after, watchTime)
	if err != nil {
		return err
	}
	g.noteContact()
	g.mergeItems(func() []comfreystorecache.Item { return g.mirror.Apply(revision, items) })
	return nil
}

// noteContact notes that the store answered.
func (g *Gateway) noteContact() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Now()
	g.contact, g.ownContact = now, now
	g.replicas.PlatformReachable(now)
}

// noteOutage notes that the store did not answer.
func (g *Gateway) noteOutage() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.contact.IsZero() && g.config.Now().Sub(g.contact) >= outageTime {
		g.replicas.PlatformUnreachable()
	}
}

// mergeItems merges changes into the copy and acts on those that were new.
func (g *Gateway) mergeItems(f func() []comfreystorecache.Item) {
	g.mu.Lock()
	var changes []comfreyreplica.Change
	now := g.config.Now()
	hasNews := false
	for _, x := range f() {
		hasNews = true
		switch {
		case g.config.Store.IsConfigurationKey(x.Key):
			g.takeConfiguration(x)
		case g.config.Store.IsRegistrationKey(x.Key):
			changes = append(changes, g.takeListing(now, x)...)
		}
	}
	g.mu.Unlock()
	g.noteChanges(changes)
	if hasNews {
		g.config.Announce()
	}
}

// takeConfiguration puts a newer configuration into force. The mutex must be
// held.
func (g *Gateway) takeConfiguration(x comfreystorecache.Item) {
	if x.IsDeleted {
		return // The operator does not delete it; the one in force stays.
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
	f := map[string]any{"version": t.Version(), "revision": x.Revision}
	n := t.Size()
	f["routes"], f["services"], f["keys"] = n.Routes, n.Services, n.Keys
	if old != nil {
		o := old.Size()
		f["from-version"], f["more-routes"], f["more-keys"] = old.Version(), n.Routes-o.Routes, n.Keys-o.Keys
	}
	g.table.Store(t)
	g.record("", comfreydecision.KindRevision, comfreyverdict.ReasonConfigTaken, f)
}

// takeListing takes a changed entry of a replica. The mutex must be held.
func (g *Gateway) takeListing(now time.Time, x comfreystorecache.Item) []comfreyreplica.Change {
	id := g.config.Store.ReplicaIDFromKey(x.Key)
	if x.IsDeleted {
		return g.replicas.Remove(now, id)
	}
	l, err := g.config.Store.DecodeRegistration(x.Key, x.Value)
	if err != nil {
		g.record("", comfreydecision.KindUpstream, comfreyverdict.ReasonConfigInvalid, map[string]any{"replica": id, "revision": x.Revision, "error": err.Error()})
		return g.replicas.Remove(now, id)
	}
	return g.replicas.Update(now, l)
}
