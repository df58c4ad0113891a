package comfreyfakeengine_test

import (
	"errors"
	"fmt"
	"io"
	"runtime"
	"sync"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyengine"
	"comfreyridge.example/comfreyridge/comfreyfakeengine"
)

// manyStreams is the number of streams that one engine must stand.
const manyStreams = 300

// manyMemoryBytes bounds the heap and the stacks of the engine and of the
// client with that many open streams.
const manyMemoryBytes = 64 << 20

// memory returns the bytes of the heap and of the stacks.
func memory() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

func TestManyStreams(t *testing.T) {
	e, c := serve(t, comfreyfakeengine.Config{CapacityTokens: 20_000})
	e.Stall()
	before := memory()
	var streams []*comfreyengine.Stream
	for i := range manyStreams {
		streams = append(streams, start(t, c, request(fmt.Sprint("r", i), 200)))
	}
	grown := memory() - before
	t.Logf("%d bytes for each of %d streams", grown/manyStreams, manyStreams)
	if grown > manyMemoryBytes {
		t.Errorf("%d open streams take %d bytes", manyStreams, grown)
	}
	e.Resume()
	var g sync.WaitGroup
	for i, s := range streams {
		g.Go(func() {
			if err := read(t, s); !errors.Is(err, io.EOF) || s.Tokens() != 200 {
				t.Errorf("stream %d ended with %v after %d tokens", i, err, s.Tokens())
			}
		})
	}
	g.Wait()
	if e.Load().Preemptions == 0 {
		t.Error("no generation was preempted")
	}
}

func TestNoGoroutineStaysBehind(t *testing.T) {
	before := runtime.NumGoroutine()
	t.Run("abandoned streams", func(t *testing.T) {
		e, c := serve(t, comfreyfakeengine.Config{StepTime: time.Millisecond, Linger: time.Hour})
		for i := range 20 {
			s := start(t, c, request(fmt.Sprint("r", i), 90_000))
			next(t, s, i)
			_ = s.Close()
		}
		e.Crash(0)
	})
	for runtime.NumGoroutine() > before {
		time.Sleep(time.Millisecond)
	}
}
