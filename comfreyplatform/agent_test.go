package comfreyplatform_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"comfreyridge.example/comfreyridge/comfreyconfig"
	"comfreyridge.example/comfreyridge/comfreydecision"
	"comfreyridge.example/comfreyridge/comfreyfakeplatform"
	"comfreyridge.example/comfreyridge/comfreygroup"
	"comfreyridge.example/comfreyridge/comfreyplatform"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// fastTiming is for tests that use the real clock. No test checks how long
// something takes.
var fastTiming = comfreyconfig.Timing{
	ExchangeInterval: 20 * time.Millisecond, SettlePeriod: 60 * time.Millisecond, WatchTimeout: 200 * time.Millisecond, RetryInterval: 20 * time.Millisecond,
}

// fleet runs agents with one fake platform. Peers call each other directly.
type fleet struct {
	t        *testing.T
	platform *comfreyfakeplatform.Platform
	url      string
	group    *comfreygroup.Group

	mu     sync.Mutex
	agents map[string]*comfreyplatform.Agent
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{t: t, platform: comfreyfakeplatform.New(), agents: map[string]*comfreyplatform.Agent{}}
	s := httptest.NewServer(f.platform)
	f.url = s.URL
	f.group = comfreygroup.New(context.Background())
	t.Cleanup(func() {
		f.group.Stop()
		if err := f.group.Wait(); err != nil {
			t.Error(err)
		}
		f.platform.SetSwitches(comfreyfakeplatform.Switches{Down: true})
		s.Close()
	})
	return f
}

func (f *fleet) peer(p comfreyconfig.Peer) (*comfreyplatform.Agent, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a, ok := f.agents[p.Address]
	if !ok {
		return nil, errors.New("connection refused")
	}
	return a, nil
}

// start starts an agent at an address.
func (f *fleet) start(address string, seed uint64, seeds ...string) *comfreyplatform.Agent {
	return f.startObserved(address, seed, nil, seeds...)
}

// startObserved starts an agent whose actions are passed to observe.
func (f *fleet) startObserved(address string, seed uint64, observe func(comfreyconfig.Action), seeds ...string) *comfreyplatform.Agent {
	self := comfreyconfig.Peer{Address: address, DataCentre: "ruwi"}
	n := comfreyconfig.NodeConfig{Self: self, Timing: fastTiming, Seed: seed}
	for _, s := range seeds {
		n.Seeds = append(n.Seeds, comfreyconfig.Peer{Address: s, DataCentre: "ruwi"})
	}
	a := comfreyplatform.NewAgent(comfreyplatform.AgentConfig{
		Node:    n,
		Client:  comfreyplatform.New(comfreyplatform.Config{URL: f.url}),
		Observe: observe,
		Exchange: func(_ context.Context, p comfreyconfig.Peer, d comfreyconfig.Digest) (comfreyconfig.Digest, error) {
			to, err := f.peer(p)
			if err != nil {
				return comfreyconfig.Digest{}, err
			}
			to.ObserveDigest(self, d)
			return to.Digest(), nil
		},
		Fetch: func(_ context.Context, p comfreyconfig.Peer, h []comfreyconfig.Hash) ([][]byte, error) {
			to, err := f.peer(p)
			if err != nil {
				return nil, err
			}
			return to.Serve(h), nil
		},
	})
	f.mu.Lock()
	f.agents[address] = a
	f.mu.Unlock()
	f.group.Go(address, a.Run)
	return a
}

// waitForRevision waits until the revision is active in every agent. It fails
// the test after a minute.
func (f *fleet) waitForRevision(number uint64, agents ...*comfreyplatform.Agent) {
	f.t.Helper()
	f.waitFor(fmt.Sprintf("revision %d active", number), func() bool {
		for _, a := range agents {
			if a.Revision().Number != number {
				return false
			}
		}
		return true
	})
}

func (f *fleet) waitFor(what string, ok func() bool) {
	f.t.Helper()
	for range 6000 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.t.Fatalf("timeout while waiting for: %s", what)
}

func folder(model string) comfreyconfig.Folder {
	return comfreyconfig.NewFolder(
		comfreyconfig.File{Name: "10-services.yaml", Content: []byte("services:\n  reports:\n")},
		comfreyconfig.File{Name: "15-upstreams.yaml", Content: []byte("upstreams:\n  reports:\n    model: " + model + "\n")},
	)
}

func TestAgentsApplyRevisionsAndHosts(t *testing.T) {
	f := newFleet(t)
	f.platform.Publish(folder("a"))
	a, b, c := f.start("a", 1, "b", "c"), f.start("b", 2, "a"), f.start("c", 3, "a")
	f.waitForRevision(1, a, b, c)
	f.platform.Publish(folder("b"))
	f.waitForRevision(2, a, b, c)
	s, ok := c.Settings()
	if u, _ := s.Upstream("reports"); !ok || u.Model != "b" {
		t.Errorf("got upstream %+v, want model b", u)
	}
	h := []comfreyconfig.Host{{Host: "x", Address: "x", Role: comfreyconfig.HostRoleSidecar, State: comfreyconfig.HostStateLeaving}}
	if err := f.platform.SetHosts(h); err != nil {
		t.Fatal(err)
	}
	f.waitFor("host list", func() bool {
		return len(a.Hosts().Hosts) == 1 && len(b.Hosts().Hosts) == 1 && len(c.Hosts().Hosts) == 1
	})
}

