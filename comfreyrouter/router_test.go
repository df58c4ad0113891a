package comfreyrouter_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyfleet"
	"comfreyridge.example/comfreyridge/comfreyrouter"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// Choose must not return an excluded upstream or one that stopped accepting
// work, even if a hint of an older incarnation arrives late, and must find an
// upstream if any is eligible.
func TestChooseSkipsExcludedAndNonAcceptingUpstreams(t *testing.T) {
	policies := []comfreyrouter.Policy{
		comfreyrouter.PolicyFewChoices, comfreyrouter.PolicyRandom, comfreyrouter.PolicyLeastLoaded, comfreyrouter.PolicyProbePool,
	}
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 8))
		now := time.Unix(1000, 0)
		m := members(1+r.IntN(12), 1+r.IntN(3))
		c := comfreyrouter.New(comfreyrouter.Config{Policy: policies[seed%4], DataCentre: "centre-0", SubsetSize: 1 + r.IntN(4), Seed: seed})
		c.Update(now, m)
		stopped := map[string]bool{}
		for range 50 {
			now = now.Add(time.Duration(r.IntN(1000)) * time.Millisecond)
			forbidden := map[string]bool{}
			var excluded []string
			for _, b := range m {
				h := comfreyrouter.Hint{Incarnation: 1, Accepting: r.IntN(50) > 0, ExpectedWait: time.Duration(r.IntN(2)) * time.Second}
				c.Observe(now, b.Host, h)
				c.Observe(now, b.Host, comfreyrouter.Hint{Accepting: true}) // delayed, of an older incarnation
				stopped[b.Host] = stopped[b.Host] || !h.Accepting
				if r.IntN(3) == 0 {
					excluded = append(excluded, b.Host)
				}
				forbidden[b.Host] = stopped[b.Host] || slices.Contains(excluded, b.Host)
			}
			for _, prefix := range []uint64{0, 7} {
				d, err := c.Choose(now, comfreyrouter.Query{Service: "generations", PrefixHash: prefix, ExcludedHosts: excluded})
				if err == nil && forbidden[d.Host] {
					t.Fatalf("seed %d: chose %s, which stopped accepting work or is excluded", seed, d.Host)
				}
				none := !slices.ContainsFunc(m, func(b comfreyfleet.Member) bool { return !forbidden[b.Host] })
				if none != (err != nil) {
					t.Fatalf("seed %d: no eligible upstream: %t, but the error is %v", seed, none, err)
				}
			}
		}
	}
}

func TestProbesStayWithinRate(t *testing.T) {
	now := time.Unix(1000, 0)
	r := comfreyrouter.New(comfreyrouter.Config{DataCentre: "centre-0", ProbesPerSecond: 8})
	r.Update(now, members(900, 6))
	n := 0
	for range 600 {
		now = now.Add(100 * time.Millisecond)
		n += len(r.Probes(now))
	}
	if n < 470 || n > 480 {
		t.Errorf("%d probes in 60 s at 8 per second, want 470 to 480", n)
	}
	now = now.Add(time.Hour)
	if n := len(r.Probes(now)); n > 8 {
		t.Errorf("%d probes at once after a pause of one hour, want at most 8", n)
	}
}

func TestRetrierRetriesOnlySafeRequests(t *testing.T) {
	now := time.Unix(1000, 0)
	notRun := comfreyverdict.NotRun(comfreyverdict.ReasonLeaving, "")
	lost := comfreyverdict.MayHaveRun(comfreyverdict.ReasonConnectionLost, "")
	cases := []struct {
		name        string
		attempt     comfreyrouter.FailedAttempt
		shouldRetry bool
		reason      comfreyverdict.Reason
	}{
		{"not run", comfreyrouter.FailedAttempt{Attempts: 1, Err: notRun}, true, comfreyverdict.ReasonLeaving},
		{"may have run", comfreyrouter.FailedAttempt{Attempts: 1, Err: lost}, false, comfreyverdict.ReasonConnectionLost},
		{"idempotent", comfreyrouter.FailedAttempt{Attempts: 1, Err: lost, Idempotent: true}, true, comfreyverdict.ReasonConnectionLost},
		{"delivered", comfreyrouter.FailedAttempt{Attempts: 1, Err: lost, Idempotent: true, ResponseStarted: true}, false, comfreyverdict.ReasonConnectionLost},
		{"no attempts left", comfreyrouter.FailedAttempt{Attempts: 3, Err: notRun}, false, comfreyverdict.ReasonLeaving},
		{"deadline has passed", comfreyrouter.FailedAttempt{Attempts: 1, Err: notRun, Deadline: now}, false, comfreyverdict.ReasonDeadline},
		{"bad request", comfreyrouter.FailedAttempt{Attempts: 1, Err: comfreyverdict.NotRun(comfreyverdict.ReasonBadRequest, "")}, false, comfreyverdict.ReasonBadRequest},
		{"budget exhausted", comfreyrouter.FailedAttempt{Attempts: 1, Err: notRun}, false, comfreyverdict.ReasonRetryBudget},
	}
	r := comfreyrouter.NewRetrier(comfreyrouter.RetrierConfig{})
	for range 23 {
		r.Budget().RecordRequest(now)
	}
	for _, c := range cases {
		n := r.Decide(now, c.attempt)
		if n.ShouldRetry != c.shouldRetry || n.Reason != c.reason {
			t.Errorf("%s: should retry is %t for reason %s", c.name, n.ShouldRetry, n.Reason)
		}
	}
}
