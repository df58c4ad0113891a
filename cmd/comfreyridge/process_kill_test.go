package main

import (
	"testing"

	"comfreyridge.example/comfreyridge/comfreycaller"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

func TestProcessesKilled(t *testing.T) {
	t.Parallel()
	f := startProcesses(t, fleetOptions{})
	t.Run("gateway", func(t *testing.T) { killGateway(t, f) })
	t.Run("sidecar", func(t *testing.T) { killSidecar(t, f) })
	t.Run("sidecar-before-first-token", func(t *testing.T) { killSidecarEarly(t, f) })
	t.Run("order-owner", func(t *testing.T) { killOwner(t, f) })
}

// killGateway kills the gateway of a running stream; the caller resumes at the
// other one.
func killGateway(t *testing.T, f *processFleet) {
	c := f.caller()
	g := f.gateways[0]
	first := c.Stream(t.Context(), g.url, lengthBody(300), "", atEvent(20, func(comfreycaller.Event) { g.kill(t) }))
	if first.Complete {
		t.Fatal("the answer ended before the gateway was killed")
	}
	second := c.Stream(t.Context(), f.gateways[1].url, nil, first.LastEventID, nil)
	if !second.Complete {
		t.Fatalf("got %+v", second)
	}
	checkTokens(t, first.Text+second.Text, 300)
	g.start(t)
	f.waitReady()
}

// killSidecar kills the sidecar of a running stream: the caller is told that
// the request ran, and new requests are served elsewhere.
func killSidecar(t *testing.T, f *processFleet) {
	c := f.caller()
	var victim *node
	r := c.Stream(t.Context(), f.gateways[0].url, lengthBody(300), "", atEvent(20, func(e comfreycaller.Event) {
		victim = f.serving(e.ID)
		victim.kill(t)
	}))
	if r.Complete || r.Error.Verdict != comfreyverdict.VerdictRan || r.Error.Reason != comfreyverdict.ReasonConnectionLost {
		t.Errorf("got %+v", r)
	}
	for _, g := range f.gateways {
		for range 5 {
			r := c.Stream(t.Context(), g.url, lengthBody(5), "", nil)
			if !r.Complete {
				t.Errorf("a new request at %s: %+v", g.name, r)
			}
			checkTokens(t, r.Text, 5)
		}
	}
	victim.start(t)
	f.waitReady()
}

// killSidecarEarly kills a sidecar whose request has no token yet: another
// upstream serves the request, and the caller sees nothing.
func killSidecarEarly(t *testing.T, f *processFleet) {
	for _, n := range f.engines {
		post(t, n.url+"/fake/stall")
	}
	before := [upstreamsOfKind]int{len(engineRuns(t, f.engines[0])), len(engineRuns(t, f.engines[1]))}
	results := make(chan comfreycaller.Result, 1)
	c := f.caller()
	go func() { results <- c.Stream(t.Context(), f.gateways[0].url, lengthBody(30), "", nil) }()
	victim := -1
	eventually(t, "an engine has the request", func() bool {
		for i, n := range f.engines {
			if len(engineRuns(t, n)) > before[i] {
				victim = i
			}
		}
		return victim >= 0
	})
	f.sidecars[victim].kill(t)
	for _, n := range f.engines {
		post(t, n.url+"/fake/resume")
	}
	r := <-results
	if !r.Complete || f.serving(r.LastEventID) == f.sidecars[victim] {
		t.Errorf("got %+v", r)
	}
	checkTokens(t, r.Text, 30)
	f.sidecars[victim].start(t)
	f.waitReady()
}

// killOwner kills the owner of an order's ticket: its new life neither runs the
// order nor says that it did not run.
func killOwner(t *testing.T, f *processFleet) {
	c := f.caller()
	ticket, err := c.Mint(t.Context(), f.gateways[0].url, orderService)
	if err != nil {
		t.Fatal(err)
	}
	if o := c.Order(t.Context(), "PUT", f.gateways[0].url, orderService, ticket, []byte("slab")); o.Error.Verdict != comfreyverdict.VerdictRan {
		t.Fatalf("got %+v", o)
	}
	n := f.ownerOf(ticket)
	n.kill(t)
	n.start(t)
	f.waitReady()
	for _, g := range f.gateways {
		o := c.Order(t.Context(), "PUT", g.url, orderService, ticket, []byte("slab"))
		if o.Error.Verdict != comfreyverdict.VerdictMayHaveRun {
			t.Errorf("at %s: got %+v", g.name, o)
		}
	}
	if n := f.orderRuns(ticket); n != 1 {
		t.Errorf("the order ran %d times", n)
	}
}
