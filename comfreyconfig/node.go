package comfreyconfig

import (
	"math/rand/v2"
	"time"
)

// NodeConfig configures a Node. The zero value configures a node without peers
// and with the default timing.
type NodeConfig struct {
	// Self is this process.
	Self Peer
	// Seeds are peers to contact in addition to those of the host list, and
	// while no host list is known.
	Seeds []Peer
	// Timing holds the intervals and timeouts.
	Timing Timing
	// Seed seeds the random number generator; each process uses a different
	// seed.
	Seed uint64
}

// Node decides, for one process, when to contact which peer or the platform so
// that the newest valid revision becomes active. It does no input or output:
// callers pass events with the current time, and carry out the actions that are
// returned. A Node is not safe for concurrent use.
type Node struct {
	config           NodeConfig
	random           *rand.Rand
	store            *Store
	hosts            HostList
	peers            []Peer
	localPeers       []Peer
	startup          *startupState
	transfer         *transfer
	pending          *pending
	watchTurn        turnState
	nextExchange     time.Time
	exchangeRetried  bool
	conflictNumber   uint64
	reportedHashes   map[Hash]bool
	hostListDeadline time.Time
	requestedHosts   hostListRequest
	stats            Stats
}

// Stats are the counters of a node since its start.
type Stats struct {
	// Activated counts revisions that became active.
	Activated uint64
	// Stale counts manifests from the platform with a number below that of the
	// active or the pending revision.
	Stale uint64
	// Conflicts counts distinct contents seen under the number of another
	// revision, active or pending.
	Conflicts uint64
	// Invalid counts revisions refused for their content.
	Invalid uint64
	// Corrupt counts manifests, blobs and host lists that were malformed or
	// missing or did not match their hashes or numbers.
	Corrupt uint64
	// PlatformCalls counts calls to the platform.
	PlatformCalls uint64
	// PlatformFailures counts calls to the platform that failed or timed out.
	PlatformFailures uint64
	// Exchanges counts digest exchanges that this node initiated.
	Exchanges uint64
	// BlobBytes counts the bytes of blobs received from peers.
	BlobBytes uint64
}

// NewNode returns a node without an active revision. Its first Tick starts it.
func NewNode(c NodeConfig) *Node {
	c.Timing = c.Timing.withDefaults()
	n := &Node{
		config:         c,
		random:         rand.New(rand.NewPCG(c.Seed, c.Seed^0x9e3779b97f4a7c15)),
		store:          NewStore(),
		reportedHashes: map[Hash]bool{},
	}
	n.setPeers(c.Seeds)
	return n
}

// Store returns the store of the active revision and its settings. Callers must
// not change it.
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

// Digest returns the digest to attach to messages to peers.
func (n *Node) Digest() Digest {
	r := n.store.Revision()
	return Digest{Number: r.Number, Hash: r.Hash, HostsNumber: n.hosts.Number, HostsHash: n.hosts.Hash, Conflict: n.isConflict()}
}

// isConflict reports whether different content was seen under the number of the
// active revision.
func (n *Node) isConflict() bool {
	return n.conflictNumber > 0 && n.conflictNumber == n.store.Revision().Number
}

// NextTick returns the latest time at which Tick must be called.
func (n *Node) NextTick() time.Time {
	t := n.nextExchange
	earlier := func(u time.Time) {
		if u.Before(t) {
			t = u
		}
	}
	earlier(n.watchTurn.next())
	if n.startup != nil {
		earlier(n.startup.deadline)
	}
	if n.transfer != nil {
		earlier(n.transfer.deadline)
	}
	if n.pending != nil {
		earlier(n.pending.next())
	}
	return t
}

// Tick returns the actions that are due at now. Calling it before NextTick is
// safe.
func (n *Node) Tick(now time.Time) []Action {
	var a []Action
	if n.nextExchange.IsZero() {
		a = n.beginStartup(now)
	}
	if n.transfer != nil && !now.Before(n.transfer.deadline) {
		n.transfer = nil
	}
	if !now.Before(n.nextExchange) {
		n.nextExchange = now.Add(n.jitter(n.config.Timing.ExchangeInterval))
		n.exchangeRetried = false
		a = append(a, n.exchangeWith(n.randomPeer(n.random.IntN(2) == 0))...)
	}
	a = append(a, n.tickStartup(now)...)
	a = append(a, n.tickPending(now)...)
	return append(a, n.tickWatchTurn(now)...)
}

// setPeers sets the peers that this node may contact.
func (n *Node) setPeers(peers []Peer) {
	n.peers = peers
	n.localPeers = nil
	for _, p := range peers {
		if p.DataCentre == n.config.Self.DataCentre {
			n.localPeers = append(n.localPeers, p)
		}
	}
}

// randomPeer returns a random peer, one of this data centre if preferLocal is
// set and there is any. It returns the zero Peer if there are no peers.
func (n *Node) randomPeer(preferLocal bool) Peer {
	s := n.peers
	if preferLocal && len(n.localPeers) > 0 {
		s = n.localPeers
	}
	if len(s) == 0 {
		return Peer{}
	}
	return s[n.random.IntN(len(s))]
}

// exchangeWith returns the action that exchanges digests with p, or none if p
// is the zero Peer.
func (n *Node) exchangeWith(p Peer) []Action {
	if p.Address == "" {
		return nil
	}
	n.stats.Exchanges++
	return []Action{{Kind: ActionExchange, Peer: p}}
}

// exchangeWithRandomPeers exchanges digests with Timing.Fanout random peers,
// half of them in this data centre.
func (n *Node) exchangeWithRandomPeers() []Action {
	var a []Action
	for i := range n.config.Timing.Fanout {
		a = append(a, n.exchangeWith(n.randomPeer(i%2 == 0))...)
	}
	return a
}

// jitter returns a duration from 1/2 to 3/2 of d.
func (n *Node) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(n.random.Int64N(int64(d)+1))
}
