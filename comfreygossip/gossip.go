// Package comfreygossip lets gateways tell each other where their requests run,
// and fill the gaps in each other's copies of the platform's store. Nothing of
// it is shared state: a gateway that hears nobody works by itself.
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
	// exchangeInterval is how often one other gateway is asked. With a third of
	// the gateways turned away by the store, a change reaches all of them in
	// about three rounds, within configApplyMs.
	exchangeInterval = 300 * time.Millisecond
	// exchangeTimeout bounds one exchange; it takes a few milliseconds.
	exchangeTimeout = 700 * time.Millisecond
	// announceInterval is how often placements are announced without a change.
	announceInterval = 250 * time.Millisecond
	// gatherTime lets placements gather before they are announced.
	gatherTime = 10 * time.Millisecond
	// forgetTime is how long a silent gateway is kept in the list.
	forgetTime = 15 * time.Second
	// silentRetry is how often a gateway that does not speak is asked.
	silentRetry = 2 * time.Second
	// restartTime is how long a silent gateway must be silent for a state with
	// an older start to be taken, because its clock may have been set back.
	restartTime = 2 * time.Second
	// maxListed bounds the gateways that one message names.
	maxListed = 64
	// maxAnnounced bounds the gateways that hear of placements. With more of
	// them, each speaks to the next ones in the order of the addresses, so that
	// the cost of a gateway does not grow with the fleet.
	maxAnnounced = 40
	// maxKnown bounds the gateways that are remembered.
	maxKnown = 512
)

// Placements is where a gateway's requests run.
type Placements struct {
	Generations []comfreyoccupancy.Generation
	// Leaving are the replicas that have lately begun to leave.
	Leaving []string
}

// Config holds the parts of a Gossip. All are needed, but for Listen and Now.
type Config struct {
	// Address takes exchanges; DatagramPort takes announcements on the same
	// host. Both ports are the same on all gateways.
	Address      string
	DatagramPort int
	// Seeds are addresses of gateways to begin with.
	Seeds  []string
	Group  *comfreygroup.Group
	Logger *logrus.Logger
	// StoreRevision and Since read this gateway's copy of the store; see
	// comfreystorecache.Mirror.
	StoreRevision     func() uint64
	StoreChangesSince func(revision uint64) ([]comfreystorecache.Item, bool)
	// DirectStoreAge returns how long ago the store itself confirmed the copy to this
	// gateway. What other gateways said must not count.
	DirectStoreAge func() (age time.Duration, known bool)
	// MergeStore takes what another copy holds.
	MergeStore func(m StoreUpdate)
	// Placements returns where this gateway's requests run.
	Placements func() Placements
	// ApplyPlacements takes where another gateway's requests run.
	ApplyPlacements func(gateway string, s Placements)
	// ObserveStoreAge takes how long ago another gateway's copy, complete up to a
	// revision, was known to be up to date.
	ObserveStoreAge func(complete uint64, age time.Duration)
	// Now is the clock; time.Now by default.
	Now func() time.Time
}

// StoreUpdate is what another gateway's copy holds beyond this one's.
type StoreUpdate struct {
	Gateway  string
	Revision uint64
	Items    []comfreystorecache.Item
	// IsSnapshot means that the items are a whole listing.
	IsSnapshot bool
	// StoreAge is how long ago that copy was known to be up to date; it
	// counts only if HasContact is true.
	StoreAge    time.Duration
	HasStoreAge bool
}

// gateway is another gateway.
type gateway struct {
	heard       time.Time
	incarnation uint64
	sequence    uint64
	client      comfreyproto.Gateways
	isLost      bool
	datagrams   *net.UDPAddr
	// spoke is when its last announcement arrived.
	spoke time.Time
	// asked is when it was asked last.
	asked time.Time
}

// Gossip exchanges with other gateways. It is safe for concurrent use.
type Gossip struct {
	config      Config
	incarnation uint64
	changed     chan struct{}
	behind      chan string
	http        *http.Client
	socket      *net.UDPConn

	mu       sync.Mutex
	sequence uint64
	gateways map[string]*gateway
}

// New returns a gossip that has not been started.
func New(c Config) *Gossip {
	if c.Now == nil {
		c.Now = time.Now
	}
	g := &Gossip{
		config:      c,
		incarnation: uint64(c.Now().UnixNano()),
		changed:     make(chan struct{}, 1),
		behind:      make(chan string, 1),
		http: &http.Client{Timeout: exchangeTimeout, Transport: &http.Transport{
			MaxIdleConnsPerHost: 1, IdleConnTimeout: 3 * exchangeInterval * maxListed,
		}},
		gateways: map[string]*gateway{},
	}
	g.AddPeers(c.Seeds)
	return g
}

// Start opens the datagram socket and runs the exchanges in the group.
func (g *Gossip) Start() error {
	host, _, err := net.SplitHostPort(g.config.Address)
	if err != nil {
		return fmt.Errorf("comfreygossip: %w", err)
	}
	g.socket, err = net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(host), Port: g.config.DatagramPort})
	if err != nil {
		return fmt.Errorf("comfreygossip: listening for announcements: %w", err)
	}
	g.config.Group.Go("exchange", g.exchangeAll)
	g.config.Group.Go("announce", g.announceAll)
	g.config.Group.Go("listen", g.listen)
	g.config.Group.Go("catch up", g.catchUp)
	g.config.Group.Go("socket end", func(ctx context.Context) error {
		<-ctx.Done()
		return g.socket.Close()
	})
	return nil
}

