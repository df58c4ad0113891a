// Package comfreygossip exchanges state between gateways: the placements of their
// requests, and changes of the platform's store that another gateway's store cache
// lacks. There is no shared state: a gateway that receives no message from any
// other continues on its own.
package comfreygossip

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"comfreyridge.example/comfreyridge/comfreygroup"
	"comfreyridge.example/comfreyridge/comfreyoccupancy"
	"comfreyridge.example/comfreyridge/comfreyproto"
	"comfreyridge.example/comfreyridge/comfreystorecache"
)

const (
	// exchangeInterval is the mean time between two exchanges, each with one
	// other gateway. With a third of the gateways refused by the store, a change
	// reaches all of them in about three rounds, within configApplyMs.
	exchangeInterval = 300 * time.Millisecond
	// exchangeTimeout bounds one exchange, which usually takes a few milliseconds.
	exchangeTimeout = 700 * time.Millisecond
	// placementInterval is the interval at which placements are sent without a
	// change.
	placementInterval = 250 * time.Millisecond
	// batchDelay is how long changes of placements are batched before they are
	// sent.
	batchDelay = 10 * time.Millisecond
	// peerExpiry is how long a gateway is retained after its last message.
	peerExpiry = 15 * time.Second
	// silentPeerInterval is the minimum time between two exchanges with a gateway
	// that sends no placements.
	silentPeerInterval = 2 * time.Second
	// clockResetDelay is how long no message must have arrived from a gateway
	// before a lower incarnation of it is accepted. The incarnation is the start
	// time, so it is lower after a restart if the clock was set back.
	clockResetDelay = 2 * time.Second
	// maxPeersPerMessage bounds the gateway addresses in one exchange.
	maxPeersPerMessage = 64
	// maxPlacementPeers bounds the gateways that placements are sent to. In a
	// larger fleet, each gateway sends to those that follow it in the order of
	// the addresses, so that its cost does not grow with the fleet.
	maxPlacementPeers = 40
	// maxPeers bounds the gateways that are retained.
	maxPeers = 512
)

// Placements are the generations of a gateway, each with its replica.
type Placements struct {
	Generations []comfreyoccupancy.Generation
	// Leaving are the replicas that recently became leaving.
	Leaving []string
}

// Config configures a Gossip. All fields except Seeds and Now are required.
type Config struct {
	// Address receives exchanges; DatagramPort receives placements on the same
	// host. Both ports are the same on all gateways.
	Address      string
	DatagramPort int
	// Seeds are the addresses of the gateways to contact first.
	Seeds  []string
	Group  *comfreygroup.Group
	Logger *logrus.Logger
	// StoreRevision and StoreChangesSince read this gateway's store cache; see
	// comfreystorecache.Cache.
	StoreRevision     func() uint64
	StoreChangesSince func(revision uint64) ([]comfreystorecache.Item, bool)
	// DirectStoreAge returns how long ago the store itself confirmed to this
	// gateway that its cache is current. Reports of other gateways must not
	// count.
	DirectStoreAge func() (age time.Duration, known bool)
	// MergeStore merges changes from another gateway's store cache.
	MergeStore func(m StoreUpdate)
	// Placements returns this gateway's placements.
	Placements func() Placements
	// ApplyPlacements applies the placements of another gateway.
	ApplyPlacements func(gateway string, s Placements)
	// ObserveStoreAge records how long ago another gateway's store cache, which
	// is complete up to a revision, was known to be current.
	ObserveStoreAge func(complete uint64, age time.Duration)
	// Now is the clock; time.Now by default.
	Now func() time.Time
}

// StoreUpdate holds the items of another gateway's store cache that this one's
// lacks.
type StoreUpdate struct {
	Gateway  string
	Revision uint64
	Items    []comfreystorecache.Item
	// IsSnapshot means that the items are the complete contents of the store.
	IsSnapshot bool
	// StoreAge is how long ago the other cache was known to be current. It is
	// valid only if HasStoreAge is true.
	StoreAge    time.Duration
	HasStoreAge bool
}

// peer is another gateway.
type peer struct {
	lastMessage     time.Time
	incarnation     uint64
	sequence        uint64
	client          comfreyproto.Gateways
	isUnreachable   bool
	datagramAddress *net.UDPAddr
	// lastDatagram is when the last part of its latest placements arrived.
	lastDatagram time.Time
	// lastExchange is when this gateway last began an exchange with it.
	lastExchange time.Time
}

