package comfreyfleet_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyfleet"
)

func tracker(now time.Time, hosts ...string) *comfreyfleet.Tracker {
	var s []comfreyfleet.Member
	for _, h := range hosts {
		s = append(s, comfreyfleet.Member{Host: h, Service: "generations"})
	}
	t := comfreyfleet.NewTracker(comfreyfleet.TrackerConfig{})
	t.Update(comfreyfleet.NewView(1, now, s))
	return t
}

// TestFailedConnectionDoesNotExcludeUpstream checks that only failures on new
// connections remove an upstream from the candidates.
func TestFailedConnectionDoesNotExcludeUpstream(t *testing.T) {
	now := time.Unix(1000, 0)
	r := tracker(now, "a", "b")
	r.Suspect(now, "a", comfreyfleet.EvidenceConnectionSilent)
	if n := len(r.Candidates(now, "generations")); n != 2 {
		t.Errorf("%d candidates after a failed connection", n)
	}
	if s := r.DueProbes(now); len(s) != 1 || s[0].Host != "a" {
		t.Errorf("probes after a failed connection: %v", s)
	}
	r.Suspect(now, "a", comfreyfleet.EvidenceDialFailed)
	if s := r.Candidates(now, "generations"); len(s) != 1 || s[0].Host != "b" {
		t.Errorf("candidates after a failed dial: %v", s)
	}
	if s := r.DueProbes(now); len(s) != 0 {
		t.Errorf("probes before the back-off has passed: %v", s)
	}
	now = now.Add(time.Second)
	if s := r.DueProbes(now); len(s) != 1 {
		t.Errorf("probes after the back-off: %v", s)
	}
	r.Observe(now, "a", comfreyfleet.Status{Incarnation: 1, Accepting: true})
	if n := len(r.Candidates(now, "generations")); n != 2 {
		t.Errorf("%d candidates after a received status", n)
	}
	r.Suspect(now, "a", comfreyfleet.EvidenceDialFailed)
	r.Suspect(now, "b", comfreyfleet.EvidenceProbeSilent)
	if n := len(r.Candidates(now, "generations")); n != 2 {
		t.Errorf("%d candidates with all upstreams suspected", n)
	}
}

func TestStatusMergeIsOrderIndependent(t *testing.T) {
	now := time.Unix(1000, 0)
	for i := range *seeds / 10 {
		r := rand.New(rand.NewPCG(*seed+i, 7))
		var statuses []comfreyfleet.Status
		for range 1 + r.IntN(8) {
			statuses = append(statuses, comfreyfleet.Status{Incarnation: comfreyfleet.Incarnation(r.IntN(3)), Accepting: r.IntN(2) == 0})
		}
		a, b := tracker(now, "x"), tracker(now, "x")
		for _, w := range statuses {
			a.Observe(now, "x", w)
		}
		for _, k := range r.Perm(len(statuses)) {
			b.Observe(now, "x", statuses[k])
			b.ObserveIndirect("x", statuses[0])
		}
		if a.Leaving("x") != b.Leaving("x") {
			t.Fatalf("seed %d: %v: the result depends on the order of arrival", *seed+i, statuses)
		}
	}
}

func TestOlderListIsIgnored(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	r := tracker(now, "a")
	leaving := comfreyfleet.Member{Host: "a", Service: "generations", State: comfreyfleet.StateLeaving}
	r.Update(comfreyfleet.NewView(3, now, []comfreyfleet.Member{leaving}))
	if r.Update(comfreyfleet.NewView(2, now, []comfreyfleet.Member{leaving.WithState(comfreyfleet.StateLive)})) || !r.Leaving("a") {
		t.Error("an older host list was applied")
	}
	i := comfreyfleet.NewIncarnation(now.Add(-time.Hour), 0)
	r.Observe(now, "a", comfreyfleet.Status{Incarnation: i, Accepting: true})
	if !r.Leaving("a") {
		t.Error("a process older than the list was treated as its replacement")
	}
	i = comfreyfleet.NewIncarnation(now.Add(time.Second), 0)
	r.Observe(now, "a", comfreyfleet.Status{Incarnation: i, Accepting: true})
	if r.Leaving("a") {
		t.Error("the replacement of a process on a host listed as leaving gets no work")
	}
}
