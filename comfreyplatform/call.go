package comfreyplatform

import (
	"context"
	"time"

	"comfreyridge.example/comfreyridge/comfreyconfig"
)

// call makes the call that an action requests and passes the response to the
// node.
func (a *Agent) call(ctx context.Context, x comfreyconfig.Action) {
	switch x.Kind {
	case comfreyconfig.ActionReadManifest:
		a.handlePlatformResponse(a.config.Client.ReadManifest(ctx))
	case comfreyconfig.ActionWatchManifest:
		a.handlePlatformResponse(a.config.Client.WatchManifest(ctx, x.After, x.Wait))
	case comfreyconfig.ActionReadHosts:
		h := a.config.Client.Hosts(ctx, x.After)
		a.step(func(n *comfreyconfig.Node, now time.Time) []comfreyconfig.Action { return n.HandleHostsResult(now, h) })
	case comfreyconfig.ActionFetch:
		f := a.fetch(ctx, x)
		a.step(func(n *comfreyconfig.Node, now time.Time) []comfreyconfig.Action { return n.HandleFetchResult(now, f) })
	case comfreyconfig.ActionExchange:
		a.exchange(ctx, x.Peer)
	default:
	}
}

func (a *Agent) handlePlatformResponse(p comfreyconfig.ManifestResult) {
	a.step(func(n *comfreyconfig.Node, now time.Time) []comfreyconfig.Action {
		return n.HandleManifestResult(now, p)
	})
}

// fetch requests blobs from a peer, or from the platform if the action names no
// peer.
func (a *Agent) fetch(ctx context.Context, x comfreyconfig.Action) comfreyconfig.FetchResult {
	if x.Peer.Address == "" {
		return a.config.Client.Blobs(ctx, x.Hashes)
	}
	f := comfreyconfig.FetchResult{Peer: x.Peer}
	if a.config.Fetch == nil {
		f.Failed = true
		return f
	}
	b, err := a.config.Fetch(ctx, x.Peer, x.Hashes)
	f.Blobs, f.Failed = b, err != nil
	return f
}

// exchange exchanges digests with a peer.
func (a *Agent) exchange(ctx context.Context, p comfreyconfig.Peer) {
	failed := func(n *comfreyconfig.Node, now time.Time) []comfreyconfig.Action { return n.HandleExchangeFailure(now) }
	if a.config.Exchange == nil {
		a.step(failed)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, defaultTimeout)
	defer cancel()
	d, err := a.config.Exchange(ctx, p, a.Digest())
	if err != nil {
		a.step(failed)
		return
	}
	a.step(func(n *comfreyconfig.Node, now time.Time) []comfreyconfig.Action {
		return n.HandleExchangeResult(now, p, d)
	})
}
