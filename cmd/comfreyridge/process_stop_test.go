package main

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreycaller"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// processLoad sends streams and orders through the gateways that are ready, as
// a balancer would, until it is stopped.
type processLoad struct {
	f       *processFleet
	wg      sync.WaitGroup
	stopped atomic.Bool
	streams atomic.Int64
	orders  atomic.Int64
	broken  atomic.Bool
	ready   [2]atomic.Bool
}

const loadCallers = 4

func startProcessLoad(t testing.TB, f *processFleet) *processLoad {
	l := &processLoad{f: f}
	for i := range l.ready {
		l.ready[i].Store(true)
		l.wg.Go(func() {
			for !l.stopped.Load() {
				l.ready[i].Store(status(f.gateways[i].url+"/readyz") == http.StatusOK)
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	c := f.caller()
	for i := range loadCallers {
		l.wg.Go(func() {
			for !l.stopped.Load() {
				l.stream(t, c, l.pick(i))
			}
		})
		l.wg.Go(func() {
			for !l.stopped.Load() {
				l.order(t, c, l.pick(i))
			}
		})
	}
	return l
}

// pick returns a gateway that the balancer holds for ready.
func (l *processLoad) pick(i int) string {
	for !l.ready[i%2].Load() {
		i++
		time.Sleep(time.Millisecond)
	}
	return l.f.gateways[i%2].url
}

func (l *processLoad) stream(t testing.TB, c comfreycaller.Caller, gateway string) {
	r := c.Stream(context.Background(), gateway, lengthBody(60), "", nil)
	if !r.Complete || len(strings.Fields(r.Text)) != 60 {
		l.broken.Store(true)
		t.Errorf("a stream was cut off or refused at %s: %+v", gateway, r)
		time.Sleep(time.Second)
		return
	}
	l.streams.Add(1)
}

func (l *processLoad) order(t testing.TB, c comfreycaller.Caller, gateway string) {
	ticket, err := c.Mint(context.Background(), gateway, orderService)
	if err != nil {
		l.broken.Store(true)
		t.Errorf("no ticket from %s: %v", gateway, err)
		time.Sleep(time.Second)
		return
	}
	o := c.Order(context.Background(), http.MethodPut, gateway, orderService, ticket, []byte("slab"))
	if o.Error.Verdict != comfreyverdict.VerdictRan {
		l.broken.Store(true)
		t.Errorf("an order was lost at %s: %+v", gateway, o)
		time.Sleep(time.Second)
		return
	}
	l.orders.Add(1)
}

// waitMore waits until more of each kind of request have completed.
func (l *processLoad) waitMore(t testing.TB) {
	t.Helper()
	s, o := l.streams.Load(), l.orders.Load()
	eventually(t, "further requests complete", func() bool {
		return l.broken.Load() || (l.streams.Load() > s+8 && l.orders.Load() > o+8)
	})
}

func (l *processLoad) stop() {
	l.stopped.Store(true)
	l.wg.Wait()
}

func TestProcessesStoppedUnderLoad(t *testing.T) {
	t.Parallel()
	f := startProcesses(t, fleetOptions{})
	cases := []struct {
		name  string
		nodes []*node
	}{
		{"gateway", f.gateways[:1]},
		{"sidecar-of-engine", f.sidecars[:1]},
		{"sidecar-of-application", f.sidecars[2:3]},
		{"together", []*node{f.gateways[1], f.sidecars[1], f.sidecars[3]}},
	}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			l := startProcessLoad(t, f)
			l.waitMore(t)
			for _, n := range x.nodes {
				n.signal(t, syscall.SIGTERM)
			}
			for _, n := range x.nodes {
				if code := n.waitExit(t); code != 0 {
					t.Errorf("%s stopped with code %d", n.name, code)
				}
			}
			l.waitMore(t)
			l.stop()
			for _, n := range x.nodes {
				n.start(t)
			}
			f.waitReady()
		})
	}
}

func TestProcessesStoppedPastTheDrainLimit(t *testing.T) {
	t.Parallel()
	limit := []string{"--drain-limit", "200ms"}
	f := startProcesses(t, fleetOptions{sidecar: limit, gateway: limit})
	cases := map[string]func(e comfreycaller.Event) *node{
		"gateway": func(comfreycaller.Event) *node { return f.gateways[0] },
		"sidecar": func(e comfreycaller.Event) *node { return f.serving(e.ID) },
	}
	for name, stops := range cases {
		t.Run(name, func(t *testing.T) {
			var n *node
			r := f.caller().Stream(t.Context(), f.gateways[0].url, lengthBody(100000), "", atEvent(20, func(e comfreycaller.Event) {
				n = stops(e)
				n.signal(t, syscall.SIGTERM)
			}))
			if r.Complete || r.Error.Reason != comfreyverdict.ReasonDrainLimit || r.Error.Verdict != comfreyverdict.VerdictRan {
				t.Errorf("got %+v", r.Error)
			}
			checkTokens(t, r.Text, r.Tokens)
			if code := n.waitExit(t); code != 0 {
				t.Errorf("%s stopped with code %d", n.name, code)
			}
			n.start(t)
			f.waitReady()
		})
	}
}
