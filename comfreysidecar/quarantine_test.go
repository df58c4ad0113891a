package comfreysidecar_test

import (
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreydemo"
	"comfreyridge.example/comfreyridge/comfreyfakeengine"
	"comfreyridge.example/comfreyridge/comfreyfleet"
	"comfreyridge.example/comfreyridge/comfreyproto"
	"comfreyridge.example/comfreyridge/comfreyquarantine"
	"comfreyridge.example/comfreyridge/comfreysidecar"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// TestWaitingCopyKeepsNoLease checks that a request which waits for its copy at
// the same upstream, and is then cancelled, leaves no lease at the witness. The
// witness would otherwise take another upstream's copy for a suspect until the
// lease expires.
func TestWaitingCopyKeepsNoLease(t *testing.T) {
	b := startHarness(t, comfreyfakeengine.Config{}, comfreysidecar.Config{})
	running := startRequest("running", 1_000_000)
	first := b.start(t, running)
	f := next(t, first)
	waiting := startRequest("waiting", 1_000_000)
	waiting.TimeoutMillis = 300 // Several questions to the witness.
	last(t, b.start(t, waiting))
	if _, err := b.client.Sidecar(b.address).Cancel(t.Context(), &comfreyproto.CancelRequest{Customer: owner, Incarnation: f.Incarnation, Counter: f.Counter}); err != nil {
		t.Fatal(err)
	}
	last(t, first)
	p := comfreyquarantine.NewFingerprint(owner, running.Service, running.Body)
	ask := func(e comfreyproto.WitnessEvent) comfreyquarantine.Decision {
		r, err := b.sidecar.Witness(t.Context(), &comfreyproto.WitnessRequest{Event: e, Fingerprint: p[:], Host: "other"})
		if err != nil {
			t.Fatal(err)
		}
		return comfreyquarantine.Decision(r.Decision)
	}
	var d comfreyquarantine.Decision
	for range 20 { // The releases happen in the background.
		if d = ask(comfreyproto.WitnessEvent_WITNESS_EVENT_ASK); d == comfreyquarantine.DecisionAllow {
			return
		}
		ask(comfreyproto.WitnessEvent_WITNESS_EVENT_FAILED)
		time.Sleep(50 * time.Millisecond)
	}
	t.Errorf("another upstream's copy: got %v, want allow", d)
}

// TestSidecarWithoutHostListRefusesGenerations guards against sidecars that have
// just started and decide without a witness: two of them would each run a request
// that crashes engines, and a third run would follow before it is confirmed.
func TestSidecarWithoutHostListRefusesGenerations(t *testing.T) {
	b := startHarness(t, comfreyfakeengine.Config{}, comfreysidecar.Config{RequireHostList: true})
	if b.sidecar.Ready() == nil {
		t.Error("the sidecar is ready without a host list")
	}
	checkOutcome(t, last(t, b.start(t, startRequest("early", 5))), kindRefused, comfreyverdict.VerdictNotRun, comfreyverdict.ReasonNoConfiguration)
	b.sidecar.ObserveView(comfreyfleet.NewView(1, time.Now(), []comfreyfleet.Member{{Host: host, Service: comfreydemo.GenerationService, Address: b.address}}))
	if err := b.sidecar.Ready(); err != nil {
		t.Errorf("with a host list: %v", err)
	}
	if f := last(t, b.start(t, startRequest("later", 5))); f.Kind != kindEnd {
		t.Errorf("with a host list: got %v, want a complete generation", f)
	}
	if n := len(b.engine.Runs()); n != 1 {
		t.Errorf("the engine ran %d requests, want 1", n)
	}
}
