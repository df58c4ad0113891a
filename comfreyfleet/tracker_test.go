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

func TestDeadConnectionIsNotDeadUpstream(t *testing.T) {
	now := time.Unix(1000, 0)
	r := tracker(now, "a", "b")
	r.Suspect(now, "a", comfreyfleet.EvidenceConnectionSilent)
	if n := len(r.Candidates(now, "generations")); n != 2 {
		t.Errorf("%d candidates after a dead connection", n)
	}
	if s := r.DueProbes(now); len(s) != 1 || s[0].Host != "a" {
		t.Errorf("trials after a dead connection: %v", s)
	}
	r.Suspect(now, "a", comfreyfleet.EvidenceDialFailed)
	if s := r.Candidates(now, "generations"); len(s) != 1 || s[0].Host != "b" {
		t.Errorf("candidates after a failed dial: %v", s)
	}
	if s := r.DueProbes(now); len(s) != 0 {
		t.Errorf("trials before the back-off has passed: %v", s)
	}
	now = now.Add(time.Second)
	if s := r.DueProbes(now); len(s) != 1 {
		t.Errorf("trials after the back-off: %v", s)
	}
	r.Observe(now, "a", comfreyfleet.Status{Incarnation: 1, Accepting: true})
	if n := len(r.Candidates(now, "generations")); n != 2 {
		t.Errorf("%d candidates after an answer", n)
	}
	r.Suspect(now, "a", comfreyfleet.EvidenceDialFailed)
	r.Suspect(now, "b", comfreyfleet.EvidenceProbeSilent)
	if n := len(r.Candidates(now, "generations")); n != 2 {
		t.Errorf("%d candidates with all suspected", n)
	}
}

func TestWordsJoinInAnyOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	for i := range *seeds / 10 {
		r := rand.New(rand.NewPCG(*seed+i, 7))
		var words []comfreyfleet.Status
		for range 1 + r.IntN(8) {
			words = append(words, comfreyfleet.Status{Incarnation: comfreyfleet.Incarnation(r.IntN(3)), Accepting: r.IntN(2) == 0})
		}
		a, b := tracker(now, "x"), tracker(now, "x")
		for _, w := range words {
			a.Observe(now, "x", w)
		}
		for _, k := range r.Perm(len(words)) {
			b.Observe(now, "x", words[k])
			b.ObserveIndirect("x", words[0])
		}
		if a.Leaving("x") != b.Leaving("x") {
			t.Fatalf("seed %d: %v lead to different beliefs", *seed+i, words)
		}
	}
}

func TestOlderListIsRefused(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	r := tracker(now, "a")
	leaving := comfreyfleet.Member{Host: "a", Service: "generations", State: comfreyfleet.StateLeaving}
	r.Update(comfreyfleet.NewView(3, now, []comfreyfleet.Member{leaving}))
	if r.Update(comfreyfleet.NewView(2, now, []comfreyfleet.Member{leaving.WithState(comfreyfleet.StateLive)})) || !r.Leaving("a") {
		t.Error("an older list was taken")
	}
	i := comfreyfleet.NewIncarnation(now.Add(-time.Hour), 0)
	r.Observe(now, "a", comfreyfleet.Status{Incarnation: i, Accepting: true})
	if !r.Leaving("a") {
		t.Error("a process older than the list was taken for a replacement")
	}
	i = comfreyfleet.NewIncarnation(now.Add(time.Second), 0)
	r.Observe(now, "a", comfreyfleet.Status{Incarnation: i, Accepting: true})
	if r.Leaving("a") {
		t.Error("the replacement of a listed host gets no work")
	}
}