func TestAgentsKeepAndShareRevisionWhilePlatformIsDownOrStale(t *testing.T) {
	for name, w := range map[string]comfreyfakeplatform.Switches{
		"down":  {Down: true},
		"stale": {Stale: true},
		"slow":  {Slow: time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			f.platform.Publish(folder("a"))
			a := f.start("a", 1)
			f.waitForRevision(1, a)
			if w.Stale {
				f.platform.SetSwitches(w)
				f.platform.SetSwitches(comfreyfakeplatform.Switches{})
			}
			f.platform.SetSwitches(w)
			if w.Stale {
				f.platform.PublishRaw(2, folder("b"))
			}
			b := f.start("b", 2, "a")
			f.waitForRevision(1, a, b)
			f.platform.SetSwitches(comfreyfakeplatform.Switches{})
			f.platform.PublishRaw(3, folder("c"))
			f.waitForRevision(3, a, b)
		})
	}
}

func TestAgentRefusesInvalidAndConflictingRevisions(t *testing.T) {
	f := newFleet(t)
	f.platform.Publish(folder("a"))
	l := logrus.New()
	l.SetOutput(io.Discard)
	d := comfreydecision.New(comfreydecision.Config{Process: "a", Logger: l})
	a := f.startObserved("a", 1, comfreyplatform.RecordRevisions(d))
	f.waitForRevision(1, a)
	f.platform.PublishRaw(2, comfreyconfig.NewFolder(comfreyconfig.File{Name: "10-services.yaml", Content: []byte("services:\n  reports:\n    colour: red\n")}))
	f.waitFor("invalid revision", func() bool { return a.Stats().Invalid > 0 })
	f.platform.PublishRaw(1, folder("other"))
	f.waitFor("conflict", func() bool { return a.Stats().Conflicts > 0 && a.Digest().Conflict })
	f.platform.PublishRaw(3, folder("c"))
	f.waitForRevision(3, a)
	if a.Digest().Conflict {
		t.Error("the conflict is still reported after the next revision")
	}
	r := prometheus.NewPedanticRegistry()
	r.MustRegister(a.Collector())
	var reasons []comfreyverdict.Reason
	for _, x := range d.ForRequest("") {
		reasons = append(reasons, x.Reason)
	}
	want := []comfreyverdict.Reason{comfreyverdict.ReasonConfigTaken, comfreyverdict.ReasonConfigInvalid, comfreyverdict.ReasonConfigConflict, comfreyverdict.ReasonConfigTaken}
	if !slices.Equal(reasons, want) {
		t.Errorf("got decisions %v", reasons)
	}
	if m, err := r.Gather(); len(m) != 8 || err != nil {
		t.Errorf("got %d metrics, %v; want 8", len(m), err)
	}
}

func TestClientReportsMissingValues(t *testing.T) {
	f := newFleet(t)
	c := comfreyplatform.New(comfreyplatform.Config{URL: f.url})
	ctx := context.Background()
	if a := c.ReadManifest(ctx); !a.Failed {
		t.Errorf("empty platform: got %+v, want a failure", a)
	}
	if a := c.Blobs(ctx, []comfreyconfig.Hash{{1}}); !a.Failed || len(a.Blobs) != 0 {
		t.Errorf("unknown blob: got %+v, want a failure without blobs", a)
	}
	if a := c.WatchManifest(ctx, 0, time.Millisecond); a.Failed || !a.Unchanged {
		t.Errorf("watch without a change: got %+v, want unchanged", a)
	}
	if x := f.platform.Calls(); x.Reads != 2 || x.Watches != 1 || x.Hosts != 0 {
		t.Errorf("got calls %+v", x)
	}
}

// TestDigestBeforeRunLeavesAgentWithoutRevision guards against an agent that takes a
// call for open which it has not made, because a peer's message came before it ran, and
// gets the revision only when it gives up that call, after 30 s.
func TestDigestBeforeRunLeavesAgentWithoutRevision(t *testing.T) {
	f := newFleet(t)
	f.platform.Publish(folder("a"))
	a := comfreyplatform.NewAgent(comfreyplatform.AgentConfig{
		Node:   comfreyconfig.NodeConfig{Self: comfreyconfig.Peer{Address: "a", DataCentre: "ruwi"}, Timing: fastTiming, Seed: 1},
		Client: comfreyplatform.New(comfreyplatform.Config{URL: f.url}),
	})
	first := f.start("b", 2)
	f.waitForRevision(1, first)
	a.ObserveDigest(comfreyconfig.Peer{Address: "b", DataCentre: "ruwi"}, first.Digest())
	began := time.Now()
	f.group.Go("a", a.Run)
	f.waitForRevision(1, a)
	if took := time.Since(began); took > 15*time.Second {
		t.Errorf("expected the revision within a second, got it after %v", took)
	}
}
