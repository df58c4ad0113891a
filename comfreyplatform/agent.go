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

// ExchangeFunc sends a digest to a peer and returns the peer's.
type ExchangeFunc func(ctx context.Context, p comfreyconfig.Peer, d comfreyconfig.Digest) (comfreyconfig.Digest, error)

// FetchFunc asks a peer for blobs; the peer answers by Agent.Serve.
type FetchFunc func(ctx context.Context, p comfreyconfig.Peer, hashes []comfreyconfig.Hash) ([][]byte, error)

// AgentConfig configures an Agent. Node.Seed must differ between processes.
type AgentConfig struct {
	// Node configures the decisions.
	Node comfreyconfig.NodeConfig
	// Client reads from the platform.
	Client *Client
	// Exchange and Fetch talk to peers; nil means that there are none.
	Exchange ExchangeFunc
	Fetch    FetchFunc
	// Observe receives the actions ActionInForce, ActionHostList and
	// ActionReport, one at a time and in order; nil drops them. It must not
	// call Hear, Serve or Stats.
	Observe func(a comfreyconfig.Action)
	// Now is the clock; time.Now by default.
	Now func() time.Time
}

// snapshot is what readers see of the agent without waiting.
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

// Digest returns what to attach to messages to peers.
func (a *Agent) Digest() comfreyconfig.Digest {
	return a.current.Load().digest
}

// Settings returns the settings in force, and false if none are yet.
func (a *Agent) Settings() (comfreyconfig.Settings, bool) {
	s := a.current.Load()
	return s.settings, s.revision.Number > 0
}

// Revision returns the revision in force; its number is 0 if there is none.
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

// ObserveDigest takes in the digest that came with a message from a peer. Messages
// whose sender has no address that others can dial are left alone.
func (a *Agent) ObserveDigest(from comfreyconfig.Peer, d comfreyconfig.Digest) {
	a.step(func(n *comfreyconfig.Node, now time.Time) []comfreyconfig.Action { return n.Hear(now, from, d) })
}

// Serve returns the blobs that a peer asks for, as far as they are held.
func (a *Agent) Serve(hashes []comfreyconfig.Hash) [][]byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.node.Serve(hashes)
}

// Run keeps the configuration up to date until ctx ends. It is called once.
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

// runTimer calls Tick whenever something is due.
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

// minTick bounds how often the timer fires.
const minTick = 5 * time.Millisecond

func (a *Agent) untilNext() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return max(a.node.Next().Sub(a.config.Now()), minTick)
}

// step gives an event to the node and carries out the actions.
func (a *Agent) step(event func(n *comfreyconfig.Node, now time.Time) []comfreyconfig.Action) {
	a.mu.Lock()
	defer a.mu.Unlock()
	actions := event(a.node, a.config.Now())
	a.publish()
	for _, x := range actions {
		a.act(x)
	}
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// publish stores what readers see.
func (a *Agent) publish() {
	s := a.node.Store()
	a.current.Store(&snapshot{digest: a.node.Digest(), revision: s.Revision(), settings: s.Settings(), hosts: a.node.Hosts()})
}

// act carries out one action. Calls run in goroutines of their own; the node
// bounds how many are open.
func (a *Agent) act(x comfreyconfig.Action) {
	switch x.Kind {
	case comfreyconfig.ActionInForce, comfreyconfig.ActionHostList, comfreyconfig.ActionReport:
		a.config.Observe(x)
		return
	default:
	}
	if a.group == nil {
		return
	}
	a.group.Go("config-call", func(ctx context.Context) error {
		a.call(ctx, x)
		return nil
	})
}
