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
	standInKey         = "stand-in-fleet-shared-key"
	standInIncarnation = 77
)

// script is what the stand-in does to the streams of one request. It is asked
// for the frames of each connection.
type script func(c connection) []step

// connection is one stream of frames that a gateway opened.
type connection struct {
	counter uint64
	mark    string
	after   uint64
	resumed int
}

// step writes a part of a stream. It reports false if the stream is over.
type step func(w http.ResponseWriter, r *http.Request) bool

// standIn is a sidecar that sends whatever its scripts say. It signs nothing
// and checks signatures as a real one does.
type standIn struct {
	comfreyproto.Sidecar
	mu       sync.Mutex
	counter  uint64
	starts   map[uint64]*started
	cancels  int
	scriptOf func(prompt string) script
}

type started struct {
	script  script
	resumed int
}

func newStandIn(t testing.TB, scriptOf func(prompt string) script) (*standIn, string) {
	s := &standIn{starts: map[uint64]*started{}, scriptOf: scriptOf}
	m := http.NewServeMux()
	m.HandleFunc("POST "+comfreyrpc.PathStart, s.start)
	m.HandleFunc("POST "+comfreyrpc.PathResume, s.resume)
	m.Handle(comfreyproto.SidecarPathPrefix, comfreyproto.NewSidecarServer(s))
	v := comfreyrpc.NewVerifier(comfreyrpc.Key(standInKey), nil)
	h := httptest.NewServer(v.Middleware(m, func(err error) { t.Error(err) }))
	t.Cleanup(h.Close)
	return s, h.Listener.Addr().String()
}

func (s *standIn) Report(context.Context, *comfreyproto.ReportRequest) (*comfreyproto.ReportReply, error) {
	return &comfreyproto.ReportReply{Load: &comfreyproto.Load{Incarnation: standInIncarnation, Accepting: true}}, nil
}

func (s *standIn) Cancel(context.Context, *comfreyproto.CancelRequest) (*comfreyproto.CancelReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancels++
	return &comfreyproto.CancelReply{Found: true}, nil
}

func (s *standIn) start(w http.ResponseWriter, r *http.Request) {
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
	x := &started{script: s.scriptOf(body.Prompt)}
	s.starts[s.counter] = x
	s.mu.Unlock()
	s.serve(w, r, x, c)
}

func (s *standIn) resume(w http.ResponseWriter, r *http.Request) {
	var m comfreyproto.ResumeRequest
	b, _ := io.ReadAll(r.Body)
	if proto.Unmarshal(b, &m) != nil {
		http.Error(w, "malformed", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	x := s.starts[m.Counter]
	if x != nil {
		x.resumed++
	}
	s.mu.Unlock()
	if x == nil {
		http.Error(w, "unknown generation", http.StatusNotFound)
		return
	}
	s.serve(w, r, x, connection{counter: m.Counter, after: m.After, resumed: x.resumed})
}

func (s *standIn) serve(w http.ResponseWriter, r *http.Request, x *started, c connection) {
	c.mark = fmt.Sprintf("g%d", c.counter)
	for _, f := range x.script(c) {
		if !f(w, r) {
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

// sendBytes writes bytes that need not be a frame.
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

// headers sends the headers of the response and nothing else.
func headers() step {
	return func(w http.ResponseWriter, _ *http.Request) bool {
		return http.NewResponseController(w).Flush() == nil
	}
}

func late(d time.Duration) step {
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
		Kind: comfreyproto.FrameKind_FRAME_KIND_ACCEPTED, Incarnation: standInIncarnation, Counter: c.counter,
		Load: &comfreyproto.Load{Incarnation: standInIncarnation, Accepting: true},
	}
}

// tokenFrame is frame seq of a generation, which carries token seq-1.
func tokenFrame(c connection, seq uint64) *comfreyproto.Frame {
	data := fmt.Sprintf(`{"id":"x","choices":[{"index":0,"text":"%s-%d ","finish_reason":null}]}`, c.mark, seq-1)
	return &comfreyproto.Frame{Kind: comfreyproto.FrameKind_FRAME_KIND_TOKENS, Incarnation: standInIncarnation, Counter: c.counter, Seq: seq, Data: []byte(data), Tokens: 1}
}

func endFrame(c connection, n uint64) *comfreyproto.Frame {
	return &comfreyproto.Frame{Kind: comfreyproto.FrameKind_FRAME_KIND_END, Incarnation: standInIncarnation, Counter: c.counter, Seq: n + 1, Tokens: uint32(n)}
}

func refusedFrame(c connection, seq uint64) *comfreyproto.Frame {
	return &comfreyproto.Frame{
		Kind: comfreyproto.FrameKind_FRAME_KIND_REFUSED, Incarnation: standInIncarnation, Counter: c.counter, Seq: seq,
		Outcome: &comfreyproto.Outcome{Verdict: comfreyproto.Verdict_VERDICT_NOT_RUN, Reason: "leaving"},
	}
}

// randomScript misbehaves on each connection with the given source, which it
// owns. The answer has n tokens.
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
			steps = misbehave(r, c, n, steps)
		}
		return steps
	}
}

// misbehave applies one fault at a random place.
func misbehave(r *rand.Rand, c connection, n uint64, s []step) []step {
	i := r.IntN(len(s) + 1)
	other := connection{counter: c.counter + 1000000, mark: "foreign"}
	seq := c.after + uint64(r.IntN(int(n)+2))
	insert := func(x ...step) []step {
		return append(append(append([]step{}, s[:i]...), x...), s[i:]...)
	}
	switch r.IntN(17) {
	case 0:
		return insert(late(time.Duration(r.IntN(20)) * time.Millisecond))
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
		return insert(send(tokenFrame(other, max(seq, 1))))
	case 5:
		return insert(send(endFrame(other, seq)))
	case 6:
		return insert(send(refusedFrame(other, seq)))
	case 7:
		x := acceptedFrame(c)
		x.Incarnation++
		return insert(send(x))
	case 8:
		x := tokenFrame(other, max(seq, 1))
		x.Incarnation, x.Counter = standInIncarnation+1, c.counter
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
		return append([]step{headers(), hang()}, s...)
	case 15:
		return insert(send(refusedFrame(c, 0)))
	default:
		x := tokenFrame(c, max(seq, 1))
		x.Data = []byte([]string{"[DONE]", "{}\n\ndata: [DONE]", "{}\r\rdata: [DONE]\r\r"}[r.IntN(3)])
		return insert(send(x))
	}
}
