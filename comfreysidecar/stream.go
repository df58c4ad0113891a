package comfreysidecar

import (
	"io"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"comfreyridge.example/comfreyridge/comfreydecision"
	"comfreyridge.example/comfreyridge/comfreyproto"
	"comfreyridge.example/comfreyridge/comfreyrpc"
	"comfreyridge.example/comfreyridge/comfreystream"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// writeTimeout bounds one write to a gateway. A connection that takes longer is
// closed, and the gateway resumes on a new one.
const writeTimeout = 20 * time.Second

func (s *Sidecar) serveStart(w http.ResponseWriter, r *http.Request) {
	var m comfreyproto.StartRequest
	if !readMessage(w, r, &m) {
		return
	}
	s.config.ObserveDigest(m.Digest)
	s.observeListedState(m.Listed)
	g, err := s.accept(&m)
	if err != nil {
		e := comfreyverdict.From(err)
		s.recorder.Record(m.RequestId, comfreydecision.KindRefuse, e.Reason, map[string]any{"verdict": e.Verdict, "detail": e.Detail})
		f := refusedFrame(e)
		f.Load = s.Load()
		_ = comfreyrpc.NewFrameWriter(w).Write(f)
		return
	}
	s.serveFrames(w, r, g, m.RequestId, 0)
}

func (s *Sidecar) serveResume(w http.ResponseWriter, r *http.Request) {
	var m comfreyproto.ResumeRequest
	if !readMessage(w, r, &m) {
		return
	}
	g, err := s.findForResume(&m)
	if err != nil {
		e := comfreyverdict.From(err)
		s.recorder.Record(m.RequestId, comfreydecision.KindResume, e.Reason, map[string]any{"after": m.After})
		_ = comfreyrpc.NewFrameWriter(w).Write(failedFrame(e))
		return
	}
	s.recorder.Record(g.request.RequestId, comfreydecision.KindResume, comfreyverdict.ReasonAccepted, map[string]any{"after": m.After, "generation": g.id.String()})
	s.serveFrames(w, r, g, m.RequestId, m.After)
}

// findForResume returns the generation that a gateway may continue to read. The
// error is a comfreyverdict.Error with verdict may-have-run.
func (s *Sidecar) findForResume(m *comfreyproto.ResumeRequest) (*generation, error) {
	if m.Incarnation != uint64(s.config.Incarnation) {
		return nil, comfreyverdict.MayHaveRun(comfreyverdict.ReasonUnknownGeneration, "the sidecar was replaced since the generation started")
	}
	g := s.table.find(m.Counter)
	if g == nil {
		return nil, comfreyverdict.MayHaveRun(comfreyverdict.ReasonUnknownGeneration, "the frames of the generation are not kept any more")
	}
	if g.request.Customer != m.Customer {
		return nil, comfreyverdict.MayHaveRun(comfreyverdict.ReasonForeignGeneration, "the generation belongs to another customer")
	}
	return g, nil
}

func readMessage(w http.ResponseWriter, r *http.Request, m proto.Message) bool {
	b, err := io.ReadAll(r.Body)
	if err == nil {
		err = proto.Unmarshal(b, m)
	}
	if err != nil {
		http.Error(w, "comfreysidecar: malformed message", http.StatusBadRequest)
		return false
	}
	return true
}

// serveFrames writes the frames after a sequence number until the generation or
// the connection ends.
func (s *Sidecar) serveFrames(w http.ResponseWriter, r *http.Request, g *generation, request string, after uint64) {
	a, err := g.attach(request)
	if err != nil {
		e := comfreyverdict.From(err)
		s.recorder.Record(request, comfreydecision.KindResume, e.Reason, map[string]any{"after": after, "generation": g.id.String()})
		_ = comfreyrpc.NewFrameWriter(w).Write(failedFrame(e))
		return
	}
	defer func() { g.detach(a, after, s.config.Now()) }()
	c := newFrameConnection(w, s.config.Now)
	accepted := &comfreyproto.Frame{Kind: comfreyproto.FrameKind_FRAME_KIND_ACCEPTED, Incarnation: g.id.Incarnation, Counter: g.id.Counter, Load: s.Load()}
	if c.write(accepted) != nil {
		return
	}
	t := time.NewTicker(s.config.Heartbeat)
	defer t.Stop()
	var frames []comfreystream.Frame
	for {
		var err error
		frames, err = g.frames(frames[:0], after+1)
		if err != nil {
			s.failReader(c, g, err)
			return
		}
		if len(frames) > 0 {
			if c.writeFrames(frames) != nil {
				return
			}
			last := frames[len(frames)-1]
			after = last.Seq
			if last.End {
				return
			}
			continue
		}
		select {
		case <-g.changed:
		case <-t.C:
			if c.write(&comfreyproto.Frame{Incarnation: g.id.Incarnation, Counter: g.id.Counter}) != nil {
				return
			}
		case <-a.superseded:
			s.failSuperseded(c, g, a)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// failSuperseded ends a stream because a later request reads the generation. It
// writes nothing if the reader was superseded by a new connection of the same
// request.
func (s *Sidecar) failSuperseded(c *frameConnection, g *generation, a *attachment) {
	if g.readerRequest() == a.request {
		return
	}
	s.recorder.Record(a.request, comfreydecision.KindResume, comfreyverdict.ReasonSuperseded, map[string]any{"generation": g.id.String()})
	_ = c.write(failedFrame(comfreyverdict.MayHaveRun(comfreyverdict.ReasonSuperseded, "the caller reads the answer by a later request")))
}

// failReader ends a stream whose reader needs frames that are no longer
// retained. It cancels the generation, because nobody can read its complete
// output any more.
func (s *Sidecar) failReader(c *frameConnection, g *generation, err error) {
	e := comfreyverdict.From(err)
	s.recorder.Record(g.request.RequestId, comfreydecision.KindResume, e.Reason, map[string]any{"detail": e.Detail})
	s.cancel(g, comfreyverdict.ReasonSlowReader)
	_ = c.write(failedFrame(e))
}

// frameConnection writes frames to one gateway.
type frameConnection struct {
	writer   *comfreyrpc.FrameWriter
	control  *http.ResponseController
	deadline *comfreyrpc.WriteDeadline
	now      func() time.Time
	encoded  [][]byte
}

func newFrameConnection(w http.ResponseWriter, now func() time.Time) *frameConnection {
	c := http.NewResponseController(w)
	return &frameConnection{writer: comfreyrpc.NewFrameWriter(w), control: c, deadline: comfreyrpc.NewWriteDeadline(c, writeTimeout), now: now}
}

func (c *frameConnection) write(f *comfreyproto.Frame) error {
	c.deadline.Begin(c.now())
	if err := c.writer.Write(f); err != nil {
		return err
	}
	return c.control.Flush()
}

func (c *frameConnection) writeFrames(s []comfreystream.Frame) error {
	c.encoded = c.encoded[:0]
	for _, f := range s {
		c.encoded = append(c.encoded, f.Payload)
	}
	c.deadline.Begin(c.now())
	if err := c.writer.WriteEncoded(c.encoded...); err != nil {
		return err
	}
	return c.control.Flush()
}

func refusedFrame(e comfreyverdict.Error) *comfreyproto.Frame {
	return &comfreyproto.Frame{Kind: comfreyproto.FrameKind_FRAME_KIND_REFUSED, Outcome: comfreyrpc.OutcomeOf(e)}
}

func failedFrame(e comfreyverdict.Error) *comfreyproto.Frame {
	return &comfreyproto.Frame{Kind: comfreyproto.FrameKind_FRAME_KIND_FAILED, Outcome: comfreyrpc.OutcomeOf(e)}
}
