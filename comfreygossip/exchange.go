package comfreygossip

import (
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"comfreyridge.example/comfreyridge/comfreycell"
	"comfreyridge.example/comfreyridge/comfreygroup"
	"comfreyridge.example/comfreyridge/comfreyproto"
	"comfreyridge.example/comfreyridge/comfreyrpc"
	"comfreyridge.example/comfreyridge/comfreystorecache"
)

// runExchanges exchanges with one gateway after the other.
func (g *Gossip) runExchanges(ctx context.Context) error {
	for {
		l := g.exchangeTargets()
		for _, a := range l {
			g.exchange(ctx, a, largeItems)
			// Jitter spreads the exchanges of gateways that started together.
			if !comfreygroup.Sleep(ctx, time.Duration(float64(g.exchangeInterval())*(0.75+rand.Float64()/2))) {
				return nil
			}
		}
		g.expire()
		if len(l) == 0 && !comfreygroup.Sleep(ctx, exchangeInterval) {
			return nil
		}
	}
}

// exchangeInterval returns the mean time between two exchanges.
func (g *Gossip) exchangeInterval() time.Duration {
	if g.Layout().FleetSize() > comfreycell.MaxMembers {
		return cellExchangeInterval
	}
	return exchangeInterval
}

// catchUp exchanges with gateways whose store caches are newer until this one's is
// as new: at once, or from a random time within newEraSpread on if the store was
// restored, since all gateways of a cell then need an exchange with the same one.
// It makes the only exchanges with large replies, so that these do not share the
// link.
func (g *Gossip) catchUp(ctx context.Context) error {
	for {
		select {
		case <-g.newer:
		case <-ctx.Done():
			return nil
		}
		if _, v, ok := g.newerPeer(); ok && v.Era > g.config.StoreVersion().Era && g.config.StoreVersion().Revision > 0 {
			comfreygroup.Sleep(ctx, time.Duration(rand.Float64()*float64(newEraSpread)))
		}
		delay := withheldRetryDelay
		for ctx.Err() == nil {
			a, v, ok := g.newerPeer()
			if !ok {
				break
			}
			switch g.exchange(ctx, a, math.MaxUint64) {
			case exchangeMerged:
				if v.Compare(g.config.StoreVersion()) > 0 {
					g.forgetVersion(a) // It no longer has what it announced.
				}
				// The others can get the changes from this gateway from now on.
				g.PlacementsChanged()
			case exchangeWithheld:
				comfreygroup.Sleep(ctx, time.Duration((0.5+rand.Float64())*float64(delay)))
				delay = min(2*delay, maxWithheldRetryDelay)
			case exchangeFailed:
				g.forgetVersion(a)
			}
		}
	}
}

// newerPeer returns a random one of the gateways whose store caches are known to
// be newer than this one's, and its version.
func (g *Gossip) newerPeer() (address string, v comfreystorecache.Version, ok bool) {
	own := g.config.StoreVersion()
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for a, k := range g.peers {
		if k.version.Compare(own) <= 0 {
			continue
		}
		n++
		if rand.IntN(n) == 0 {
			address, v = a, k.version
		}
	}
	return address, v, n > 0
}

// forgetVersion forgets the version of a gateway until it announces one again.
func (g *Gossip) forgetVersion(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if k, ok := g.peers[address]; ok {
		k.version = comfreystorecache.Version{}
	}
}

// requestIfNewer requests an exchange with a gateway whose store cache is
// complete up to a later version than this one's.
func (g *Gossip) requestIfNewer(address string, v comfreystorecache.Version) {
	if v.Compare(g.config.StoreVersion()) <= 0 {
		return
	}
	g.mu.Lock()
	if k, ok := g.peers[address]; ok {
		k.version = v
	}
	g.mu.Unlock()
	select {
	case g.newer <- struct{}{}:
	default:
	}
}

// exchangeTargets returns the gateways to exchange with, in random order: those
// of the own cell, those that have not shown to be running, and some of other
// cells. Those that send no placements are asked less often, because each costs a
// timeout.
func (g *Gossip) exchangeTargets() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Now()
	isMember := map[string]bool{}
	for _, a := range g.currentLayout().Members() {
		isMember[a] = true
	}
	var l []string
	remote := len(isMember)/remoteExchangeShare + 1
	for a, k := range g.peers {
		switch {
		case !isMember[a] && !k.lastAlive.IsZero():
			if remote > 0 { // The order of a map is random.
				l = append(l, a)
				remote--
			}
		case now.Sub(k.lastDatagram) < silentPeerInterval || now.Sub(k.lastExchange) >= silentPeerInterval:
			l = append(l, a)
		}
	}
	rand.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	return l
}

