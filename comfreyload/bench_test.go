package comfreyload_test

import (
	"context"
	"syscall"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreydemo"
	"comfreyridge.example/comfreyridge/comfreyfakeengine"
	"comfreyridge.example/comfreyridge/comfreygateway"
	"comfreyridge.example/comfreyridge/comfreyload"
)

// benchEngine is fast enough that the path to it is what counts.
var benchEngine = comfreyfakeengine.Config{
	StepTime:       10 * time.Millisecond,
	CapacityTokens: 1 << 30,
	MedianTokens:   1000,
}

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// measure streams b.N answers of at most 100 tokens, 20 at a time, and reports
// what all parts in this process took.
func measure(b *testing.B, gateway string) {
	cpu := cpuTime()
	r, err := comfreyload.Measure(context.Background(), comfreyload.Options{
		Gateways:  []string{gateway},
		Key:       comfreydemo.SampleKey,
		Service:   comfreydemo.GenerationService,
		Callers:   20,
		Requests:  b.N,
		MaxTokens: 100,
		Prompt:    "a",
	})
	if err != nil || r.Complete != b.N {
		b.Fatalf("%d of %d complete: %v, %v", r.Complete, b.N, r.Failures, err)
	}
	b.ReportMetric(float64((cpuTime()-cpu).Microseconds())/float64(r.Tokens), "cpu-µs/token")
	b.ReportMetric(float64(r.Tokens)/r.Took.Seconds(), "tokens/s")
	b.ReportMetric(float64(r.FirstToken.Quantile(0.5).Microseconds()), "first-p50-µs")
	b.ReportMetric(float64(r.InterToken.Quantile(0.99).Microseconds()), "inter-p99-µs")
}

// BenchmarkDirect calls an engine without the system between.
func BenchmarkDirect(b *testing.B) {
	e := comfreyfakeengine.New(benchEngine)
	defer e.Close()
	measure(b, serve(b, e))
}

// BenchmarkFleet calls one engine through a gateway and a sidecar. Its
// processor time less that of BenchmarkDirect is that of the two hops.
func BenchmarkFleet(b *testing.B) {
	f, err := comfreydemo.StartFleet(context.Background(), comfreydemo.FleetConfig{
		Engines:      1,
		Applications: -1,
		Gateways:     1,
		Engine:       benchEngine,
		Gateway:      comfreygateway.Config{DrainDelay: -1},
	})
	if err != nil {
		b.Fatal(err)
	}
	defer f.Stop()
	b.ResetTimer()
	measure(b, f.URL(0))
}
