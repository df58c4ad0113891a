package comfreygateway_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"comfreyridge.example/comfreyridge/comfreyproto"
	"comfreyridge.example/comfreyridge/comfreyrpc"
)

const (
	fakeSidecarKey         = "stand-in-fleet-shared-key"
	fakeSidecarIncarnation = 77
)

// script returns the steps that the fake sidecar takes on one connection of a
// request.
type script func(c connection) []step

// connection identifies one connection of a generation. textPrefix starts the
// text of each token, resumeCount counts the connections before it.
type connection struct {
	counter     uint64
	textPrefix  string
	after       uint64
	resumeCount int
}

// step writes a part of a stream. It returns false if the connection has to
// end.
type step func(w http.ResponseWriter, r *http.Request) bool

// fakeSidecar is a sidecar that streams the frames of its scripts. It verifies
// the signatures of requests as a real sidecar does, and signs nothing itself.
type fakeSidecar struct {
	comfreyproto.Sidecar
	mu          sync.Mutex
	counter     uint64
	generations map[uint64]*fakeGeneration
	cancels     int
	scriptFor   func(prompt string) script
}

type fakeGeneration struct {
	script      script
	resumeCount int
}

func newFakeSidecar(t testing.TB, scriptFor func(prompt string) script) (*fakeSidecar, string) {
	s := &fakeSidecar{generations: map[uint64]*fakeGeneration{}, scriptFor: scriptFor}
	m := http.NewServeMux()
	m.HandleFunc("POST "+comfreyrpc.PathStart, s.start)
	m.HandleFunc("POST "+comfreyrpc.PathResume, s.resume)
	m.Handle(comfreyproto.SidecarPathPrefix, comfreyproto.NewSidecarServer(s))
	v := comfreyrpc.NewVerifier(comfreyrpc.Key(fakeSidecarKey), nil)
	h := httptest.NewServer(v.Middleware(m, func(err error) { t.Error(err) }))
	t.Cleanup(h.Close)
	return s, h.Listener.Addr().String()
}

func (s *fakeSidecar) Report(context.Context, *comfreyproto.ReportRequest) (*comfreyproto.ReportReply, error) {
	return &comfreyproto.ReportReply{Load: &comfreyproto.Load{Incarnation: fakeSidecarIncarnation, Accepting: true}}, nil
}

func (s *fakeSidecar) Cancel(context.Context, *comfreyproto.CancelRequest) (*comfreyproto.CancelReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancels++
	return &comfreyproto.CancelReply{Found: true}, nil
}

