package comfreyfakeengine_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyengine"
	"comfreyridge.example/comfreyridge/comfreyfakeengine"
)

// benchStreams is the number of concurrent streams of the benchmarks.
const benchStreams = 300

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// report states the rate and the processor time of n tokens.
func report(b *testing.B, n int, cpu time.Duration) {
	b.Helper()
	b.ReportMetric(float64(n)/b.Elapsed().Seconds(), "tokens/s")
	b.ReportMetric(float64(cpu.Microseconds())/float64(n), "cpu-µs/token")
}

// BenchmarkEngineAndClient streams b.N answers of 100 tokens over loopback at a
// step of 10 ms, 300 at a time; its processor time is that of the engine and of
// the client together.
func BenchmarkEngineAndClient(b *testing.B) {
	_, c := serve(b, comfreyfakeengine.Config{
		StepTime:       10 * time.Millisecond,
		CapacityTokens: 1 << 30,
		BatchSize:      benchStreams,
	})
	cpu := cpuTime()
	var left, tokens atomic.Int64
	left.Store(int64(b.N))
	var g sync.WaitGroup
	for range benchStreams {
		g.Go(func() {
			for left.Add(-1) >= 0 {
				tokens.Add(int64(answer(b, c, 100)))
			}
		})
	}
	g.Wait()
	report(b, int(tokens.Load()), cpuTime()-cpu)
}

// answer reads one answer and returns its tokens.
func answer(b *testing.B, c *comfreyengine.Client, length int) int {
	s, err := c.Start(context.Background(), request("r", length))
	if err != nil {
		b.Error(err)
		return 0
	}
	for {
		_, err := s.Next()
		if err != nil {
			if !errors.Is(err, io.EOF) {
				b.Error(err)
			}
			return s.Tokens()
		}
	}
}

// BenchmarkEngineAlone streams b.N tokens without a socket, in 300 streams, and
// leaves out everything but the engine's own work.
func BenchmarkEngineAlone(b *testing.B) {
	e := comfreyfakeengine.New(comfreyfakeengine.Config{CapacityTokens: 1 << 40, BatchSize: benchStreams})
	defer e.Close()
	b.ReportAllocs()
	cpu := cpuTime()
	e.Stall()
	n := b.N/benchStreams + 1
	var g sync.WaitGroup
	for range benchStreams {
		g.Go(func() {
			body := fmt.Sprintf(`{"prompt":"a","stream":true,"fake_length":%d}`, n)
			ask(b.Context(), e, "r", "", body)
		})
	}
	for e.Load().Waiting < benchStreams {
		runtime.Gosched()
	}
	b.ResetTimer()
	e.Resume()
	g.Wait()
	report(b, n*benchStreams, cpuTime()-cpu)
}