// Gossip exchanges state with other gateways. It is safe for concurrent use.
type Gossip struct {
	config      Config
	incarnation uint64
	changed     chan struct{}
	newer       chan string
	http        *http.Client
	socket      *net.UDPConn

	mu       sync.Mutex
	sequence uint64
	peers    map[string]*peer
}

// New returns a Gossip that has not been started.
func New(c Config) *Gossip {
	if c.Now == nil {
		c.Now = time.Now
	}
	g := &Gossip{
		config:      c,
		incarnation: uint64(c.Now().UnixNano()),
		changed:     make(chan struct{}, 1),
		newer:       make(chan string, 1),
		http: &http.Client{Timeout: exchangeTimeout, Transport: &http.Transport{
			MaxIdleConnsPerHost: 1, IdleConnTimeout: 3 * exchangeInterval * maxPeersPerMessage,
		}},
		peers: map[string]*peer{},
	}
	g.AddPeers(c.Seeds)
	return g
}

// Start opens the datagram socket and starts the goroutines in the group.
func (g *Gossip) Start() error {
	host, _, err := net.SplitHostPort(g.config.Address)
	if err != nil {
		return fmt.Errorf("comfreygossip: %w", err)
	}
	g.socket, err = net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(host), Port: g.config.DatagramPort})
	if err != nil {
		return fmt.Errorf("comfreygossip: listening for placements: %w", err)
	}
	g.config.Group.Go("exchange", g.runExchanges)
	g.config.Group.Go("announce", g.runPlacements)
	g.config.Group.Go("listen", g.listen)
	g.config.Group.Go("catch up", g.catchUp)
	g.config.Group.Go("socket close", func(ctx context.Context) error {
		<-ctx.Done()
		return g.socket.Close()
	})
	return nil
}

// AddPeers adds gateways by address. It skips this gateway's own address and
// malformed ones.
func (g *Gossip) AddPeers(addresses []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, a := range addresses {
		g.addPeer(a)
	}
}

// addPeer returns the gateway at an address, which it adds if necessary. It
// returns nil for this gateway's own address, a malformed one, or if there are
// maxPeers already. The mutex must be held.
func (g *Gossip) addPeer(address string) *peer {
	if address == g.config.Address || address == "" {
		return nil
	}
	if k, ok := g.peers[address]; ok {
		return k
	}
	if len(g.peers) >= maxPeers {
		return nil
	}
	host, _, err := net.SplitHostPort(address)
	ip := net.ParseIP(host)
	if err != nil || ip == nil {
		return nil
	}
	k := &peer{
		lastMessage:     g.config.Now(),
		client:          comfreyproto.NewGatewaysProtobufClient("http://"+address, g.http),
		datagramAddress: &net.UDPAddr{IP: ip, Port: g.config.DatagramPort},
	}
	g.peers[address] = k
	return k
}

// Peers returns the other gateways that have sent placements, with the time since
// the last ones.
func (g *Gossip) Peers() []comfreystorecache.Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Now()
	l := make([]comfreystorecache.Peer, 0, len(g.peers))
	for a, k := range g.peers {
		if k.lastDatagram.IsZero() {
			continue
		}
		l = append(l, comfreystorecache.Peer{Address: a, LastMessageAge: now.Sub(k.lastDatagram)})
	}
	return l
}

// peerAddresses returns the addresses to send in an exchange: this gateway's own
// and those of its peers, up to maxPeersPerMessage. The mutex must be held.
func (g *Gossip) peerAddresses() []string {
	l := []string{g.config.Address}
	for a := range g.peers {
		if len(l) == maxPeersPerMessage {
			break
		}
		l = append(l, a)
	}
	return l
}

// runExchanges exchanges with one gateway after the other.
func (g *Gossip) runExchanges(ctx context.Context) error {
	for {
		l := g.exchangeTargets()
		for _, a := range l {
			g.exchange(ctx, a)
			// Jitter spreads the exchanges of gateways that started together.
			if !comfreygroup.Sleep(ctx, time.Duration(float64(exchangeInterval)*(0.75+rand.Float64()/2))) {
				return nil
			}
		}
		g.expire()
		if len(l) == 0 && !comfreygroup.Sleep(ctx, exchangeInterval) {
			return nil
		}
	}
}

// catchUp exchanges at once with a gateway whose store cache has a higher
// revision.
func (g *Gossip) catchUp(ctx context.Context) error {
	for {
		select {
		case a := <-g.newer:
			g.exchange(ctx, a)
		case <-ctx.Done():
			return nil
		}
	}
}

