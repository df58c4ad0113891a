package comfreyquarantine

import (
	"fmt"
	"testing"
	"time"
)

// TestSilentLossNeedsEvidence replays a host that stops responding with a request, which ends without
// a response. It guards against a request that is forgotten before the crash is known, and
// against one that counts as a cause although its upstream has not crashed.
func TestSilentLossNeedsEvidence(t *testing.T) {
	u := Upstream{"i-1", 7}
	evidence := map[string]func(o *Observer, now time.Time) int{
		"none": func(o *Observer, now time.Time) int { return len(o.SilentCrashes(now)) },
		"its registration lapses": func(o *Observer, now time.Time) int {
			_, ok := o.Crash(now, u)
			return map[bool]int{true: 1}[ok]
		},
		"it starts again": func(o *Observer, now time.Time) int { return len(o.Restart(now, Upstream{u.ID, 8})) },
		"it announced its end": func(o *Observer, now time.Time) int {
			o.Leave(now, u)
			return len(o.Restart(now, Upstream{u.ID, 8}))
		},
		"it lapses, and others there have output": func(o *Observer, now time.Time) int {
			id := o.Start(u, testFeatures("other"))
			o.Remove(now, u)
			o.RecordOutput(now.Add(time.Second), id)
			return len(o.SilentCrashes(now.Add(time.Hour)))
		},
		"it lapses, and others there are silent": func(o *Observer, now time.Time) int {
			o.Start(u, testFeatures("other"))
			o.Remove(now, u)
			return len(o.SilentCrashes(now.Add(silentEndPeriod)))
		},
		"it lapses, and another ends there": func(o *Observer, now time.Time) int {
			id := o.Start(u, testFeatures("other"))
			o.Remove(now, u)
			_, ok := o.Abandon(now, id)
			return map[bool]int{true: 1}[ok]
		},
		"the request has run elsewhere since": func(o *Observer, now time.Time) int {
			o.RecordRun(now.Add(-time.Second), testFeatures("a"))
			return len(o.Restart(now.Add(10*time.Second), Upstream{u.ID, 8}))
		},
		"long after": func(o *Observer, now time.Time) int {
			return len(o.Restart(now.Add(silentLossRetention), Upstream{u.ID, 8}))
		},
	}
	for name, want := range map[string]int{
		"none": 0, "its registration lapses": 1, "it starts again": 1, "it announced its end": 0, "it lapses, and others there have output": 0,
		"it lapses, and others there are silent": 1, "it lapses, and another ends there": 1, "the request has run elsewhere since": 0, "long after": 0,
	} {
		o := NewObserver(0)
		if _, ok := o.Abandon(testStart, o.Start(u, testFeatures("a"))); ok {
			t.Errorf("%s: got a record of a request without a response alone", name)
		}
		if got := evidence[name](o, testStart.Add(4*time.Second)); got != want {
			t.Errorf("%s: got %d records, want %d", name, got, want)
		}
	}
}

// TestSilentLossAfterEvidence replays requests that end after the crash of their upstream is
// known, or are in flight then.
func TestSilentLossAfterEvidence(t *testing.T) {
	o := NewObserver(0)
	u := Upstream{"i-1", 7}
	id := o.Start(u, testFeatures("a"))
	if l := o.Restart(testStart, Upstream{u.ID, 8}); len(l) != 1 || !l[0].IsSilent {
		t.Errorf("in flight at an earlier start: got %+v, want the record of a silent crash", l)
	}
	if _, ok := o.Abandon(testStart.Add(time.Second), id); !ok {
		t.Error("it ends later: got no record")
	}
	if l := o.MergeSilent(testStart.Add(time.Second), []CrashRecord{{Crash: CrashID{Host: u.ID, Incarnation: 7}, Suspects: []Suspect{{Fingerprint: testFingerprint("b")}}}}); len(l) != 1 {
		t.Errorf("another process has lost a request there: got %+v, want a record", l)
	}
}

// TestSilentLossesAreBounded guards against memory that grows with the requests that end
// without a response.
func TestSilentLossesAreBounded(t *testing.T) {
	o := NewObserver(0)
	u := Upstream{"i-1", 7}
	for i := range 10 * maxSilentLosses {
		o.Abandon(testStart, o.Start(u, testFeatures(fmt.Sprint(i))))
	}
	o.Expire(testStart)
	if n := len(o.losses[u]); n != maxSilentLosses || len(o.ranSince) != maxSilentLosses {
		t.Errorf("got %d losses and %d features, want %d", n, len(o.ranSince), maxSilentLosses)
	}
	if r := o.Silent(testStart); len(r) != 1 || len(r[0].Suspects) != maxSilentLosses || r[0].Crash.Number != 0 {
		t.Errorf("got %+v, want the latest as one record of no crash", r)
	}
	o.Expire(testStart.Add(silentLossRetention + time.Second))
	if len(o.losses) != 0 || len(o.ranSince) != 0 {
		t.Errorf("got %d losses and %d features long after, want none", len(o.losses), len(o.ranSince))
	}
}

// TestOutputShowsThatUpstreamRuns guards against requests of callers who leave that count as
// causes of a later crash, and against output of a later start that clears the cause.
func TestOutputShowsThatUpstreamRuns(t *testing.T) {
	for name, c := range map[string]struct {
		isLater bool
		after   time.Duration
		want    bool
	}{
		"output of an earlier request":               {false, time.Second, false},
		"output that was on its way":                 {false, 10 * time.Millisecond, true},
		"output of a later request, perhaps a start": {true, time.Second, true},
	} {
		o := NewObserver(0)
		u := Upstream{"i-1", 7}
		other := o.Start(u, testFeatures("other"))
		o.Abandon(testStart, o.Start(u, testFeatures("a")))
		if c.isLater {
			other = o.Start(u, testFeatures("other"))
		}
		o.RecordOutput(testStart.Add(c.after), other)
		if _, ok := o.Crash(testStart.Add(4*time.Second), u); ok != c.want {
			t.Errorf("%s: got a record %t, want %t", name, ok, c.want)
		}
	}
}

// TestSilentCrashesDuringHoldCount replays replicas that stopped responding in turn, whose crashes are
// known while the request is held back after the second one.
func TestSilentCrashesDuringHoldCount(t *testing.T) {
	for isSilent, want := range map[bool]int{false: 2, true: 3} {
		table := NewTable(Config{})
		for i := range 3 {
			r := testCrash(fmt.Sprint("i-", i), testStart.Add(time.Duration(i)*200*time.Millisecond), "a")
			r.IsSilent = isSilent
			table.Merge(testStart, []CrashRecord{r})
		}
		if a, _ := table.Assess(testStart.Add(time.Second), testFeatures("a")); a.Holds != want {
			t.Errorf("silent %t: got %d holds, want %d", isSilent, a.Holds, want)
		}
	}
}

// TestRetractedCrashHasNoSuspects guards against requests that are held back after the host of
// their replica was only cut off.
func TestRetractedCrashHasNoSuspects(t *testing.T) {
	table := NewTable(Config{})
	r := testCrash("i-1", testStart, "a", "b")
	table.Merge(testStart, []CrashRecord{r})
	if table.Retract(r.Crash) {
		t.Error("a crash in which a connection broke was retracted")
	}
	r = testCrash("i-2", testStart, "c")
	r.IsSilent = true
	table.Merge(testStart, []CrashRecord{r})
	if !table.Retract(r.Crash) || table.Retract(r.Crash) || table.Suspicion(testStart, testFingerprint("c")).Crashes != 0 {
		t.Error("got suspects of a crash that has not happened")
	}
}
