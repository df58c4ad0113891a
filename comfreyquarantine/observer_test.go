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

// testFeatures returns features of a request.
func testFeatures(names ...string) []Fingerprint {
	var l []Fingerprint
	for _, n := range names {
		l = append(l, testFingerprint(n))
	}
	return l
}

// testCrash returns the record of a crash in which some features were suspects.
func testCrash(host string, at time.Time, names ...string) CrashRecord {
	var s []Suspect
	for _, f := range testFeatures(names...) {
		s = append(s, Suspect{Fingerprint: f})
	}
	return CrashRecord{Crash: CrashID{host, 1, 1}, Expiry: at.Add(defaultRetention), Suspects: mergeSuspects(s)}
}

// anyTrial allows all trials.
var anyTrial = TrialConditions{
	IsElected:  func(Fingerprint, time.Duration) bool { return true },
	IsInFlight: func(Fingerprint) bool { return false },
}

// TestBrokenConnectionAloneIsNoCrash checks that a lost request becomes a suspect
// only with evidence that its upstream has ended, and only if that comes soon.
func TestBrokenConnectionAloneIsNoCrash(t *testing.T) {
	u := Upstream{"i-1", 7}
	o := NewObserver(0)
	if _, ok := o.Lose(testStart, o.Start(u, testFeatures("a"))); ok {
		t.Error("a broken connection to an upstream that runs: got a crash record")
	}
	if !o.HasLosses(u) || o.HasInFlight(u) {
		t.Error("expected a loss and nothing in flight")
	}
	b := o.Start(u, testFeatures("b"))
	r, ok := o.Crash(testStart.Add(time.Second), u)
	if !ok || len(r.Suspects) != 1 || r.Suspects[0].Fingerprint != testFingerprint("a") || r.Crash != (CrashID{"i-1", 7, 1}) {
		t.Errorf("expected a record of the lost request, got %+v", r)
	}
	// The connection of another request breaks after the crash was noticed.
	if r, ok = o.Lose(testStart.Add(2*time.Second), b); !ok || len(r.Suspects) != 1 || r.Suspects[0].Fingerprint != testFingerprint("b") {
		t.Errorf("expected a record of the request that was lost later, got %+v", r)
	}
	late := Upstream{"i-2", 7}
	o.Lose(testStart, o.Start(late, testFeatures("a")))
	if r, ok := o.Crash(testStart.Add(lossRetention), late); ok {
		t.Errorf("an end long after the loss: got a record %+v", r)
	}
}

// TestRestartIsACrashOfEarlierStarts checks that a later start of an upstream is
// evidence against the requests that were lost before.
func TestRestartIsACrashOfEarlierStarts(t *testing.T) {
	o := NewObserver(0)
	o.Lose(testStart, o.Start(Upstream{"i-1", 7}, testFeatures("a")))
	o.Lose(testStart, o.Start(Upstream{"i-2", 7}, testFeatures("b")))
	if l := o.Restart(testStart, Upstream{"i-1", 7}); len(l) != 0 {
		t.Errorf("the same start: got %+v", l)
	}
	l := o.Restart(testStart, Upstream{"i-1", 8})
	if len(l) != 1 || l[0].Suspects[0].Fingerprint != testFingerprint("a") {
		t.Errorf("a later start: expected a record of the request at i-1, got %+v", l)
	}
}

// TestRequestThatHasRunIsAnUnlikelyCause checks that the record of a crash marks the
// features of requests that have run shortly before, here or at another process.
func TestRequestThatHasRunIsAnUnlikelyCause(t *testing.T) {
	u := Upstream{"i-1", 1}
	o := NewObserver(0)
	o.RecordRun(testStart, testFeatures("popular"))
	o.RecordRun(testStart.Add(-10*time.Second), testFeatures("old"))
	o.Lose(testStart, o.Start(u, testFeatures("popular", "old")))
	o.Lose(testStart, o.Start(u, testFeatures("new")))
	r, _ := o.Crash(testStart.Add(time.Second), u)
	if l := r.possibleCauses(); len(l) != 2 || r.isPossibleCause(testFingerprint("popular")) {
		t.Errorf("expected the two features that have not run shortly before, got %d of %+v", len(l), r.Suspects)
	}
	l := o.WithRuns([]CrashRecord{testCrash("i-2", testStart.Add(time.Second), "popular")})
	if !l[0].Suspects[0].HasRun || !l[0].isPossibleCause(testFingerprint("popular")) {
		t.Errorf("a record without other suspects: expected a marked suspect that is a possible cause, got %+v", l)
	}
}

// TestStreamThatHasBegunIsAnUnlikelyCause replays an engine that crashes when a request
// begins to run, beside streams with the same first part: one that began shortly before
// and one that began long before, whose parts tell nothing.
func TestStreamThatHasBegunIsAnUnlikelyCause(t *testing.T) {
	u := Upstream{"i-1", 1}
	o := NewObserver(0)
	old, recent, cause := o.Start(u, testFeatures("old", "first", "rare")), o.Start(u, testFeatures("recent", "second")), o.Start(u, testFeatures("cause", "first", "rare", "crash"))
	now := testStart
	for id, began := range map[ExecutionID]time.Duration{old: -10 * time.Second, recent: -time.Second} {
		if _, isProven := o.RecordOutput(now.Add(began), id); isProven {
			t.Error("the first output: expected an unproven request")
		}
		first, isProven := o.RecordOutput(now.Add(began+provenAfter), id)
		if !isProven || !first.Equal(now.Add(began)) {
			t.Errorf("output for %v: expected a request proven since its first output, got %t, %v", provenAfter, isProven, first)
		}
		if _, isProven = o.RecordOutput(now.Add(began+2*provenAfter), id); isProven {
			t.Error("a proven request: expected to be told once")
		}
	}
	o.RecordOutput(now, cause)
	if o.IsInFlight(testFingerprint("old")) || !o.IsInFlight(testFingerprint("crash")) {
		t.Error("in flight and unproven: expected the request with the cause alone")
	}
	for _, id := range []ExecutionID{old, recent, cause} {
		o.Lose(now, id)
	}
	r, _ := o.Crash(now, u)
	for name, want := range map[string]bool{"old": false, "recent": false, "second": false, "first": true, "rare": true, "crash": true, "cause": true} {
		if got := r.isPossibleCause(testFingerprint(name)); got != want {
			t.Errorf("possible cause %s: expected %t, got %t", name, want, got)
		}
	}
}

// TestRecordOfManyFeaturesIsKept replays a crash beside requests whose prompts have so
// many parts that the table would ignore the record: it keeps the likely causes.
func TestRecordOfManyFeaturesIsKept(t *testing.T) {
	u := Upstream{"i-1", 1}
	o, table := NewObserver(0), NewTable(Config{})
	for i := range 20 {
		var names []string
		for j := range 64 {
			names = append(names, fmt.Sprint(i, "-", j))
		}
		id := o.Start(u, testFeatures(names...))
		if i > 0 {
			o.RecordOutput(testStart.Add(-time.Second), id)
			o.RecordOutput(testStart, id)
		}
		o.Lose(testStart, id)
	}
	r, _ := o.Crash(testStart, u)
	if table.Merge(testStart, []CrashRecord{r}) != 1 {
		t.Fatalf("a record of %d suspects was ignored", len(r.Suspects))
	}
	for j := range 64 {
		if !r.isPossibleCause(testFingerprint(fmt.Sprint(0, "-", j))) {
			t.Fatalf("feature %d of the request that had not run is no possible cause", j)
		}
	}
}