// exchangeTargets returns the gateways to exchange with, in random order. Those
// that send no placements are asked less often, because each costs a timeout.
func (g *Gossip) exchangeTargets() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Now()
	l := make([]string, 0, len(g.peers))
	for a, k := range g.peers {
		if now.Sub(k.lastDatagram) < silentPeerInterval || now.Sub(k.lastExchange) >= silentPeerInterval {
			l = append(l, a)
		}
	}
	rand.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	return l
}

// placementTargets returns the gateways that placements are sent to: all of them
// in a small fleet, otherwise those that follow in the order of the addresses. The
// mutex must be held.
func (g *Gossip) placementTargets() []*net.UDPAddr {
	addresses := slices.Sorted(maps.Keys(g.peers))
	first, _ := slices.BinarySearch(addresses, g.config.Address)
	var l []*net.UDPAddr
	for i := range min(len(addresses), maxPlacementPeers) {
		l = append(l, g.peers[addresses[(first+i)%len(addresses)]].datagramAddress)
	}
	return l
}

// expire removes gateways whose last message is too old. The seeds are added
// again and so are never given up.
func (g *Gossip) expire() {
	g.mu.Lock()
	now := g.config.Now()
	for a, k := range g.peers {
		if now.Sub(k.lastMessage) > peerExpiry {
			delete(g.peers, a)
		}
	}
	g.mu.Unlock()
	g.AddPeers(g.config.Seeds)
}

// exchange requests from one gateway the changes that this one's store cache
// lacks.
func (g *Gossip) exchange(ctx context.Context, address string) {
	g.mu.Lock()
	k, ok := g.peers[address]
	l := g.peerAddresses()
	if ok {
		k.lastExchange = g.config.Now()
	}
	g.mu.Unlock()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	r, err := k.client.Exchange(ctx, &comfreyproto.CopyExchange{Address: g.config.Address, Complete: g.config.StoreRevision(), Gateways: l})
	g.recordExchange(address, k, err)
	if err != nil {
		return
	}
	g.AddPeers(r.Gateways)
	m := StoreUpdate{Gateway: address, Revision: r.Complete, IsSnapshot: r.Whole, HasStoreAge: r.ContactKnown, StoreAge: time.Duration(r.ContactAgeMillis) * time.Millisecond}
	for _, x := range r.Items {
		m.Items = append(m.Items, comfreystorecache.Item{Key: x.Key, Revision: x.Revision, Value: x.Value, IsDeleted: x.Deleted})
	}
	g.config.MergeStore(m)
}

// recordExchange records whether a gateway is reachable.
func (g *Gossip) recordExchange(address string, k *peer, err error) {
	g.mu.Lock()
	wasUnreachable := k.isUnreachable
	k.isUnreachable = err != nil
	if err == nil {
		k.lastMessage = g.config.Now()
	}
	g.mu.Unlock()
	f := logrus.Fields{"event": "dependency", "dependency": "gateway", "address": address}
	switch {
	case err != nil && !wasUnreachable:
		g.http.CloseIdleConnections()
		f["error"] = err.Error()
		g.config.Logger.WithFields(f).Warning("gateway is unreachable")
	case err == nil && wasUnreachable:
		g.config.Logger.WithFields(f).Info("gateway is reachable again")
	}
}

// Exchange implements comfreyproto.Gateways.
func (g *Gossip) Exchange(_ context.Context, r *comfreyproto.CopyExchange) (*comfreyproto.CopyExchangeReply, error) {
	g.mu.Lock()
	if k := g.addPeer(r.Address); k != nil {
		k.lastMessage = g.config.Now()
	}
	l := g.peerAddresses()
	g.mu.Unlock()
	g.AddPeers(r.Gateways)
	items, isDelta := g.config.StoreChangesSince(r.Complete)
	age, known := g.config.DirectStoreAge()
	p := &comfreyproto.CopyExchangeReply{
		Complete: g.config.StoreRevision(), Whole: !isDelta, Gateways: l,
		ContactAgeMillis: uint64(max(age, 0).Milliseconds()), ContactKnown: known,
	}
	for _, x := range items {
		p.Items = append(p.Items, &comfreyproto.StoreItem{Key: x.Key, Revision: x.Revision, Value: x.Value, Deleted: x.IsDeleted})
	}
	return p, nil
}

// Handler returns the HTTP handler that serves exchanges.
func (g *Gossip) Handler() http.Handler {
	return comfreyproto.NewGatewaysServer(g)
}
