package comfreyfleet_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyfleet"
)

func hostsOf(s []comfreyfleet.Member) string {
	var hosts []string
	for _, m := range s {
		hosts = append(hosts, m.Host)
	}
	return strings.Join(hosts, " ")
}

// TestAbsentUpstreamOfScarceServiceIsDue guards against a service that loses its last candidate
// while an upstream that has returned waits for its probe.
func TestAbsentUpstreamOfScarceServiceIsDue(t *testing.T) {
	now := time.Unix(1000, 0)
	r := tracker(now, "a", "b", "c")
	check := func(state, want string) {
		t.Helper()
		if got := hostsOf(r.Scarce()); got != want {
			t.Errorf("%s: got %q, want %q", state, got, want)
		}
	}
	check("all are candidates", "")
	r.Observe(now, "b", comfreyfleet.Status{Incarnation: 1})
	check("two candidates are left", "")
	for range 5 {
		r.Suspect(now, "a", comfreyfleet.EvidenceProbeSilent)
	}
	check("one candidate is left", "a b")
	r.Suspect(now, "c", comfreyfleet.EvidenceDialFailed)
	check("no candidate is left", "a b c")
	r.Observe(now, "b", comfreyfleet.Status{Incarnation: 2, Accepting: true})
	check("a new process has started", "a c")
	r.Observe(now, "a", comfreyfleet.Status{Incarnation: 1, Accepting: true})
	check("two candidates again", "")
}

// TestProbeTurns checks that probes without a response hold no more than the limit, and that each
// host gets its turn.
func TestProbeTurns(t *testing.T) {
	var s []comfreyfleet.Member
	for i := range 7 {
		s = append(s, comfreyfleet.Member{Host: fmt.Sprintf("h%d", i)})
	}
	var p comfreyfleet.ProbeTurns
	for _, want := range []string{"h0 h1 h2", "h3 h4 h5", "h6 h0 h1"} {
		started := p.Start(s, 3)
		if got := hostsOf(started); got != want {
			t.Fatalf("got %q, want %q", got, want)
		}
		if again := p.Start(s, 3); len(again) > 0 {
			t.Fatalf("got %q above the limit", hostsOf(again))
		}
		for _, m := range started {
			p.End(m.Host)
		}
	}
	held := p.Start(s, 1)
	if got := hostsOf(p.Start(s[2:3], 2)); got != "" {
		t.Errorf("got a second probe of %q, in flight: %q", got, hostsOf(held))
	}
	if got := p.Start(nil, 3); len(got) > 0 {
		t.Errorf("got %q, want no host", hostsOf(got))
	}
}
