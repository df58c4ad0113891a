package comfreyquarantine_test

import (
	"testing"

	"comfreyridge.example/comfreyridge/comfreyquarantine"
)

// TestWitnessCountsCrashBeforeRelease replays this order: two copies of a
// request run at two upstreams, the first upstream crashes and restarts, and its
// sidecar asks for the next copy before its release of the crashed one arrives.
// The lease of the crashed execution must not admit another one, because the
// second upstream may crash too.
func TestWitnessCountsCrashBeforeRelease(t *testing.T) {
	now, f := start, fingerprint(1)
	first := comfreyquarantine.NewTable(comfreyquarantine.Config{Host: "first"})
	table := comfreyquarantine.NewTable(comfreyquarantine.Config{Host: "witness"})
	w := comfreyquarantine.NewWitness(comfreyquarantine.WitnessConfig{}, table)
	d := w.Acquire(now, f, "first")
	if d != comfreyquarantine.DecisionAllow {
		t.Fatalf("first upstream: got %v, want allow", d)
	}
	first.Start(f, d)
	if d := w.Acquire(now, f, "second"); d != comfreyquarantine.DecisionIsolate {
		t.Fatalf("second upstream: got %v, want isolate", d)
	}
	r, _ := first.RecordCrash(now)
	table.Merge(now, []comfreyquarantine.CrashRecord{r})
	if d := w.Acquire(now, f, "first"); d != comfreyquarantine.DecisionWait {
		t.Errorf("first upstream after its crash: got %v, want wait while the second one is at risk", d)
	}
	w.Release(now, f, "first", false)
	if d := w.Acquire(now, f, "first"); d != comfreyquarantine.DecisionWait {
		t.Errorf("first upstream after its release: got %v, want wait", d)
	}
	w.Release(now, f, "second", false)
	if d := w.Acquire(now, f, "first"); d != comfreyquarantine.DecisionIsolate {
		t.Errorf("first upstream after both releases: got %v, want isolate", d)
	}
}
