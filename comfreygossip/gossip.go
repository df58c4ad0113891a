// Package comfreygossip exchanges state between gateways: the placements of their
// requests, and changes of the platform's store that another gateway's store cache
// lacks. There is no shared state: a gateway that receives no message from any
// other continues on its own.
package comfreygossip

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"comfreyridge.example/comfreyridge/comfreycell"
	"comfreyridge.example/comfreyridge/comfreyconnection"
	"comfreyridge.example/comfreyridge/comfreygroup"
	"comfreyridge.example/comfreyridge/comfreyoccupancy"
	"comfreyridge.example/comfreyridge/comfreypace"
	"comfreyridge.example/comfreyridge/comfreyplacement"
	"comfreyridge.example/comfreyridge/comfreyproto"
	"comfreyridge.example/comfreyridge/comfreyquarantine"
	"comfreyridge.example/comfreyridge/comfreyratelimit"
	"comfreyridge.example/comfreyridge/comfreyreplica"
	"comfreyridge.example/comfreyridge/comfreyreturn"
	"comfreyridge.example/comfreyridge/comfreystorecache"
)

const (
	// exchangeInterval is the mean time between two exchanges, each with one
	// other gateway. With a third of the gateways refused by the store, a change
	// reaches all of them in about three rounds, within configApplyMs.
	exchangeInterval = 300 * time.Millisecond
	// cellExchangeInterval is the same for a fleet of several cells, in which
	// datagrams carry the changes of the store.
	cellExchangeInterval = time.Second
	// remoteExchangeShare is how many exchanges with gateways of the own cell there
	// are for each with a gateway of another cell.
	remoteExchangeShare = 4
	// introductionTime is how long a new gateway is sent placements although it
	// has not shown to be running, so that it learns of this one.
	introductionTime = 2 * time.Second
	// remoteIntroductionTime is the same for gateways of other data centres in a
	// fleet of several cells, to which it is only a contact.
	remoteIntroductionTime = 300 * time.Millisecond
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
	// withheldRetryDelay is the mean delay before another gateway is asked after one
	// has withheld a large reply.
	// It doubles up to maxWithheldRetryDelay.
	withheldRetryDelay    = 60 * time.Millisecond
	maxWithheldRetryDelay = 400 * time.Millisecond
	// newEraSpread is the time over which the gateways spread their exchanges when
	// the store was restored.
	newEraSpread = 300 * time.Millisecond
	// clockResetDelay is how long no message must have arrived from a gateway
	// before a lower incarnation of it is accepted. The incarnation is the start
	// time, so it is lower after a restart if the clock was set back.
	clockResetDelay = 2 * time.Second
	// maxPeersPerMessage bounds the gateway addresses in one exchange. Gateways
	// in the data centre of the receiver come first.
	maxPeersPerMessage = 64
	// maxRemotePeersPerMessage bounds those in other data centres, in a fleet of
	// several cells.
	maxRemotePeersPerMessage = 3
	// maxPeers bounds the gateways that are retained.
	maxPeers = 2048
	// maxReportedSize bounds the reported number of gateways in a data centre, so
	// that a malformed message cannot divide it into millions of cells.
	maxReportedSize = 1 << 14
	// layoutInterval is how often the layout of the fleet is computed again.
	layoutInterval = 100 * time.Millisecond
)

// exchangeTimeouts limit one exchange. The response usually takes a few
// milliseconds, and seconds if it holds a large configuration.
var exchangeTimeouts = comfreyconnection.Timeouts{Header: 700 * time.Millisecond, Silence: 700 * time.Millisecond}

// Placements are the generations of a gateway, each with its replica.
type Placements struct {
	Generations []comfreyoccupancy.Generation
	// Leaving are the replicas that recently became leaving.
	Leaving []comfreyreplica.Start
	// Announced are those that have told the gateway in a response that they leave.
	Announced []comfreyreplica.Start
	// RateLimits are those that replicas have named to the gateway, and PermitHolders
	// the gateway that it asks for permits, by service.
	RateLimits    []comfreyreplica.RateLimit
	PermitHolders map[string]string
	// Paces are those that replicas have lately stated to the gateway.
	Paces []comfreypace.Sample
	// Waiting are the requests in the gateway's queues to which others yield, and
	// Refused those whose callers it has lately told to return.
	Waiting []comfreyplacement.Waiter
	Refused []comfreyreturn.Refusal
}

