package comfreygateway_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyproto"
	"comfreyridge.example/comfreyridge/comfreyrpc"
)

// restartingSidecar is a sidecar of a host whose process is restarted. It responds to each
// generation with one token.
type restartingSidecar struct {
	comfreyproto.Sidecar
	mu          sync.Mutex
	incarnation uint64
	leaving     bool
	absent      bool
	counter     uint64
	// toldLeaving is closed when a response has said that the process leaves.
	toldLeaving chan struct{}
}

func newRestartingSidecar(t *testing.T) (*restartingSidecar, string) {
	s := &restartingSidecar{incarnation: fakeSidecarIncarnation}
	m := http.NewServeMux()
	m.HandleFunc("POST "+comfreyrpc.PathStart, s.start)
	m.Handle(comfreyproto.SidecarPathPrefix, comfreyproto.NewSidecarServer(s))
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isAbsent() {
			panic(http.ErrAbortHandler)
		}
		m.ServeHTTP(w, r)
	}))
	t.Cleanup(h.Close)
	return s, h.Listener.Addr().String()
}

func (s *restartingSidecar) isAbsent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.absent
}

// load returns the load report of the current process. The caller must hold s.mu.
func (s *restartingSidecar) load() *comfreyproto.Load {
	if s.leaving && s.toldLeaving != nil {
		close(s.toldLeaving)
		s.toldLeaving = nil
	}
	return &comfreyproto.Load{Incarnation: s.incarnation, Accepting: !s.leaving}
}

func (s *restartingSidecar) Report(context.Context, *comfreyproto.ReportRequest) (*comfreyproto.ReportReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &comfreyproto.ReportReply{Load: s.load()}, nil
}

func (s *restartingSidecar) start(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	s.mu.Lock()
	s.counter++
	c := connection{counter: s.counter, textPrefix: "g"}
	frames := []*comfreyproto.Frame{acceptedFrame(c), tokenFrame(c, 1), endFrame(c, 1)}
	if s.leaving {
		frames = []*comfreyproto.Frame{refusedFrame(c, 0)}
	}
	frames[0].Load = s.load()
	for _, f := range frames {
		f.Incarnation = s.incarnation
	}
	s.mu.Unlock()
	for _, f := range frames {
		if !send(f)(w, r) {
			return
		}
	}
}

// leave begins a planned stop and returns when a gateway knows it.
func (s *restartingSidecar) leave(t *testing.T) {
	t.Helper()
	told := make(chan struct{})
	s.mu.Lock()
	s.leaving, s.toldLeaving = true, told
	s.mu.Unlock()
	select {
	case <-told:
	case <-time.After(10 * time.Second):
		t.Fatal("expected the gateway to learn that the sidecar leaves")
	}
}

// restart ends the process and starts the next one after the given time.
func (s *restartingSidecar) restart(away time.Duration) {
	s.mu.Lock()
	s.absent = true
	s.mu.Unlock()
	time.Sleep(away)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.absent, s.leaving = false, false
	s.incarnation++
}

// TestRollingRestartThatFollowsReadiness restarts the two sidecars of a service in turn, each
// shortly after the other is ready again. It guards against a gateway that finds a returned
// sidecar only after the other one has left, and refuses callers meanwhile.
func TestRollingRestartThatFollowsReadiness(t *testing.T) {
	// noticeTime is the time between the readiness of one sidecar and the stop of the other.
	const noticeTime = time.Second
	cases := map[string]struct {
		away   time.Duration
		rounds int
	}{
		"short":  {100 * time.Millisecond, 6},
		"longer": {4 * time.Second, 2},
	}
	for name, x := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first, firstAddress := newRestartingSidecar(t)
			second, secondAddress := newRestartingSidecar(t)
			url := startGateway(t, patientTimeout, firstAddress, secondAddress)
			ctx, stop := context.WithCancel(t.Context())
			var load sync.WaitGroup
			load.Go(func() {
				for ctx.Err() == nil {
					if r := sendRequest(t, url, name, true); !r.Complete {
						t.Errorf("expected a response, got %+v", r.Error)
						return
					}
					time.Sleep(5 * time.Millisecond)
				}
			})
			for i := range x.rounds {
				s := []*restartingSidecar{first, second}[i%2]
				s.leave(t)
				time.Sleep(50 * time.Millisecond) // The gateway applies the report.
				s.restart(x.away)
				time.Sleep(noticeTime)
			}
			stop()
			load.Wait()
		})
	}
}
