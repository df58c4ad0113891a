package comfreydemo

import (
	"bufio"
	"bytes"
	"net/http"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyfakeengine"
)

// engineURL returns the address of engine i, past its sidecar.
func (f *Fleet) engineURL(i int) string {
	return f.upstreams[i]
}

// drainStream posts a body and reads the answer to its end. It returns the time
// to the first byte of the answer and the count of events.
func drainStream(b *testing.B, c *http.Client, url string, body []byte) (first time.Duration, events int) {
	r, err := http.NewRequestWithContext(b.Context(), http.MethodPost, url+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+SampleKey)
	began := time.Now()
	resp, err := c.Do(r)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	s := bufio.NewReaderSize(resp.Body, 4096)
	for {
		line, err := s.ReadSlice('\n')
		if bytes.HasPrefix(line, []byte("data: ")) {
			if events == 0 {
				first = time.Since(began)
			}
			events++
		}
		if err != nil {
			return first, events
		}
	}
}

// processTime returns the CPU time of this process.
func processTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// benchmarkStreams runs 32 streams of 2,000 tokens at 10 ms a token, and
// reports CPU and allocations a token for the whole process.
func benchmarkStreams(b *testing.B, url string, streams, tokens int) {
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streams}}
	defer c.CloseIdleConnections()
	// Each stream has a body of its own, because copies of one request wait for
	// each other.
	var bodies [][]byte
	sum := 0
	for i := range streams {
		bodies = append(bodies, lengthBody(b, tokens+i, true))
		sum += tokens + i
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cpu := processTime(b)
	total := 0
	for b.Loop() {
		var wg sync.WaitGroup
		for i := range streams {
			wg.Go(func() { drainStream(b, c, url, bodies[i]) })
		}
		wg.Wait()
		total += sum
	}
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64((processTime(b)-cpu).Nanoseconds())/float64(total), "cpu-ns/token")
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/float64(total), "allocs/token")
}

// BenchmarkTokens compares streams straight from the engine with streams
// through a sidecar and a gateway. The difference of the two cases, halved, is
// the cost of one hop.
func BenchmarkTokens(b *testing.B) {
	f := startFleet(b, FleetConfig{Engines: 1, Applications: -1, Gateways: 1, Engine: comfreyfakeengine.Config{StepTime: 4 * time.Millisecond, CapacityTokens: 10_000_000}})
	b.Run("direct", func(b *testing.B) { benchmarkStreams(b, f.engineURL(0), 32, 500) })
	b.Run("relayed", func(b *testing.B) { benchmarkStreams(b, f.URL(0), 32, 500) })
}

// BenchmarkFirstToken compares the time to the first token of an idle engine
// with and without the system before it.
func BenchmarkFirstToken(b *testing.B) {
	f := startFleet(b, FleetConfig{Engines: 1, Applications: -1, Gateways: 1, Engine: comfreyfakeengine.Config{StepTime: time.Microsecond}})
	c := &http.Client{}
	defer c.CloseIdleConnections()
	body := lengthBody(b, 1, true)
	for _, x := range []struct{ name, url string }{{"direct", f.engineURL(0)}, {"relayed", f.URL(0)}} {
		b.Run(x.name, func(b *testing.B) {
			var s []time.Duration
			for b.Loop() {
				d, _ := drainStream(b, c, x.url, body)
				s = append(s, d)
			}
			slices.Sort(s)
			b.ReportMetric(float64(s[len(s)/2].Microseconds()), "median-us")
			b.ReportMetric(float64(s[len(s)*99/100].Microseconds()), "p99-us")
		})
	}
}
