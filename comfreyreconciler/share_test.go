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

// rollout lets hosts load a new model, of which they learn within 12 s, and
// returns when each load was sent. The lists of some hosts lack the first one.
func rollout(r *rand.Rand, hosts int, loadsPerSecond float64, hasLaggingLists bool) []time.Time {
	var names []string
	for i := range hosts {
		names = append(names, fmt.Sprintf("host-%03d", i))
	}
	var sent []time.Time
	for _, h := range names {
		list := names
		if hasLaggingLists && r.IntN(2) == 0 {
			list = names[1:]
		}
		m := comfreyreconciler.NewReconciler(comfreyreconciler.Config{Incarnation: 1, IsFencingEnforced: true})
		m.SetLoadSchedule(comfreyreconciler.NewLoadSchedule(h, list, loadsPerSecond))
		m.SetDesiredState(1, comfreyreconciler.State{Model: "template"})
		m.RenewLease(1, start.Add(time.Hour))
		now := start.Add(time.Duration(r.Int64N(int64(12 * time.Second))))
		sent = append(sent, firstLoad(m, now))
	}
	slices.SortFunc(sent, time.Time.Compare)
	return sent
}

// firstLoad drives a mover until it sends its first order.
func firstLoad(m *comfreyreconciler.Reconciler, now time.Time) time.Time {
	for {
		switch a := m.Next(now); a.Kind {
		case comfreyreconciler.ActionReadBack:
			m.Observe(now, comfreyreconciler.Observation{})
		case comfreyreconciler.ActionSend:
			if m.BeginSend(now, a.Command) {
				return now
			}
		default:
			now = a.Until
		}
	}
}

// mostWithin returns the largest number of times within any window.
func mostWithin(s []time.Time, window time.Duration) int {
	most, i := 0, 0
	for j := range s {
		for s[j].Sub(s[i]) >= window {
			i++
		}
		most = max(most, j-i+1)
	}
	return most
}

func TestRolloutKeepsTheRateOfTheWeightStore(t *testing.T) {
	comfreyseed.Each(t, 50, func(t *testing.T, r *rand.Rand) {
		s := rollout(r, 60, 2, false)
		if n := mostWithin(s, time.Second); n > 3 {
			t.Fatalf("%d loads start within a second, want at most 2 and the one under way", n)
		}
		if d := s[len(s)-1].Sub(start); d > 42*time.Second {
			t.Fatalf("the last load starts after %s, want at most 12 s and one turn of 30 s", d)
		}
		if n := mostWithin(rollout(r, 60, 2, true), time.Second); n > 5 {
			t.Fatalf("%d loads start within a second while lists differ, want at most twice the rate", n)
		}
	})
}

func TestShareOfNothingLoadsNothing(t *testing.T) {
	m := comfreyreconciler.NewReconciler(comfreyreconciler.Config{Incarnation: 1, IsFencingEnforced: true})
	m.SetLoadSchedule(comfreyreconciler.NewLoadSchedule("a", []string{"a"}, 0))
	m.SetDesiredState(1, comfreyreconciler.State{Model: "template"})
	m.RenewLease(1, start.Add(time.Hour))
	m.Observe(start, comfreyreconciler.Observation{})
	if a := m.Next(start); a.Kind != comfreyreconciler.ActionWait {
		t.Errorf("action is %s", a.Kind)
	}
}

// BenchmarkRollout measures how long 900 upstreams take to load a model at 20
// loads a second, and the most loads that start within one second.
func BenchmarkRollout(b *testing.B) {
	most := 0
	var last time.Duration
	for i := range b.N {
		s := rollout(rand.New(rand.NewPCG(uint64(i+1), 0)), 900, 20, false)
		most = max(most, mostWithin(s, time.Second))
		last = max(last, s[len(s)-1].Sub(start))
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(most), "most-loads/s")
	b.ReportMetric(last.Seconds(), "last-load-s")
}
