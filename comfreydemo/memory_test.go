package comfreydemo

import (
	"bufio"
	"bytes"
	"io/fs"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"testing/fstest"
	"time"

	"comfreyridge.example/comfreyridge/comfreyadmission"
	"comfreyridge.example/comfreyridge/comfreyconfig"
	"comfreyridge.example/comfreyridge/comfreyfakeengine"
	"comfreyridge.example/comfreyridge/comfreysidecar"
)

// openStreams is how many streams a gateway and a sidecar hold in the
// benchmark of their memory.
const openStreams = 300

// roomySettings returns the demo's settings with room for many streams.
func roomySettings(b *testing.B) comfreyconfig.Settings {
	m := fstest.MapFS{}
	for _, name := range []string{"10-services.yaml", "20-customers.yaml"} {
		x, err := fs.ReadFile(folder, "folder/"+name)
		if err != nil {
			b.Fatal(err)
		}
		x = bytes.ReplaceAll(x, []byte("concurrent-streams: 64"), []byte("concurrent-streams: 1000"))
		m[name] = &fstest.MapFile{Data: x}
	}
	f, err := comfreyconfig.LoadFolder(m)
	if err != nil {
		b.Fatal(err)
	}
	s, faults := comfreyconfig.Check(f)
	if len(faults) > 0 {
		b.Fatal(faults)
	}
	return s
}

// memoryOf returns the heap and the stacks in use after a collection, while
// the given number of streams is open and each has brought 20 events.
func memoryOf(b *testing.B, url string, streams int) uint64 {
	c := &http.Client{Transport: &http.Transport{}}
	defer c.CloseIdleConnections()
	body := lengthBody(b, 5000, true)
	var flowing, ended sync.WaitGroup
	flowing.Add(streams)
	closed := make(chan struct{})
	for range streams {
		ended.Go(func() {
			defer flowing.Done()
			r, err := http.NewRequestWithContext(b.Context(), http.MethodPost, url+"/v1/completions", bytes.NewReader(body))
			if err != nil {
				b.Error(err)
				return
			}
			r.Header.Set("Authorization", "Bearer "+SampleKey)
			resp, err := c.Do(r)
			if err != nil {
				b.Error(err)
				return
			}
			ended.Go(func() {
				<-closed
				_ = resp.Body.Close()
			})
			s := bufio.NewReaderSize(resp.Body, 4096)
			for range 20 * 3 {
				if _, err := s.ReadSlice('\n'); err != nil {
					b.Errorf("status %d: %v", resp.StatusCode, err)
					return
				}
			}
		})
	}
	flowing.Wait()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	close(closed)
	ended.Wait()
	return m.HeapInuse + m.StackInuse
}

// BenchmarkOpenStreams reports the memory that a gateway and a sidecar need for
// 300 open streams: that of the whole process with the streams relayed, less
// that with the same streams straight from the engine.
func BenchmarkOpenStreams(b *testing.B) {
	s := roomySettings(b)
	f := startFleet(b, FleetConfig{
		Engines: 1, Applications: -1, Gateways: 1,
		Settings: func() comfreyconfig.Settings { return s },
		Engine:   comfreyfakeengine.Config{StepTime: 20 * time.Millisecond, CapacityTokens: 100_000_000, BatchSize: 2 * openStreams},
		Sidecar:  comfreysidecar.Config{Admission: comfreyadmission.Config{Policy: comfreyadmission.PolicyGreedy, CapacityTokens: 100_000_000, MaxRunning: 2 * openStreams}},
	})
	for b.Loop() {
		direct := memoryOf(b, f.engineURL(0), openStreams)
		relayed := memoryOf(b, f.URL(0), openStreams)
		b.ReportMetric(float64(relayed)/(1<<20), "process-MB")
		b.ReportMetric((float64(relayed)-float64(direct))/(1<<20), "added-MB")
		b.ReportMetric((float64(relayed)-float64(direct))/openStreams/(1<<10), "added-KB/stream")
	}
}