// exchangeResult is what became of an exchange.
type exchangeResult int

// The results of exchanges.
const (
	exchangeFailed exchangeResult = iota
	exchangeMerged
	exchangeWithheld
)

// exchange requests from one gateway the changes that this one's store cache
// lacks, if they have at most maxItems bytes.
func (g *Gossip) exchange(ctx context.Context, address string, maxItems uint64) exchangeResult {
	g.mu.Lock()
	k, ok := g.peers[address]
	if !ok {
		g.mu.Unlock()
		return exchangeFailed
	}
	l, dataCentres := g.peerAddresses(k.dataCentre)
	sizes := g.dataCentreSizes()
	k.lastExchange = g.config.Now()
	g.mu.Unlock()
	after := g.config.StoreVersion()
	ctx, received := countReceived(ctx)
	started := time.Now()
	r, err := k.client.Exchange(ctx, &comfreyproto.CopyExchange{
		Address: g.config.Address, DataCentre: g.config.DataCentre, Complete: after.Revision, Era: after.Era, Gateways: l, DataCentres: dataCentres, Sizes: sizes,
		MaxItemBytes: maxItems, AcceptsZstd: true,
	})
	g.recordExchange(address, k, exchangeStats{from: after, took: time.Since(started), received: received.Load(), dataCentre: r.GetDataCentre()}, err)
	if err != nil {
		return exchangeFailed
	}
	g.addPeers(r.Gateways, r.DataCentres)
	g.learnSizes(r.Sizes)
	if len(r.Crashes) > 0 {
		g.config.MergeCrashRecords(comfreyrpc.DecodeCrashRecords(r.Crashes, g.config.Now()))
	}
	if len(r.Leaving) > 0 {
		g.config.MergeLeaving(decodeStarts(r.Leaving))
	}
	if len(r.RateLimits) > 0 {
		g.config.MergeRateLimits(comfreyrpc.DecodeRateLimits(r.RateLimits, g.config.Now()))
	}
	version := comfreystorecache.Version{Era: r.Era, Revision: r.Complete}
	items, err := g.codec.decode(r.Items)
	if err != nil {
		g.config.Logger.WithError(err).WithField("address", address).Warning("cannot decode an exchange")
		return exchangeFailed
	}
	if r.Withheld {
		if len(items) > 0 {
			g.config.MergeStorePartial(address, version, items)
		}
		g.requestIfNewer(address, version)
		return exchangeWithheld
	}
	m := StoreUpdate{Gateway: address, After: after, HasStoreAge: r.ContactKnown, StoreAge: time.Duration(r.ContactAgeMillis) * time.Millisecond}
	m.Version, m.IsSnapshot, m.Items = version, r.Whole, items
	g.config.MergeStore(m)
	return exchangeMerged
}

// exchangeStats describes one exchange for the log.
type exchangeStats struct {
	// from is the version after which changes were requested.
	from comfreystorecache.Version
	took time.Duration
	// received is the number of bytes of the response body that arrived.
	received   int64
	dataCentre string
}

// recordExchange records whether a gateway is reachable, and its data centre. It
// logs an exchange that failed midway each time: another one may end the same way.
func (g *Gossip) recordExchange(address string, k *peer, t exchangeStats, err error) {
	g.mu.Lock()
	wasUnreachable := k.isUnreachable
	k.isUnreachable = err != nil
	if err == nil {
		g.markAlive(k, t.dataCentre)
	}
	g.mu.Unlock()
	f := logrus.Fields{"event": "dependency", "dependency": "gateway", "address": address, "took-ms": t.took.Milliseconds(), "received-bytes": t.received, "from": t.from.String()}
	switch {
	case err != nil && (!wasUnreachable || t.received > 0):
		g.http.CloseIdleConnections()
		f["error"] = err.Error()
		g.config.Logger.WithFields(f).Warning("gateway is unreachable")
	case err == nil && wasUnreachable:
		g.config.Logger.WithFields(f).Info("gateway is reachable again")
	}
}

