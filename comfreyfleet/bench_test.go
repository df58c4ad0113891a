package comfreyfleet_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyfleet"
)

const benchMembers = 900

func fleet(now time.Time) *comfreyfleet.Tracker {
	var s []comfreyfleet.Member
	for i := range benchMembers {
		s = append(s, comfreyfleet.Member{
			Host:       fmt.Sprintf("upstream-%03d", i),
			DataCentre: "centre-0",
			Address:    fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
			Service:    "generations",
		})
	}
	t := comfreyfleet.NewTracker(comfreyfleet.TrackerConfig{})
	t.Update(comfreyfleet.NewView(1, now, s))
	for _, m := range s {
		t.Observe(now, m.Host, comfreyfleet.Status{Incarnation: 1, Accepting: true})
	}
	return t
}

func BenchmarkCandidates(b *testing.B) {
	now := time.Unix(1000, 0)
	t := fleet(now)
	var s []comfreyfleet.Member
	b.ReportAllocs()
	for b.Loop() {
		s = t.AppendCandidates(s[:0], now, "generations")
	}
}

func BenchmarkMemory(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		t := fleet(time.Unix(1000, 0))
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(t)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/benchMembers, "B/member")
}
