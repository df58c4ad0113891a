package comfreyforward

import (
	"context"
	"errors"
	"fmt"
	"time"

	"comfreyridge.example/comfreyridge/comfreyconnection"
	"comfreyridge.example/comfreyridge/comfreydecision"
	"comfreyridge.example/comfreyridge/comfreygroup"
	"comfreyridge.example/comfreyridge/comfreystorecache"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

const (
	// presentWait is how long a call waits that asks for changes up to the present.
	presentWait = time.Millisecond
	// besideDelay is how long the body of a response may take before the gateway reads
	// registrations beside it.
	besideDelay = 400 * time.Millisecond
	// besideWait is how long a watch beside a slow transfer waits for a change. The
	// transfer usually ends before.
	besideWait = 5 * time.Second
)

// catchUpWithStore brings the store cache to the present state of the store without the
// configurations in between, which may come faster than they can be transferred. Small
// changes are read first.
func (g *Gateway) catchUpWithStore(ctx context.Context, s *storeSync) error {
	after := g.StoreVersion()
	version, changes, err := g.readSmallChanges(ctx, g.config.Store.RegistrationPrefix, after)
	if err != nil {
		return err
	}
	if !comfreystorecache.HasGap(after.Revision, version.Revision, changes) {
		s.backlog.ObservePresent(g.config.Now())
		g.mergeStoreChanges(after, version, changes)
		g.config.ShareStoreChanges(after, version, changes)
		return nil
	}
	g.mergeAndSharePartial(version, changes)
	v, evacuations, err := g.readSmallChanges(ctx, g.config.Store.EvacuationPrefix, after)
	if err != nil {
		return err
	}
	g.mergeAndSharePartial(v, evacuations)
	changes = append(changes, evacuations...)
	version.Revision = min(version.Revision, v.Revision)
	if s.backlog.NeedsConfiguration(after, version, changes) {
		l, err := g.readConfiguration(ctx, s, version)
		if err != nil {
			return err
		}
		changes = append(changes, l...)
	} else {
		s.backlog.ObservePresent(g.config.Now())
	}
	g.mergeStoreChanges(after, version, changes)
	// Others may lack a configuration that was read before, so that the changes do not
	// complete their store caches.
	g.config.ShareStoreChanges(version, version, nil)
	return nil
}

// readSmallChanges returns the changes of keys with a prefix after a version and up to
// the present one.
func (g *Gateway) readSmallChanges(ctx context.Context, prefix string, after comfreystorecache.Version) (comfreystorecache.Version, []comfreystorecache.Item, error) {
	r := comfreystorecache.WatchRequest{Prefix: prefix, After: after, Wait: presentWait}
	version, items, err := g.config.Store.Watch(ctx, r, comfreyconnection.Timeouts{Header: watchMargin, Silence: storeSilence})
	if errors.Is(err, comfreystorecache.ErrTooManyChanges) {
		err = fmt.Errorf("%w: %w", comfreystorecache.ErrCompacted, err)
	}
	if err == nil {
		err = g.checkSameEra(after, version)
	}
	return version, items, err
}

// readConfiguration returns the item of the newest configuration. The version is that
// up to which small changes were read before.
func (g *Gateway) readConfiguration(ctx context.Context, s *storeSync, version comfreystorecache.Version) ([]comfreystorecache.Item, error) {
	t := comfreystorecache.Transfer{Requested: g.config.Now()}
	g.beginTransfer(ctx, s, &t)
	v, items, err := g.config.Store.ReadConfiguration(ctx, comfreyconnection.Timeouts{Header: pageTimeout, Silence: storeSilence})
	if err == nil {
		err = g.checkSameEra(version, v)
	}
	t.Ended, t.IsFailed = g.config.Now(), err != nil
	s.backlog.ObserveConfiguration(v, items, t)
	if err != nil {
		return nil, err
	}
	size := 0
	for _, x := range items {
		size += len(x.Value)
	}
	g.record("", comfreydecision.KindUpstream, comfreyverdict.ReasonAccepted, map[string]any{
		"dependency": "store", "state": "catching-up", "changes-up-to": version.Revision, "configuration-up-to": v.Revision, "size-bytes": size, "took-ms": t.Duration().Milliseconds(),
	})
	return items, nil
}

// mergeAndSharePartial merges some of the changes up to a version, which the store has
// returned, and shares them if one was new.
func (g *Gateway) mergeAndSharePartial(version comfreystorecache.Version, changes []comfreystorecache.Item) {
	if g.MergeStorePartial("store", version, changes) {
		v := g.StoreVersion()
		g.config.ShareStoreChanges(v, v, changes)
	}
}

// beginTransfer records that a response of the store begins to arrive. While it is slow,
// and until the gateway is no longer behind, changes of registrations are read beside it.
func (g *Gateway) beginTransfer(ctx context.Context, s *storeSync, t *comfreystorecache.Transfer) {
	t.Begun = g.config.Now()
	if s.stopBeside != nil {
		return
	}
	ctx, s.stopBeside = context.WithCancel(ctx)
	g.config.Group.Go("watch beside", func(context.Context) error {
		g.watchBeside(ctx)
		return nil
	})
}

// watchBeside merges and shares changes of registrations until ctx ends or a call fails,
// from besideDelay after its start on.
func (g *Gateway) watchBeside(ctx context.Context) {
	after := g.StoreVersion()
	for pause := besideDelay; comfreygroup.Sleep(ctx, pause); pause = watchPause {
		r := comfreystorecache.WatchRequest{Prefix: g.config.Store.RegistrationPrefix, After: after, Wait: besideWait}
		version, items, err := g.config.Store.Watch(ctx, r, comfreyconnection.Timeouts{Header: besideWait + watchMargin, Silence: storeSilence})
		if err != nil || version.Era != after.Era {
			return // The calls after the transfer return the same changes.
		}
		g.mergeAndSharePartial(version, items)
		after = version
	}
}