// Exchange implements comfreyproto.Gateways.
func (g *Gossip) Exchange(ctx context.Context, r *comfreyproto.CopyExchange) (*comfreyproto.CopyExchangeReply, error) {
	g.mu.Lock()
	if k := g.addPeer(r.Address); k != nil {
		g.markAlive(k, r.DataCentre)
	}
	l, dataCentres := g.peerAddresses(r.DataCentre)
	sizes := g.dataCentreSizes()
	g.mu.Unlock()
	g.addPeers(r.Gateways, r.DataCentres)
	g.learnSizes(r.Sizes)
	p := &comfreyproto.CopyExchangeReply{
		Gateways: l, DataCentre: g.config.DataCentre, DataCentres: dataCentres, Sizes: sizes,
		Crashes: comfreyrpc.EncodeCrashRecords(g.config.RepeatedSuspects(), g.config.Now()),
	}
	if r.Complete == 0 {
		p.Leaving = encodeStarts(g.config.KnownLeaving())
		p.RateLimits = comfreyrpc.EncodeRateLimits(g.config.KnownRateLimits(), g.config.Now())
	}
	if own := g.config.StoreVersion(); g.mustWithholdListing(r, own) {
		p.Complete, p.Era, p.Withheld = own.Revision, own.Era, true
		return p, nil
	}
	changes := g.config.StoreChangesSince(comfreystorecache.Version{Era: r.Era, Revision: r.Complete})
	p.Complete, p.Era, p.Whole = changes.Version.Revision, changes.Version.Era, changes.IsSnapshot
	age, known := g.config.DirectStoreAge()
	p.ContactAgeMillis, p.ContactKnown = uint64(max(age, 0).Milliseconds()), known
	size := itemsSize(changes.Items)
	// Older builds send no limit, and would take a withheld reply for a complete one.
	if limit := r.MaxItemBytes; limit > 0 && (size > limit || size > largeItems && !g.transfers.take(ctx)) {
		p.Withheld = true
		if !changes.IsSnapshot {
			p.Items = g.codec.encode(smallItems(changes.Items), r.AcceptsZstd)
		}
		return p, nil
	}
	p.Items = g.codec.encode(changes.Items, r.AcceptsZstd)
	return p, nil
}

// mustWithholdListing reports whether a gateway that has nothing yet, and needs a
// complete listing, cannot get one now. After a restart of the whole fleet, dozens
// of them ask the few that have one, which must not collect the items of thousands
// of replicas for each refusal.
func (g *Gossip) mustWithholdListing(r *comfreyproto.CopyExchange, own comfreystorecache.Version) bool {
	if r.MaxItemBytes == 0 || r.Complete > 0 || own.Revision == 0 {
		return false
	}
	return r.MaxItemBytes <= largeItems || len(g.transfers) == cap(g.transfers)
}

// Handler returns the HTTP handler that serves exchanges.
func (g *Gossip) Handler() http.Handler {
	return g.transfers.handler(comfreyproto.NewGatewaysServer(g), g.sentBytes.WithLabelValues(kindExchangeAnswer))
}

// dataCentreSizes returns the number of gateways in each data centre to send in
// an exchange. The mutex must be held.
func (g *Gossip) dataCentreSizes() []*comfreyproto.DataCentreSize {
	l := []*comfreyproto.DataCentreSize{{DataCentre: g.config.DataCentre, Gateways: uint32(g.currentLayout().Sizes()[g.config.DataCentre])}}
	now := g.config.Now()
	for c, s := range g.sizes {
		l = append(l, &comfreyproto.DataCentreSize{DataCentre: c, Gateways: uint32(s.gateways), AgeMillis: uint64(now.Sub(s.reportedAt).Milliseconds())})
	}
	return l
}

// learnSizes records the number of gateways in other data centres where the
// received one was reported later than the known one.
func (g *Gossip) learnSizes(l []*comfreyproto.DataCentreSize) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range l {
		at := g.config.Now().Add(-time.Duration(s.AgeMillis) * time.Millisecond)
		if s.DataCentre != g.config.DataCentre && at.After(g.sizes[s.DataCentre].reportedAt) {
			g.sizes[s.DataCentre] = reportedSize{min(int(s.Gateways), maxReportedSize), at}
		}
	}
}

// peerAddresses returns the addresses to send in an exchange, with their data
// centres: this gateway's own and those of its peers that are running, up to
// maxPeersPerMessage. The mutex must be held.
func (g *Gossip) peerAddresses(receiverDataCentre string) (addresses, dataCentres []string) {
	addresses, dataCentres = []string{g.config.Address}, []string{g.config.DataCentre}
	isLarge := g.currentLayout().FleetSize() > comfreycell.MaxMembers
	remote := 0
	for a, k := range g.peers {
		if k.lastAlive.IsZero() {
			continue
		}
		if isLarge && k.dataCentre != receiverDataCentre {
			if remote == maxRemotePeersPerMessage {
				continue
			}
			remote++
		}
		if len(addresses) == maxPeersPerMessage {
			break
		}
		addresses, dataCentres = append(addresses, a), append(dataCentres, k.dataCentre)
	}
	return addresses, dataCentres
}