// AddPeers adds addresses of gateways.
func (g *Gossip) AddPeers(addresses []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, a := range addresses {
		g.learn(a)
	}
}

// learn adds a gateway. The mutex must be held.
func (g *Gossip) learn(address string) *gateway {
	if address == g.config.Address || address == "" {
		return nil
	}
	if k, ok := g.gateways[address]; ok {
		return k
	}
	if len(g.gateways) >= maxKnown {
		return nil
	}
	host, _, err := net.SplitHostPort(address)
	ip := net.ParseIP(host)
	if err != nil || ip == nil {
		return nil
	}
	k := &gateway{
		heard:     g.config.Now(),
		client:    comfreyproto.NewGatewaysProtobufClient("http://"+address, g.http),
		datagrams: &net.UDPAddr{IP: ip, Port: g.config.DatagramPort},
	}
	g.gateways[address] = k
	return k
}

// Peers returns the other gateways that ever spoke, and for how long each has
// been silent.
func (g *Gossip) Peers() []comfreystorecache.Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Now()
	l := make([]comfreystorecache.Peer, 0, len(g.gateways))
	for a, k := range g.gateways {
		if k.spoke.IsZero() {
			continue
		}
		l = append(l, comfreystorecache.Peer{Address: a, LastMessageAge: now.Sub(k.spoke)})
	}
	return l
}

// known returns the addresses of all gateways, this one's included. The mutex
// must be held.
func (g *Gossip) known() []string {
	l := []string{g.config.Address}
	for a := range g.gateways {
		if len(l) == maxListed {
			break
		}
		l = append(l, a)
	}
	return l
}

// exchangeAll asks one gateway after the other.
func (g *Gossip) exchangeAll(ctx context.Context) error {
	for {
		l := g.shuffled()
		for _, a := range l {
			g.exchange(ctx, a)
			// Exchanges of gateways that started together spread out.
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

// catchUp asks a gateway at once whose copy of the store is further.
func (g *Gossip) catchUp(ctx context.Context) error {
	for {
		select {
		case a := <-g.behind:
			g.exchange(ctx, a)
		case <-ctx.Done():
			return nil
		}
	}
}

// shuffled returns the gateways to ask, in random order. Those that do not speak
// are asked less often, because each costs a timeout.
func (g *Gossip) shuffled() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Now()
	l := make([]string, 0, len(g.gateways))
	for a, k := range g.gateways {
		if now.Sub(k.spoke) < silentRetry || now.Sub(k.asked) >= silentRetry {
			l = append(l, a)
		}
	}
	rand.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	return l
}

// neighbours returns where placements are announced: everywhere in a small
// fleet, else to those whose addresses follow. The mutex must be held.
func (g *Gossip) neighbours() []*net.UDPAddr {
	addresses := slices.Sorted(maps.Keys(g.gateways))
	first, _ := slices.BinarySearch(addresses, g.config.Address)
	var l []*net.UDPAddr
	for i := range min(len(addresses), maxAnnounced) {
		l = append(l, g.gateways[addresses[(first+i)%len(addresses)]].datagrams)
	}
	return l
}

// expire forgets silent gateways. The seeds are tried again for ever.
func (g *Gossip) expire() {
	g.mu.Lock()
	now := g.config.Now()
	for a, k := range g.gateways {
		if now.Sub(k.heard) > forgetTime {
			delete(g.gateways, a)
		}
	}
	g.mu.Unlock()
	g.AddPeers(g.config.Seeds)
}

// exchange asks one gateway for what this one's copy lacks.
func (g *Gossip) exchange(ctx context.Context, address string) {
	g.mu.Lock()
	k, ok := g.gateways[address]
	l := g.known()
	if ok {
		k.asked = g.config.Now()
	}
	g.mu.Unlock()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	r, err := k.client.Exchange(ctx, &comfreyproto.CopyExchange{Address: g.config.Address, Complete: g.config.StoreRevision(), Gateways: l})
	g.noteExchange(address, k, err)
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

// noteExchange records whether a gateway answers.
func (g *Gossip) noteExchange(address string, k *gateway, err error) {
	g.mu.Lock()
	wasLost := k.isLost
	k.isLost = err != nil
	if err == nil {
		k.heard = g.config.Now()
	}
	g.mu.Unlock()
	f := logrus.Fields{"event": "dependency", "dependency": "gateway", "address": address}
	switch {
	case err != nil && !wasLost:
		g.http.CloseIdleConnections()
		f["error"] = err.Error()
		g.config.Logger.WithFields(f).Warning("a gateway does not answer")
	case err == nil && wasLost:
		g.config.Logger.WithFields(f).Info("a gateway answers again")
	}
}

// Exchange implements comfreyproto.Gateways.
func (g *Gossip) Exchange(_ context.Context, r *comfreyproto.CopyExchange) (*comfreyproto.CopyExchangeReply, error) {
	g.mu.Lock()
	if k := g.learn(r.Address); k != nil {
		k.heard = g.config.Now()
	}
	l := g.known()
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

// Handler returns the handler of exchanges.
func (g *Gossip) Handler() http.Handler {
	return comfreyproto.NewGatewaysServer(g)
}
