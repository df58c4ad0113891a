package comfreyreconciler_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyreconciler"
	"comfreyridge.example/comfreyridge/comfreyseed"
)

// rollout lets each host load a new model, of which it learns within 12 s, and
// returns when the loads were sent. With hasStaleHostLists the lists of some
// hosts lack the first host.
func rollout(r *rand.Rand, hosts int, loadsPerSecond float64, hasStaleHostLists bool) []time.Time {
	var names []string
	for i := range hosts {
		names = append(names, fmt.Sprintf("host-%03d", i))
	}
	var sent []time.Time
	for _, h := range names {
		list := names
		if hasStaleHostLists && r.IntN(2) == 0 {
			list = names[1:]
		}
		c := comfreyreconciler.NewReconciler(comfreyreconciler.Config{Incarnation: 1, IsFencingEnforced: true})
		c.SetLoadSchedule(comfreyreconciler.NewLoadSchedule(h, list, loadsPerSecond))
		c.SetDesiredState(1, comfreyreconciler.State{Model: "template"})
		c.RenewLease(1, start.Add(time.Hour))
		now := start.Add(time.Duration(r.Int64N(int64(12 * time.Second))))
		sent = append(sent, timeOfFirstLoad(c, now))
	}
	slices.SortFunc(sent, time.Time.Compare)
	return sent
}

// timeOfFirstLoad drives a reconciler until it sends its first command, and
// returns when that was.
func timeOfFirstLoad(r *comfreyreconciler.Reconciler, now time.Time) time.Time {
	for {
		switch a := r.Next(now); a.Kind {
		case comfreyreconciler.ActionReadBack:
			r.Observe(now, comfreyreconciler.Observation{})
		case comfreyreconciler.ActionSend:
			if r.BeginSend(now, a.Command) {
				return now
			}
		default:
			now = a.Until
		}
	}
}

// maxInWindow returns the largest number of times that lie within any window of
// the given length.
func maxInWindow(s []time.Time, window time.Duration) int {
	most, i := 0, 0
	for j := range s {
		for s[j].Sub(s[i]) >= window {
			i++
		}
		most = max(most, j-i+1)
	}
	return most
}

func TestRolloutStaysWithinWeightStoreRate(t *testing.T) {
	comfreyseed.Each(t, 50, func(t *testing.T, r *rand.Rand) {
		s := rollout(r, 60, 2, false)
		if n := maxInWindow(s, time.Second); n > 3 {
			t.Fatalf("%d loads start within a second, want at most 2 and the one in progress", n)
		}
		if d := s[len(s)-1].Sub(start); d > 42*time.Second {
			t.Fatalf("the last load starts after %s, want at most 12 s and one cycle of 30 s over all hosts", d)
		}
		if n := maxInWindow(rollout(r, 60, 2, true), time.Second); n > 5 {
			t.Fatalf("%d loads start within a second while host lists differ, want at most twice the rate", n)
		}
	})
}

func TestZeroRateAllowsNoLoads(t *testing.T) {
	r := comfreyreconciler.NewReconciler(comfreyreconciler.Config{Incarnation: 1, IsFencingEnforced: true})
	r.SetLoadSchedule(comfreyreconciler.NewLoadSchedule("a", []string{"a"}, 0))
	r.SetDesiredState(1, comfreyreconciler.State{Model: "template"})
	r.RenewLease(1, start.Add(time.Hour))
	r.Observe(start, comfreyreconciler.Observation{})
	if a := r.Next(start); a.Kind != comfreyreconciler.ActionWait {
		t.Errorf("action is %s, want wait", a.Kind)
	}
}

// BenchmarkRollout measures how long 900 upstreams take to load a model at 20
// loads per second, and the maximum number of loads that start within one
// second.
func BenchmarkRollout(b *testing.B) {
	most := 0
	var last time.Duration
	for i := range b.N {
		s := rollout(rand.New(rand.NewPCG(uint64(i+1), 0)), 900, 20, false)
		most = max(most, maxInWindow(s, time.Second))
		last = max(last, s[len(s)-1].Sub(start))
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(most), "most-loads/s")
	b.ReportMetric(last.Seconds(), "last-load-s")
}
