package comfreyconfig

import (
	"math/rand/v2"
	"time"
)

// NodeConfig configures a Node. The zero value gives a node that knows nobody
// and has the default timing.
type NodeConfig struct {
	// Self is this process.
	Self Peer
	// Seeds are processes to ask while no host list is known.
	Seeds []Peer
	// Timing holds the periods.
	Timing Timing
	// Seed makes the random choices; processes use different seeds.
	Seed uint64
}

// Node decides, for one process, when to talk to which peer or to the platform
// so that the newest valid revision comes into force. It does no input or
// output: events go in with the time, actions come out. A Node is not safe for
// concurrent use.
type Node struct {
	config    NodeConfig
	random    *rand.Rand
	store     *Store
	hosts     HostList
	peers     []Peer
	near      []Peer
	start     *start
	transfer  *transfer
	pending   *pending
	turn      turn
	exchange  time.Time
	retried   bool
	conflict  uint64
	reported  map[Hash]bool
	listFetch time.Time
	wanted    wantedList
	stats     Stats
}

// Stats counts what a node met since its start.
type Stats struct {
	// Activated counts revisions that came into force.
	Activated uint64
	// Stale counts answers of the platform with a number below the one in
	// force.
	Stale uint64
	// Conflicts counts distinct contents seen under a number in force.
	Conflicts uint64
	// Invalid counts revisions refused for their content.
	Invalid uint64
	// Corrupt counts manifests and blobs that did not fit their hashes.
	Corrupt uint64
	// PlatformCalls counts calls to the platform.
	PlatformCalls uint64
	// PlatformFailures counts calls to the platform without an answer.
	PlatformFailures uint64
	// Exchanges counts exchanges that this node began.
	Exchanges uint64
	// BlobBytes counts the bytes of blobs received from peers.
	BlobBytes uint64
}

// NewNode returns a node with nothing in force. Its first Tick starts it.
func NewNode(c NodeConfig) *Node {
	c.Timing = c.Timing.withDefaults()
	n := &Node{
		config:   c,
		random:   rand.New(rand.NewPCG(c.Seed, c.Seed^0x9e3779b97f4a7c15)),
		store:    NewStore(),
		reported: map[Hash]bool{},
	}
	n.setPeers(c.Seeds)
	return n
}

// Store returns the revision in force with its settings. Callers must not
// change it.
func (n *Node) Store() *Store {
	return n.store
}

// Hosts returns the newest host list.
func (n *Node) Hosts() HostList {
	return n.hosts
}

// Stats returns the counters.
func (n *Node) Stats() Stats {
	return n.stats
}

// Digest returns what to attach to messages.
func (n *Node) Digest() Digest {
	r := n.store.Revision()
	return Digest{Number: r.Number, Hash: r.Hash, HostsNumber: n.hosts.Number, HostsHash: n.hosts.Hash, Conflict: n.isConflict()}
}

// isConflict reports whether other content was seen under the number in force.
func (n *Node) isConflict() bool {
	return n.conflict > 0 && n.conflict == n.store.Revision().Number
}

// NextTick returns when Tick must be called at the latest.
func (n *Node) NextTick() time.Time {
	t := n.exchange
	earlier := func(u time.Time) {
		if u.Before(t) {
			t = u
		}
	}
	earlier(n.turn.next())
	if n.start != nil {
		earlier(n.start.deadline)
	}
	if n.transfer != nil {
		earlier(n.transfer.deadline)
	}
	if n.pending != nil {
		earlier(n.pending.next())
	}
	return t
}

// Tick does what is due at now. Calling it early does no harm.
func (n *Node) Tick(now time.Time) []Action {
	var a []Action
	if n.exchange.IsZero() {
		a = n.begin(now)
	}
	if n.transfer != nil && !now.Before(n.transfer.deadline) {
		n.transfer = nil
	}
	if !now.Before(n.exchange) {
		n.exchange = now.Add(n.jitter(n.config.Timing.ExchangeInterval))
		n.retried = false
		a = append(a, n.exchangeWith(n.pick(n.random.IntN(2) == 0))...)
	}
	a = append(a, n.tickStart(now)...)
	a = append(a, n.tickPending(now)...)
	return append(a, n.tickTurn(now)...)
}

// setPeers sets whom this node may talk to.
func (n *Node) setPeers(peers []Peer) {
	n.peers = peers
	n.near = nil
	for _, p := range peers {
		if p.DataCentre == n.config.Self.DataCentre {
			n.near = append(n.near, p)
		}
	}
}

// pick returns a random peer, of this data centre if near and if it has any.
func (n *Node) pick(near bool) Peer {
	s := n.peers
	if near && len(n.near) > 0 {
		s = n.near
	}
	if len(s) == 0 {
		return Peer{}
	}
	return s[n.random.IntN(len(s))]
}

// exchangeWith returns the action that exchanges digests with p.
func (n *Node) exchangeWith(p Peer) []Action {
	if p.Address == "" {
		return nil
	}
	n.stats.Exchanges++
	return []Action{{Kind: ActionExchange, Peer: p}}
}

// spread tells random peers, half of them near, what is in force.
func (n *Node) spread() []Action {
	var a []Action
	for i := range n.config.Timing.Fanout {
		a = append(a, n.exchangeWith(n.pick(i%2 == 0))...)
	}
	return a
}

// jitter returns a duration from 1/2 to 3/2 of d.
func (n *Node) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(n.random.Int64N(int64(d)+1))
}
