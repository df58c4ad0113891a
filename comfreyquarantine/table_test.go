package comfreyquarantine_test

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyquarantine"
	"comfreyridge.example/comfreyridge/comfreyseed"
)

var start = time.Unix(1764796800, 0)

func fingerprint(i int) comfreyquarantine.Fingerprint {
	return comfreyquarantine.NewFingerprint("al-jabal", "report", fmt.Append(nil, i))
}

func ExampleTable() {
	crashing, harmless := fingerprint(1), fingerprint(2)
	a := comfreyquarantine.NewTable(comfreyquarantine.Config{Host: "a", Incarnation: 1})
	a.Start(crashing, comfreyquarantine.DecisionAllow)
	a.Start(harmless, comfreyquarantine.DecisionAllow)
	r, _ := a.RecordCrash(start)

	b := comfreyquarantine.NewTable(comfreyquarantine.Config{Host: "b", Incarnation: 1})
	b.Merge(start, []comfreyquarantine.CrashRecord{r})
	fmt.Println(b.Decide(start, harmless), b.Suspicion(start, harmless).Weight)
	id := b.Start(harmless, comfreyquarantine.DecisionIsolate)
	fmt.Println(b.Decide(start, crashing))
	b.Finish(id, true)
	fmt.Println(b.Decide(start, harmless))

	b.Start(crashing, b.Decide(start, crashing))
	b.RecordCrash(start)
	fmt.Println(b.Decide(start, crashing))
	// Output:
	// isolate 0.5
	// wait
	// allow
	// refuse
}

func ExampleWitness() {
	w := comfreyquarantine.NewWitness(comfreyquarantine.WitnessConfig{}, comfreyquarantine.NewTable(comfreyquarantine.Config{}))
	f := fingerprint(1)
	fmt.Println(w.Acquire(start, f, "a"))
	fmt.Println(w.Acquire(start, f, "b"))
	fmt.Println(w.Acquire(start, f, "c"))
	w.Release(start, f, "a", true)
	fmt.Println(w.Acquire(start, f, "c"))
	// Output:
	// allow
	// isolate
	// wait
	// allow
}

func ExampleWitnessHosts() {
	hosts := []string{"a", "b", "c", "d"}
	fmt.Println(comfreyquarantine.WitnessHosts(fingerprint(1), hosts, 2))
	fmt.Println(comfreyquarantine.WitnessHosts(fingerprint(1), hosts, 9))
	// Output:
	// [c a]
	// [c a d b]
}

// records returns random versions of a few crash records.
func records(r *rand.Rand) []comfreyquarantine.CrashRecord {
	var s []comfreyquarantine.CrashRecord
	for range 2 + r.IntN(6) {
		t := comfreyquarantine.NewTable(comfreyquarantine.Config{Host: fmt.Sprint(r.IntN(2)), Incarnation: 1})
		var id comfreyquarantine.ExecutionID
		for range 1 + r.IntN(3) {
			id = t.Start(fingerprint(r.IntN(4)), comfreyquarantine.DecisionAllow)
		}
		if r.IntN(3) == 0 {
			t.Finish(id, false)
			t.Start(fingerprint(5), comfreyquarantine.DecisionIsolate)
		}
		t.RecordCrash(start.Add(time.Duration(r.IntN(3)) * time.Second))
		t.ClearSuspect(fingerprint(r.IntN(8)))
		s = append(s, t.GossipBatch(start, 1)...)
	}
	return s
}

func TestMergeIsCommutativeAndIdempotent(t *testing.T) {
	comfreyseed.Each(t, 2000, func(t *testing.T, r *rand.Rand) {
		s := records(r)
		a := comfreyquarantine.NewTable(comfreyquarantine.Config{})
		b := comfreyquarantine.NewTable(comfreyquarantine.Config{})
		a.Merge(start, s)
		for range 2 {
			r.Shuffle(len(s), func(i, j int) { s[i], s[j] = s[j], s[i] })
			for i := range s {
				b.Merge(start, s[i:i+1])
			}
		}
		if p, q := a.GossipBatch(start, 100), b.GossipBatch(start, 100); !reflect.DeepEqual(p, q) {
			t.Fatalf("merged in one order %v, in another %v", p, q)
		}
	})
}

func TestSameCrashCountsOnce(t *testing.T) {
	a := comfreyquarantine.NewTable(comfreyquarantine.Config{Host: "a", Incarnation: 1})
	a.Start(fingerprint(1), comfreyquarantine.DecisionAllow)
	a.Start(fingerprint(1), comfreyquarantine.DecisionAllow)
	r, _ := a.RecordCrash(start)
	a.Merge(start, []comfreyquarantine.CrashRecord{r, r})
	if p := a.Suspicion(start, fingerprint(1)); p.Crashes != 1 || p.Weight != 1 {
		t.Errorf("suspicion is %+v, want one crash of weight 1", p)
	}
	if _, ok := a.RecordCrash(start); ok {
		t.Error("a crash without requests in flight has a record")
	}
}

