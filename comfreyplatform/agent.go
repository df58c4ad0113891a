package comfreyplatform

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"comfreyridge.example/comfreyridge/comfreyconfig"
	"comfreyridge.example/comfreyridge/comfreygroup"
)

// ExchangeFunc sends a digest to a peer and returns the peer's digest.
type ExchangeFunc func(ctx context.Context, p comfreyconfig.Peer, d comfreyconfig.Digest) (comfreyconfig.Digest, error)

// FetchFunc requests blobs from a peer, which serves them with Agent.Serve. It
// limits the time for which the peer is silent.
type FetchFunc func(ctx context.Context, p comfreyconfig.Peer, hashes []comfreyconfig.Hash) ([][]byte, error)

// AgentConfig configures an Agent. Node.Seed must differ between processes.
type AgentConfig struct {
	// Node configures the node, which decides which calls to make and which
	// revision is active.
	Node comfreyconfig.NodeConfig
	// Client reads from the platform.
	Client *Client
	// Exchange and Fetch call peers; nil means that there are no peers.
	Exchange ExchangeFunc
	Fetch    FetchFunc
	// Observe receives the actions of the kinds ActionActivated,
	// ActionHostListChanged and ActionReportOutcome, one at a time and in order;
	// nil discards them. It must not call ObserveDigest, Serve or Stats, which
	// would deadlock.
	Observe func(a comfreyconfig.Action)
	// Now is the clock; time.Now by default.
	Now func() time.Time
}

// snapshot is the state of an agent that readers get without locking.
type snapshot struct {
	digest   comfreyconfig.Digest
	revision comfreyconfig.Revision
	settings comfreyconfig.Settings
	hosts    comfreyconfig.HostList
}

// Agent keeps the configuration of one process up to date. It is safe for
// concurrent use.
type Agent struct {
	config  AgentConfig
	wake    chan struct{}
	current atomic.Pointer[snapshot]

	mu    sync.Mutex
	node  *comfreyconfig.Node
	group *comfreygroup.Group
}

// NewAgent returns an agent; Run starts it.
func NewAgent(c AgentConfig) *Agent {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Observe == nil {
		c.Observe = func(comfreyconfig.Action) {}
	}
	a := &Agent{config: c, wake: make(chan struct{}, 1), node: comfreyconfig.NewNode(c.Node)}
	a.current.Store(&snapshot{settings: comfreyconfig.NewSettings()})
	return a
}

// Digest returns the digest to attach to messages to peers.
func (a *Agent) Digest() comfreyconfig.Digest {
	return a.current.Load().digest
}

// Settings returns the active settings, and false if no revision is active yet.
func (a *Agent) Settings() (comfreyconfig.Settings, bool) {
	s := a.current.Load()
	return s.settings, s.revision.Number > 0
}

// Revision returns the active revision; its number is 0 if there is none.
func (a *Agent) Revision() comfreyconfig.Revision {
	return a.current.Load().revision
}

// Hosts returns the newest host list; its number is 0 if there is none.
func (a *Agent) Hosts() comfreyconfig.HostList {
	return a.current.Load().hosts
}

// Stats returns the counters of the node.
func (a *Agent) Stats() comfreyconfig.Stats {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.node.Stats()
}

// ObserveDigest processes the digest that came with a message from a peer. It
// ignores messages whose sender has no address that other processes can dial.
func (a *Agent) ObserveDigest(from comfreyconfig.Peer, d comfreyconfig.Digest) {
	a.step(func(n *comfreyconfig.Node, now time.Time) []comfreyconfig.Action {
		return n.ObserveDigest(now, from, d)
	})
}

// Serve returns the requested blobs that this process holds.
func (a *Agent) Serve(hashes []comfreyconfig.Hash) [][]byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.node.RequestedBlobs(hashes)
}

// Run keeps the configuration up to date until ctx ends. It must be called only
// once.
func (a *Agent) Run(ctx context.Context) error {
	g := comfreygroup.New(ctx)
	a.mu.Lock()
	a.group = g
	a.mu.Unlock()
	g.Go("config-timer", a.runTimer)
	<-g.Context().Done()
	a.mu.Lock()
	a.group = nil
	a.mu.Unlock()
	if err := g.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// runTimer calls the node's Tick when its next event is due.
func (a *Agent) runTimer(ctx context.Context) error {
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			a.step(func(n *comfreyconfig.Node, now time.Time) []comfreyconfig.Action { return n.Tick(now) })
		case <-a.wake:
		}
		t.Reset(a.untilNext())
	}
}

// minTick is the shortest time between two ticks.
const minTick = 5 * time.Millisecond

func (a *Agent) untilNext() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return max(a.node.NextTick().Sub(a.config.Now()), minTick)
}

// step passes an event to the node and executes the resulting actions. Events before
// and after Run are ignored.
func (a *Agent) step(event func(n *comfreyconfig.Node, now time.Time) []comfreyconfig.Action) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.group == nil {
		return // The node would take calls for open that are not made.
	}
	actions := event(a.node, a.config.Now())
	a.publish()
	for _, x := range actions {
		a.execute(x)
	}
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// publish stores a new snapshot for readers.
func (a *Agent) publish() {
	s := a.node.Store()
	a.current.Store(&snapshot{digest: a.node.Digest(), revision: s.Revision(), settings: s.Settings(), hosts: a.node.Hosts()})
}

// execute executes one action. Each call runs in its own goroutine; the node
// limits how many are open.
func (a *Agent) execute(x comfreyconfig.Action) {
	switch x.Kind {
	case comfreyconfig.ActionActivated, comfreyconfig.ActionHostListChanged, comfreyconfig.ActionReportOutcome:
		a.config.Observe(x)
		return
	default:
	}
	a.group.Go("config-call", func(ctx context.Context) error {
		a.call(ctx, x)
		return nil
	})
}