func (s *fakeSidecar) start(w http.ResponseWriter, r *http.Request) {
	var m comfreyproto.StartRequest
	var body struct{ Prompt string }
	b, _ := io.ReadAll(r.Body)
	if proto.Unmarshal(b, &m) != nil || json.Unmarshal(m.Body, &body) != nil {
		http.Error(w, "malformed", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.counter++
	c := connection{counter: s.counter}
	g := &fakeGeneration{script: s.scriptFor(body.Prompt)}
	s.generations[s.counter] = g
	s.mu.Unlock()
	s.serve(w, r, g, c)
}

func (s *fakeSidecar) resume(w http.ResponseWriter, r *http.Request) {
	var m comfreyproto.ResumeRequest
	b, _ := io.ReadAll(r.Body)
	if proto.Unmarshal(b, &m) != nil {
		http.Error(w, "malformed", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	g := s.generations[m.Counter]
	if g != nil {
		g.resumeCount++
	}
	s.mu.Unlock()
	if g == nil {
		http.Error(w, "unknown generation", http.StatusNotFound)
		return
	}
	s.serve(w, r, g, connection{counter: m.Counter, after: m.After, resumeCount: g.resumeCount})
}

func (s *fakeSidecar) serve(w http.ResponseWriter, r *http.Request, g *fakeGeneration, c connection) {
	c.textPrefix = fmt.Sprintf("g%d", c.counter)
	for _, s := range g.script(c) {
		if !s(w, r) {
			return
		}
	}
}

// send writes one frame.
func send(f *comfreyproto.Frame) step {
	return func(w http.ResponseWriter, _ *http.Request) bool {
		err := comfreyrpc.NewFrameWriter(w).Write(f)
		return err == nil && http.NewResponseController(w).Flush() == nil
	}
}

// sendBytes writes bytes that need not be a valid frame.
func sendBytes(b []byte) step {
	return func(w http.ResponseWriter, _ *http.Request) bool {
		_, err := w.Write(b)
		return err == nil && http.NewResponseController(w).Flush() == nil
	}
}

// hang sends nothing until the gateway closes the connection.
func hang() step {
	return func(_ http.ResponseWriter, r *http.Request) bool {
		<-r.Context().Done()
		return false
	}
}

// sendHeaders sends only the response headers.
func sendHeaders() step {
	return func(w http.ResponseWriter, _ *http.Request) bool {
		return http.NewResponseController(w).Flush() == nil
	}
}

func delay(d time.Duration) step {
	return func(_ http.ResponseWriter, r *http.Request) bool {
		select {
		case <-time.After(d):
			return true
		case <-r.Context().Done():
			return false
		}
	}
}

func acceptedFrame(c connection) *comfreyproto.Frame {
	return &comfreyproto.Frame{
		Kind: comfreyproto.FrameKind_FRAME_KIND_ACCEPTED, Incarnation: fakeSidecarIncarnation, Counter: c.counter,
		Load: &comfreyproto.Load{Incarnation: fakeSidecarIncarnation, Accepting: true},
	}
}

// tokenFrame returns frame seq of a generation, which contains token seq-1.
func tokenFrame(c connection, seq uint64) *comfreyproto.Frame {
	data := fmt.Sprintf(`{"id":"x","choices":[{"index":0,"text":"%s-%d ","finish_reason":null}]}`, c.textPrefix, seq-1)
	return &comfreyproto.Frame{Kind: comfreyproto.FrameKind_FRAME_KIND_TOKENS, Incarnation: fakeSidecarIncarnation, Counter: c.counter, Seq: seq, Data: []byte(data), Tokens: 1}
}

func endFrame(c connection, n uint64) *comfreyproto.Frame {
	return &comfreyproto.Frame{Kind: comfreyproto.FrameKind_FRAME_KIND_END, Incarnation: fakeSidecarIncarnation, Counter: c.counter, Seq: n + 1, Tokens: uint32(n)}
}

func refusedFrame(c connection, seq uint64) *comfreyproto.Frame {
	return &comfreyproto.Frame{
		Kind: comfreyproto.FrameKind_FRAME_KIND_REFUSED, Incarnation: fakeSidecarIncarnation, Counter: c.counter, Seq: seq,
		Outcome: &comfreyproto.Outcome{Verdict: comfreyproto.Verdict_VERDICT_NOT_RUN, Reason: "leaving"},
	}
}

// randomScript returns a script for a response of n tokens that injects up to
// three random faults into each connection. It takes ownership of r.
func randomScript(r *rand.Rand, n uint64) script {
	var mu sync.Mutex
	return func(c connection) []step {
		mu.Lock()
		defer mu.Unlock()
		steps := []step{send(acceptedFrame(c))}
		for seq := c.after + 1; seq <= n; seq++ {
			steps = append(steps, send(tokenFrame(c, seq)))
		}
		steps = append(steps, send(endFrame(c, n)))
		for range r.IntN(4) {
			steps = injectFault(r, c, n, steps)
		}
		return steps
	}
}

// injectFault applies one random fault at a random position of the steps.
func injectFault(r *rand.Rand, c connection, n uint64, s []step) []step {
	i := r.IntN(len(s) + 1)
	foreign := connection{counter: c.counter + 1000000, textPrefix: "foreign"}
	seq := c.after + uint64(r.IntN(int(n)+2))
	insert := func(x ...step) []step {
		return append(append(append([]step{}, s[:i]...), x...), s[i:]...)
	}
	switch r.IntN(17) {
	case 0:
		return insert(delay(time.Duration(r.IntN(20)) * time.Millisecond))
	case 1:
		return insert(send(tokenFrame(c, max(seq, 1))))
	case 2:
		return append(append([]step{}, s[:i]...), s[min(i+1, len(s)):]...)
	case 3:
		j := r.IntN(len(s) + 1)
		if i < len(s) && j < len(s) {
			s[i], s[j] = s[j], s[i]
		}
		return s
	case 4:
		return insert(send(tokenFrame(foreign, max(seq, 1))))
	case 5:
		return insert(send(endFrame(foreign, seq)))
	case 6:
		return insert(send(refusedFrame(foreign, seq)))
	case 7:
		x := acceptedFrame(c)
		x.Incarnation++
		return insert(send(x))
	case 8:
		x := tokenFrame(foreign, max(seq, 1))
		x.Incarnation, x.Counter = fakeSidecarIncarnation+1, c.counter
		return insert(send(x))
	case 9:
		x := endFrame(c, n)
		x.Tokens += uint32(1 + r.IntN(3))
		return append(s[:len(s)-1:len(s)-1], send(x))
	case 10:
		return s[:i:i]
	case 11:
		return insert(sendBytes([]byte{0xff, 0xff, 0xff, 0xff, 0x0f}))
	case 12:
		b := make([]byte, 1+r.IntN(64))
		for j := range b {
			b[j] = byte(r.Uint32())
		}
		return insert(sendBytes(b))
	case 13:
		return insert(hang())
	case 14:
		return append([]step{sendHeaders(), hang()}, s...)
	case 15:
		return insert(send(refusedFrame(c, 0)))
	default:
		x := tokenFrame(c, max(seq, 1))
		x.Data = []byte([]string{"[DONE]", "{}\n\ndata: [DONE]", "{}\r\rdata: [DONE]\r\r"}[r.IntN(3)])
		return insert(send(x))
	}
}