func TestRecordsAreBoundedAndExpire(t *testing.T) {
	a := comfreyquarantine.NewTable(comfreyquarantine.Config{Host: "a", MaxRecords: 2, Retention: time.Minute, MaxPushes: 3})
	for i := range 3 {
		a.Start(fingerprint(i), comfreyquarantine.DecisionAllow)
		a.RecordCrash(start.Add(time.Duration(i) * time.Second))
	}
	if d := a.Decide(start, fingerprint(0)); d != comfreyquarantine.DecisionAllow {
		t.Errorf("the oldest of three crash records is kept: decision is %s, want allow", d)
	}
	n := 0
	for range 5 {
		n += len(a.GossipBatch(start, 9))
	}
	if n != 6 {
		t.Errorf("two records are sent %d times in all, want 3 times each", n)
	}
	if d := a.Decide(start.Add(62*time.Second), fingerprint(2)); d != comfreyquarantine.DecisionAllow {
		t.Errorf("an expired record has an effect: decision is %s, want allow", d)
	}
	lateExpiry := comfreyquarantine.CrashRecord{Crash: comfreyquarantine.CrashID{Host: "b"}, Expiry: start.Add(time.Hour), Suspects: []comfreyquarantine.Suspect{{Fingerprint: fingerprint(7)}}}
	a.Merge(start, []comfreyquarantine.CrashRecord{lateExpiry})
	if d := a.Decide(start.Add(3*time.Minute), fingerprint(7)); d != comfreyquarantine.DecisionAllow {
		t.Errorf("a record of a process whose clock runs ahead does not expire: decision is %s, want allow", d)
	}
}

// A request that was started as an ordinary one can become a suspect while it
// is in flight. Other suspects must then wait, so that the next crash
// identifies the cause.
func TestRequestSuspectedAfterStartBlocksOtherSuspects(t *testing.T) {
	a := comfreyquarantine.NewTable(comfreyquarantine.Config{Host: "a", Incarnation: 1})
	b := comfreyquarantine.NewTable(comfreyquarantine.Config{Host: "b", Incarnation: 1})
	for i := range 2 {
		a.Start(fingerprint(i), comfreyquarantine.DecisionAllow)
	}
	b.Start(fingerprint(0), comfreyquarantine.DecisionAllow)
	r, _ := a.RecordCrash(start)
	b.Merge(start, []comfreyquarantine.CrashRecord{r})
	if d := b.Decide(start, fingerprint(1)); d != comfreyquarantine.DecisionWait {
		t.Errorf("decision is %s beside a request that became a suspect, want wait", d)
	}
	b.RecordCrash(start)
	if d := b.Decide(start, fingerprint(0)); d != comfreyquarantine.DecisionRefuse {
		t.Errorf("decision is %s on the only suspect of the second crash, want refuse", d)
	}
}

func TestWitnessExpiresLeases(t *testing.T) {
	w := comfreyquarantine.NewWitness(comfreyquarantine.WitnessConfig{LeaseDuration: time.Second}, comfreyquarantine.NewTable(comfreyquarantine.Config{}))
	f := fingerprint(1)
	w.Acquire(start, f, "a")
	w.Acquire(start, f, "b")
	w.Renew(start.Add(900*time.Millisecond), f, "b")
	w.Sweep(start.Add(time.Second))
	if d := w.Acquire(start.Add(time.Second), f, "c"); d != comfreyquarantine.DecisionIsolate {
		t.Errorf("decision is %s beside one lease, want isolate", d)
	}
	w.Sweep(start.Add(time.Minute))
	if w.LeasedRequests() != 0 {
		t.Errorf("%d requests have leases one minute after the last renewal, want none", w.LeasedRequests())
	}
}

func BenchmarkDecide(b *testing.B) {
	t := comfreyquarantine.NewTable(comfreyquarantine.Config{Host: "a"})
	for i := range 16 {
		for j := range 84 {
			t.Start(fingerprint(100*i+j), comfreyquarantine.DecisionAllow)
		}
		t.RecordCrash(start)
	}
	f := fingerprint(-1)
	b.ReportAllocs()
	for range b.N {
		t.Decide(start, f)
	}
}

func BenchmarkWitnessHosts(b *testing.B) {
	var hosts []string
	for i := range 900 {
		hosts = append(hosts, fmt.Sprintf("10.2.%d.%d:7000", i/256, i%256))
	}
	f := fingerprint(1)
	b.ReportAllocs()
	for range b.N {
		comfreyquarantine.WitnessHosts(f, hosts, 3)
	}
}

func BenchmarkAcquireAndRelease(b *testing.B) {
	w := comfreyquarantine.NewWitness(comfreyquarantine.WitnessConfig{}, comfreyquarantine.NewTable(comfreyquarantine.Config{}))
	s := make([]comfreyquarantine.Fingerprint, 1000)
	for i := range s {
		s[i] = fingerprint(i)
	}
	b.ReportAllocs()
	for i := range b.N {
		w.Acquire(start, s[i%1000], "a")
		w.Release(start, s[i%1000], "a", true)
	}
}