// Config configures a Gossip. All fields except Seeds, LinkBytesPerSecond, Now and Dial
// are required.
type Config struct {
	// Address receives exchanges; DatagramPort receives placements on the same
	// host. Both ports are the same on all gateways.
	Address      string
	DatagramPort int
	// DataCentre is where this gateway runs.
	DataCentre string
	// Seeds are the addresses of the gateways to contact first.
	Seeds  []string
	Group  *comfreygroup.Group
	Logger *logrus.Logger
	// StoreVersion and StoreChangesSince read this gateway's store cache; see
	// comfreystorecache.Cache.
	StoreVersion      func() comfreystorecache.Version
	StoreChangesSince func(v comfreystorecache.Version) comfreystorecache.Changes
	// DirectStoreAge returns how long ago the store itself confirmed to this
	// gateway that its cache is current. Reports of other gateways must not
	// count.
	DirectStoreAge func() (age time.Duration, known bool)
	// MergeStore merges changes from another gateway's store cache.
	MergeStore func(m StoreUpdate)
	// MergeStorePartial merges some of the changes up to a version from another
	// gateway, and reports whether one was new.
	MergeStorePartial func(gateway string, v comfreystorecache.Version, changes []comfreystorecache.Item) bool
	// Placements returns this gateway's placements.
	Placements func() Placements
	// ApplyPlacements applies the placements of another gateway.
	ApplyPlacements func(gateway string, s Placements)
	// ObserveStoreAge records how long ago another gateway's store cache, which
	// is complete up to a version, was known to be current.
	ObserveStoreAge func(complete comfreystorecache.Version, age time.Duration)
	// StoreAge returns how long ago this gateway's store cache was known to be
	// current, also by reports of other gateways.
	StoreAge func() (age time.Duration, known bool)
	// CellState returns the state of the own cell for another cell, and
	// ApplyCellState applies that of another cell.
	CellState      func(receiver comfreycell.ID) CellState
	ApplyCellState func(cell comfreycell.ID, s CellState)
	// CrashRecords returns the crash records to send now, and RepeatedSuspects
	// those that a gateway needs which was not running when they were sent.
	// MergeCrashRecords adds those of another gateway.
	CrashRecords, RepeatedSuspects func() []comfreyquarantine.CrashRecord
	MergeCrashRecords              func(l []comfreyquarantine.CrashRecord)
	// MergeSilentLosses adds the requests without a response of another gateway, which
	// has ended.
	MergeSilentLosses func(l []comfreyquarantine.CrashRecord)
	// KnownRateLimits returns the rate limits of replicas for a gateway that starts,
	// and MergeRateLimits adds those of another gateway.
	KnownRateLimits func() []comfreyreplica.RateLimit
	MergeRateLimits func(l []comfreyreplica.RateLimit)
	// KnownLeaving returns the replicas that leave, for a gateway that starts, and
	// MergeLeaving adds those that another gateway knows.
	KnownLeaving func() []comfreyreplica.Start
	MergeLeaving func(l []comfreyreplica.Start)
	// Permit answers another gateway's request for a permit, which was passed on a
	// number of times.
	Permit func(ctx context.Context, r comfreyratelimit.Request, hops int) comfreyratelimit.Reply
	// LinkBytesPerSecond is the bandwidth of this host's link; zero if it is not known.
	LinkBytesPerSecond float64
	// Now is the clock; time.Now by default.
	Now func() time.Time
	// Dial opens the connections of exchanges; the default uses net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// StoreUpdate holds the items of another gateway's store cache that this one's
// lacks.
type StoreUpdate struct {
	Gateway string
	// After is the version for which the other gateway has sent the changes.
	After comfreystorecache.Version
	comfreystorecache.Changes
	// StoreAge is how long ago the other cache was known to be current. It is
	// valid only if HasStoreAge is true.
	StoreAge    time.Duration
	HasStoreAge bool
}

// peer is another gateway.
type peer struct {
	dataCentre string
	// added is when the gateway was added, lastMessage when it was last heard of,
	// or added, and lastAlive when it was last known to be running; zero if it
	// never was.
	added       time.Time
	lastMessage time.Time
	lastAlive   time.Time
	// aliveSince is when its present start was first known to be running.
	aliveSince      time.Time
	incarnation     uint64
	sequence        uint64
	client          comfreyproto.Gateways
	isUnreachable   bool
	datagramAddress *net.UDPAddr
	// version is the latest version that the gateway has announced, if that was
	// newer than this one's.
	version comfreystorecache.Version
	// lastDatagram is when the last part of its latest placements arrived.
	lastDatagram time.Time
	// lastExchange is when this gateway last began an exchange with it.
	lastExchange time.Time
}

// reportedSize is the number of gateways in a data centre, as one of them
// reported it.
type reportedSize struct {
	gateways   int
	reportedAt time.Time
}

// Gossip exchanges state with other gateways. It is safe for concurrent use.
type Gossip struct {
	config      Config
	started     time.Time
	incarnation uint64
	changed     chan struct{}
	// newer wakes the task that catches up with newer store caches.
	newer     chan struct{}
	transfers transferSlots
	codec     *codec
	http      *http.Client
	socket    *net.UDPConn
	sentBytes *prometheus.CounterVec
	// roundSeconds is the time over which the latest placements are sent.
	roundSeconds prometheus.Gauge

	// cellChanged wakes the task that sends the cell's state to other cells.
	cellChanged chan struct{}

	mu       sync.Mutex
	sequence uint64
	peers    map[string]*peer
	layout   comfreycell.Layout
	layoutAt time.Time
	// relays holds the latest state of each relay of another cell.
	relays map[string]relay
	// sizes holds the reported number of gateways in other data centres.
	sizes map[string]reportedSize
}

// New returns a Gossip that has not been started.
func New(c Config) *Gossip {
	if c.Now == nil {
		c.Now = time.Now
	}
	sent := newSentBytes()
	g := &Gossip{
		config:      c,
		started:     c.Now(),
		incarnation: uint64(c.Now().UnixNano()),
		changed:     make(chan struct{}, 1),
		newer:       make(chan struct{}, 1),
		transfers:   make(transferSlots, maxTransfers),
		codec:       newCodec(),
		sentBytes:   sent, roundSeconds: newRoundSeconds(),
		cellChanged: make(chan struct{}, 1),
		http: &http.Client{Transport: &exchangeTransport{comfreyconnection.NewTransport(&http.Transport{
			DialContext: c.Dial, MaxIdleConnsPerHost: 1, IdleConnTimeout: 3 * exchangeInterval * maxPeersPerMessage,
		}), sent.WithLabelValues(kindExchange)}},
		peers:  map[string]*peer{},
		relays: map[string]relay{},
		sizes:  map[string]reportedSize{},
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
	g.config.Group.Go("cells", g.runCellStates)
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
	g.addPeers(addresses, nil)
}

// addPeers adds gateways with their data centres, as far as these are known.
func (g *Gossip) addPeers(addresses, dataCentres []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, a := range addresses {
		if k := g.addPeer(a); k != nil && len(dataCentres) == len(addresses) && dataCentres[i] != "" {
			k.dataCentre = dataCentres[i]
		}
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
	now := g.config.Now()
	k := &peer{
		added: now, lastMessage: now,
		client:          comfreyproto.NewGatewaysProtobufClient("http://"+address, g.http),
		datagramAddress: &net.UDPAddr{IP: ip, Port: g.config.DatagramPort},
	}
	g.peers[address] = k
	return k
}

// Layout returns the division of the fleet into cells. It consists of the
// gateways that have shown to be running; a seed may be out of date.
func (g *Gossip) Layout() comfreycell.Layout {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.currentLayout()
}

// currentLayout returns the layout, which it computes again every
// layoutInterval. The mutex must be held.
func (g *Gossip) currentLayout() comfreycell.Layout {
	now := g.config.Now()
	if !g.layoutAt.IsZero() && now.Sub(g.layoutAt) < layoutInterval {
		return g.layout
	}
	var others []comfreycell.Gateway
	for a, k := range g.peers {
		if !k.lastAlive.IsZero() {
			others = append(others, comfreycell.Gateway{
				Address: a, DataCentre: k.dataCentre, SilentFor: now.Sub(k.lastAlive), AliveFor: now.Sub(k.aliveSince),
			})
		}
	}
	sizes := map[string]int{}
	for c, s := range g.sizes {
		if now.Sub(s.reportedAt) < peerExpiry {
			sizes[c] = s.gateways
		}
	}
	self := comfreycell.Gateway{Address: g.config.Address, DataCentre: g.config.DataCentre, AliveFor: now.Sub(g.started)}
	g.layout, g.layoutAt = comfreycell.New(self, others, sizes), now
	return g.layout
}

// placementTargets returns the gateways that placements are sent to: those of
// the own cell, and new ones that have not shown to be running. The mutex must be
// held.
func (g *Gossip) placementTargets() []*net.UDPAddr {
	var l []*net.UDPAddr
	layout := g.currentLayout()
	for _, a := range layout.Members() {
		if k := g.peers[a]; k != nil {
			l = append(l, k.datagramAddress)
		}
	}
	now := g.config.Now()
	isLarge := layout.FleetSize() > comfreycell.MaxMembers
	for _, k := range g.peers {
		limit := introductionTime
		if isLarge && k.dataCentre != "" && k.dataCentre != g.config.DataCentre {
			limit = remoteIntroductionTime
		}
		if k.lastAlive.IsZero() && now.Sub(k.added) < limit {
			l = append(l, k.datagramAddress)
		}
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

// markAlive records a sign of life of a gateway. The mutex must be held.
func (g *Gossip) markAlive(k *peer, dataCentre string) {
	k.lastMessage = g.config.Now()
	if k.lastAlive.IsZero() {
		k.aliveSince = k.lastMessage
	}
	k.lastAlive = k.lastMessage
	if dataCentre != "" {
		k.dataCentre = dataCentre
	}
}
