package comfreyquarantine

import (
	"fmt"
	"testing"
	"time"
)

var testStart = time.Unix(1_700_000_000, 0)

func testFingerprint(name string) Fingerprint {
	return NewFingerprint("customer", "service", []byte(name))
}

// TestBrokenConnectionAloneIsNoCrash checks that a lost request becomes a suspect
// only with evidence that its upstream has ended, and only if that comes soon.
func TestBrokenConnectionAloneIsNoCrash(t *testing.T) {
	u := Upstream{"i-1", 7}
	o := NewObserver(0)
	if _, ok := o.Lose(testStart, o.Start(u, testFingerprint("a"))); ok {
		t.Error("a broken connection to an upstream that runs: got a crash record")
	}
	if !o.HasLosses(u) || o.HasInFlight(u) {
		t.Error("expected a loss and nothing in flight")
	}
	b := o.Start(u, testFingerprint("b"))
	r, ok := o.Crash(testStart.Add(time.Second), u)
	if !ok || len(r.Suspects) != 1 || r.Suspects[0].Fingerprint != testFingerprint("a") || r.Crash != (CrashID{"i-1", 7, 1}) {
		t.Errorf("expected a record of the lost request, got %+v", r)
	}
	// The connection of another request breaks after the crash was noticed.
	if r, ok = o.Lose(testStart.Add(2*time.Second), b); !ok || len(r.Suspects) != 1 || r.Suspects[0].Fingerprint != testFingerprint("b") {
		t.Errorf("expected a record of the request that was lost later, got %+v", r)
	}
	late := Upstream{"i-2", 7}
	o.Lose(testStart, o.Start(late, testFingerprint("a")))
	if r, ok := o.Crash(testStart.Add(lossRetention), late); ok {
		t.Errorf("an end long after the loss: got a record %+v", r)
	}
}

// TestRestartIsACrashOfEarlierStarts checks that a later start of an upstream is
// evidence against the requests that were lost before.
func TestRestartIsACrashOfEarlierStarts(t *testing.T) {
	o := NewObserver(0)
	o.Lose(testStart, o.Start(Upstream{"i-1", 7}, testFingerprint("a")))
	o.Lose(testStart, o.Start(Upstream{"i-2", 7}, testFingerprint("b")))
	if l := o.Restart(testStart, Upstream{"i-1", 7}); len(l) != 0 {
		t.Errorf("the same start: got %+v", l)
	}
	l := o.Restart(testStart, Upstream{"i-1", 8})
	if len(l) != 1 || l[0].Suspects[0].Fingerprint != testFingerprint("a") {
		t.Errorf("a later start: expected a record of the request at i-1, got %+v", l)
	}
}

// TestTrialsOfASuspect replays a request that crashes each of its upstreams and is
// sent again every 100 ms: after the third crash it runs once within two minutes,
// and a harmless request that was near two crashes is cleared by its next run.
func TestTrialsOfASuspect(t *testing.T) {
	table, o := NewTable(Config{}), NewObserver(0)
	f := testFingerprint("crash")
	var crashes []time.Duration
	for d := time.Duration(0); d < 2*time.Minute; d += 100 * time.Millisecond {
		now := testStart.Add(d)
		decision, after := table.DecideTrial(now, f, o.IsInFlight)
		if decision != DecisionAllow {
			if after <= 0 {
				t.Fatalf("after %v: expected a delay with %v, got %v", d, decision, after)
			}
			continue
		}
		u := Upstream{fmt.Sprint("i-", len(crashes)), 1}
		o.Lose(now, o.Start(u, f))
		r, _ := o.Crash(now, u)
		table.Merge(now, []CrashRecord{r})
		crashes = append(crashes, d)
	}
	if len(crashes) != 4 || crashes[2]-crashes[1] < 2*time.Second || crashes[3]-crashes[2] < time.Minute {
		t.Errorf("expected four crashes, the third 2 s after the second and the fourth a minute later, got %v", crashes)
	}

	harmless := testFingerprint("harmless")
	isCopyInFlight := func(Fingerprint) bool { return true }
	for i := range 2 {
		table.Merge(testStart, []CrashRecord{{Crash: CrashID{fmt.Sprint("j-", i), 1, 1}, Expiry: testStart.Add(time.Hour), Suspects: []Suspect{{Fingerprint: harmless}}}})
	}
	if d, _ := table.DecideTrial(testStart.Add(time.Second), harmless, o.IsInFlight); d != DecisionRefuse {
		t.Errorf("a second after two crashes: expected %v, got %v", DecisionRefuse, d)
	}
	if d, _ := table.DecideTrial(testStart.Add(3*time.Second), harmless, isCopyInFlight); d != DecisionWait {
		t.Errorf("with a copy in flight: expected %v, got %v", DecisionWait, d)
	}
	if d, _ := table.DecideTrial(testStart.Add(3*time.Second), harmless, o.IsInFlight); d != DecisionAllow {
		t.Errorf("three seconds after two crashes: expected %v, got %v", DecisionAllow, d)
	}
	table.ClearSuspect(harmless)
	if d, _ := table.DecideTrial(testStart, harmless, isCopyInFlight); d != DecisionAllow {
		t.Errorf("after a run: expected %v, got %v", DecisionAllow, d)
	}
	for _, r := range table.RepeatedSuspects(testStart.Add(time.Second)) {
		if len(r.Suspects) != 1 || r.Suspects[0].Fingerprint != f {
			t.Errorf("repeated suspects: expected only the request that crashed several upstreams, got %+v", r)
		}
	}
}
