package comfreyrouter_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyfleet"
	"comfreyridge.example/comfreyridge/comfreyrouter"
)

// members returns n upstreams spread evenly over the given number of data
// centres.
func members(n, centres int) []comfreyfleet.Member {
	var s []comfreyfleet.Member
	for i := range n {
		s = append(s, comfreyfleet.Member{
			Host:       fmt.Sprintf("upstream-%03d", i),
			DataCentre: fmt.Sprintf("centre-%d", i%centres),
			Address:    fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
			Service:    "generations",
		})
	}
	return s
}

func router(now time.Time, c comfreyrouter.Config, m []comfreyfleet.Member) *comfreyrouter.Router {
	c.Gateway, c.DataCentre = "gateway-1", "centre-0"
	r := comfreyrouter.New(c)
	r.Update(now, m)
	for i, b := range m {
		r.Observe(now, b.Host, comfreyrouter.Hint{Accepting: true, Running: i % 20, UsedTokens: 100 * (i % 20), CapacityTokens: 2000})
	}
	return r
}

func BenchmarkChoose(b *testing.B) {
	now := time.Unix(1000, 0)
	idle := comfreyrouter.Hint{Accepting: true, Running: 10, UsedTokens: 1000, CapacityTokens: 2000}
	full := comfreyrouter.Hint{Accepting: true, Running: 20, UsedTokens: 2000, CapacityTokens: 2000, ExpectedWait: time.Second}
	run := func(name string, centres int, h comfreyrouter.Hint, c comfreyrouter.Config, q comfreyrouter.Query) {
		b.Run(name, func(b *testing.B) {
			r := router(now, c, members(900, centres))
			q.Service = "generations"
			b.ReportAllocs()
			for b.Loop() {
				c, err := r.Choose(now, q)
				if err != nil {
					b.Fatal(err)
				}
				r.Observe(now, c.Host, h)
			}
		})
	}
	run("few-choices", 6, idle, comfreyrouter.Config{}, comfreyrouter.Query{})
	run("excluded", 6, idle, comfreyrouter.Config{}, comfreyrouter.Query{ExcludedHosts: []string{"upstream-000", "upstream-006"}})
	run("prefix", 6, idle, comfreyrouter.Config{}, comfreyrouter.Query{PrefixHash: 7})
	run("prefix in one data centre of 900", 1, idle, comfreyrouter.Config{}, comfreyrouter.Query{PrefixHash: 7})
	run("all overloaded", 6, full, comfreyrouter.Config{}, comfreyrouter.Query{})
	run("least-loaded", 6, idle, comfreyrouter.Config{Policy: comfreyrouter.PolicyLeastLoaded}, comfreyrouter.Query{})
}

func BenchmarkObserve(b *testing.B) {
	now := time.Unix(1000, 0)
	r := router(now, comfreyrouter.Config{}, members(900, 6))
	h := comfreyrouter.Hint{Accepting: true, Running: 3, UsedTokens: 300, CapacityTokens: 2000}
	b.ReportAllocs()
	for b.Loop() {
		r.Observe(now, "upstream-450", h)
	}
}

func BenchmarkProbes(b *testing.B) {
	now := time.Unix(1000, 0)
	r := router(now, comfreyrouter.Config{}, members(900, 6))
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(125 * time.Millisecond)
		r.Probes(now)
	}
}

func BenchmarkUpdate(b *testing.B) {
	now := time.Unix(1000, 0)
	m := members(900, 6)
	r := router(now, comfreyrouter.Config{}, m)
	b.ReportAllocs()
	for b.Loop() {
		r.Update(now, m)
	}
}

func BenchmarkMemory(b *testing.B) {
	now := time.Unix(1000, 0)
	m := members(900, 6)
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		r := router(now, comfreyrouter.Config{}, m)
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(r)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/900, "B/member")
}
