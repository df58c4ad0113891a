package comfreysidecar_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"comfreyridge.example/comfreyridge/comfreyconfig"
	"comfreyridge.example/comfreyridge/comfreydecision"
	"comfreyridge.example/comfreyridge/comfreydemo"
	"comfreyridge.example/comfreyridge/comfreyfakeengine"
	"comfreyridge.example/comfreyridge/comfreyproto"
	"comfreyridge.example/comfreyridge/comfreyrpc"
	"comfreyridge.example/comfreyridge/comfreysidecar"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

const (
	fleetKey = "sidecar-test-shared-key"
	host     = "host-0"
	owner    = "demo"
)

// harness is a sidecar with a fake engine as its upstream, and a client.
type harness struct {
	engine   *comfreyfakeengine.Engine
	sidecar  *comfreysidecar.Sidecar
	recorder *comfreydecision.Recorder
	client   *comfreyrpc.Client
	address  string
	stop     func()
}

func newRecorder() *comfreydecision.Recorder {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return comfreydecision.New(comfreydecision.Config{Process: "sidecar", Logger: logger})
}

// startHarness runs a sidecar and a fake engine until stop is called or the test
// ends.
func startHarness(t *testing.T, e comfreyfakeengine.Config, c comfreysidecar.Config) *harness {
	t.Helper()
	if e.StepTime == 0 {
		e.StepTime = time.Millisecond
	}
	b := &harness{engine: comfreyfakeengine.New(e), recorder: newRecorder(), client: comfreyrpc.NewClient(comfreyrpc.Key(fleetKey), nil)}
	upstream := httptest.NewServer(b.engine)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	settings := comfreydemo.EmbeddedSettings()
	c.Host, c.Service, c.Key, c.Listener, c.Upstream = host, comfreydemo.GenerationService, comfreyrpc.Key(fleetKey), l, upstream.URL
	c.Settings = func() comfreyconfig.Settings { return settings }
	c.Recorder = b.recorder
	b.sidecar = comfreysidecar.New(context.Background(), c)
	b.address = l.Addr().String()
	kill, end := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = b.sidecar.Run(context.Background(), kill) })
	b.stop = sync.OnceFunc(func() {
		b.client.Close()
		end()
		wg.Wait()
		_ = b.engine.Close()
		upstream.Close()
	})
	t.Cleanup(b.stop)
	return b
}

// startRequest returns a request for a generation of n output tokens.
func startRequest(id string, n int) *comfreyproto.StartRequest {
	body := fmt.Sprintf(`{"model":%q,"prompt":"Cut-out","stream":true,"fake_length":%d}`, comfreydemo.GenerationService, n)
	return &comfreyproto.StartRequest{RequestId: id, Customer: owner, Service: comfreydemo.GenerationService, Path: "/v1/completions", Body: []byte(body), TimeoutMillis: 60000, MaxTokens: uint32(n)}
}

func (b *harness) start(t *testing.T, r *comfreyproto.StartRequest) *comfreyrpc.Stream {
	t.Helper()
	s, err := b.client.Start(t.Context(), b.address, r)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// next returns a copy of the next frame that is not a heartbeat.
func next(t *testing.T, s *comfreyrpc.Stream) *comfreyproto.Frame {
	t.Helper()
	for {
		f := &comfreyproto.Frame{}
		if err := s.Read(f); err != nil {
			t.Fatal(err)
		}
		if f.Kind != comfreyproto.FrameKind_FRAME_KIND_HEARTBEAT {
			return f
		}
	}
}

// last reads a stream until its last frame and returns it.
func last(t *testing.T, s *comfreyrpc.Stream) *comfreyproto.Frame {
	t.Helper()
	for {
		f := next(t, s)
		if f.Kind != comfreyproto.FrameKind_FRAME_KIND_ACCEPTED && f.Kind != comfreyproto.FrameKind_FRAME_KIND_TOKENS {
			return f
		}
	}
}

// checkOutcome asserts the kind, verdict and reason of a last frame.
func checkOutcome(t *testing.T, f *comfreyproto.Frame, k comfreyproto.FrameKind, v comfreyverdict.Verdict, r comfreyverdict.Reason) {
	t.Helper()
	e := comfreyrpc.ErrorOf(f.Outcome)
	if f.Kind != k || e.Verdict != v || e.Reason != r {
		t.Errorf("got %v, %+v; want %v, %v, %v", f.Kind, e, k, v, r)
	}
}

// eventually waits up to 10 s until f returns true.
func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for range 2000 {
		if f() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("not within 10 s: %s", what)
}
