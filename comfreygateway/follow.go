package comfreygateway

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"syscall"
	"time"

	"comfreyridge.example/comfreyridge/comfreydecision"
	"comfreyridge.example/comfreyridge/comfreyfleet"
	"comfreyridge.example/comfreyridge/comfreygroup"
	"comfreyridge.example/comfreyridge/comfreyproto"
	"comfreyridge.example/comfreyridge/comfreyrpc"
	"comfreyridge.example/comfreyridge/comfreystream"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

const (
	// resumeTries bounds the connections opened to resume one stream without a
	// frame in between.
	resumeTries = 6
	// refusedTries bounds the refused dials in a row after which the sidecar's
	// process is taken to have ended, and its frames with it.
	refusedTries = 2
	// firstResumeDelay is the pause after the first failed connection; it
	// doubles with each further one.
	firstResumeDelay = 50 * time.Millisecond
	// maxResumeDelay bounds that pause.
	maxResumeDelay = 2 * time.Second
	// cancelTimeout bounds a cancel call to a sidecar.
	cancelTimeout = 2 * time.Second
)

// errStreamLost means that a stream ended without its last frame.
var errStreamLost = errors.New("comfreygateway: the stream ended without its last frame")

// follow relays the frames of a stream until the answer ends. A lost or silent
// connection is replaced by a new one.
func (s *session) follow(ctx context.Context, stream *comfreyrpc.Stream) error {
	tries := 0
	for {
		before := s.delivered
		err := s.read(ctx, stream)
		stream.Close()
		if !errors.Is(err, errStreamLost) {
			return err
		}
		if s.delivered > before {
			tries = 0
		}
		s.gateway.fleet.suspect(s.member.Host, comfreyfleet.EvidenceConnectionSilent)
		if s.sequencer == nil {
			return comfreyverdict.MayHaveRun(comfreyverdict.ReasonConnectionLost, "the connection was lost before the request was accepted")
		}
		stream, err = s.reconnect(ctx, &tries)
		if err != nil {
			return err
		}
	}
}

// reconnect opens the stream again on a new connection.
func (s *session) reconnect(ctx context.Context, tries *int) (*comfreyrpc.Stream, error) {
	delay := firstResumeDelay
	refused := 0
	for {
		if ctx.Err() != nil {
			return nil, s.lost(ctx.Err().Error())
		}
		*tries++
		if *tries > resumeTries {
			return nil, s.lost("the sidecar cannot be reached")
		}
		id := s.sequencer.Generation()
		s.gateway.metrics.resumes.Inc()
		s.gateway.recorder.Record(s.request.id, comfreydecision.KindResume, comfreyverdict.ReasonConnectionLost, map[string]any{"generation": id.String(), "after": s.delivered, "try": *tries})
		stream, err := s.open(ctx, func(ctx context.Context) (*comfreyrpc.Stream, error) {
			return s.gateway.client.Resume(ctx, s.member.Address, s.resumeRequest())
		})
		if err == nil {
			return stream, nil
		}
		s.suspect(err)
		if errors.Is(err, syscall.ECONNREFUSED) {
			refused++
		}
		if refused >= refusedTries {
			return nil, s.lost("the sidecar's process has ended")
		}
		comfreygroup.Sleep(ctx, delay)
		delay = min(2*delay, maxResumeDelay)
	}
}

func (s *session) resumeRequest() *comfreyproto.ResumeRequest {
	id := s.sequencer.Generation()
	return &comfreyproto.ResumeRequest{
		Customer:    s.request.customer.Name,
		Incarnation: id.Incarnation,
		Counter:     id.Counter,
		After:       s.sequencer.Next() - 1,
		RequestId:   s.request.id,
	}
}

// open calls f, which opens a stream, and gives up on a sidecar that does not
// answer within the time that a stream may be silent.
func (s *session) open(ctx context.Context, f func(ctx context.Context) (*comfreyrpc.Stream, error)) (*comfreyrpc.Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	watchdog := time.AfterFunc(s.gateway.config.SilenceTimeout, func() {
		s.gateway.metrics.silences.Inc()
		cancel()
	})
	defer watchdog.Stop()
	return f(ctx)
}

// lost is the failure of a request whose sidecar does not answer any more.
func (s *session) lost(detail string) comfreyverdict.Error {
	if s.delivered > 0 {
		return comfreyverdict.Ran(comfreyverdict.ReasonConnectionLost, detail)
	}
	return comfreyverdict.MayHaveRun(comfreyverdict.ReasonConnectionLost, detail)
}

// read relays the frames of one connection. It returns errStreamLost if the
// connection ends or stays silent before the last frame.
func (s *session) read(ctx context.Context, stream *comfreyrpc.Stream) error {
	var silent atomic.Bool
	w := startWatchdog(s.gateway.config.SilenceTimeout, func() {
		silent.Store(true)
		stream.Close()
	})
	defer w.stop()
	var f comfreyproto.Frame
	for {
		err := stream.Read(&f)
		if err != nil {
			return s.readError(ctx, err, silent.Load())
		}
		w.arrived()
		done, err := s.take(&f)
		if done || err != nil {
			return err
		}
		if stream.Buffered() {
			continue
		}
		if err := s.output.flush(); err != nil {
			return err
		}
	}
}

func (s *session) readError(ctx context.Context, err error, silent bool) error {
	if ctx.Err() != nil {
		return s.lost(ctx.Err().Error())
	}
	if silent {
		s.gateway.metrics.silences.Inc()
	}
	if errors.Is(err, comfreyrpc.ErrFrameTooLarge) {
		return s.lost(err.Error())
	}
	if !errors.Is(err, io.EOF) {
		s.gateway.recorder.Record(s.request.id, comfreydecision.KindResume, comfreyverdict.ReasonConnectionLost, map[string]any{"detail": err.Error(), "silent": silent})
	}
	return errStreamLost
}

// take handles one frame; done means that the answer is complete.
func (s *session) take(f *comfreyproto.Frame) (done bool, err error) {
	s.gateway.fleet.observe(s.member.Host, f.Load)
	s.gateway.crashes.merge(f.Crashes)
	switch f.Kind {
	case comfreyproto.FrameKind_FRAME_KIND_ACCEPTED:
		return false, s.identify(f)
	case comfreyproto.FrameKind_FRAME_KIND_HEARTBEAT:
		return false, s.output.heartbeat()
	case comfreyproto.FrameKind_FRAME_KIND_TOKENS:
		return false, s.takeTokens(f)
	case comfreyproto.FrameKind_FRAME_KIND_END:
		return s.takeEnd(f)
	case comfreyproto.FrameKind_FRAME_KIND_REFUSED, comfreyproto.FrameKind_FRAME_KIND_FAILED:
		return false, s.takeFailure(f)
	default:
		return false, s.lost("unknown frame kind")
	}
}

func (s *session) idOf(f *comfreyproto.Frame) comfreystream.GenerationID {
	return comfreystream.GenerationID{Host: s.member.Host, Incarnation: f.Incarnation, Counter: f.Counter}
}

// identify learns the generation that serves the request. A stream that was
// opened again must carry the same one.
func (s *session) identify(f *comfreyproto.Frame) error {
	id := s.idOf(f)
	if s.sequencer == nil {
		s.sequencer = comfreystream.NewSequencer(id, s.delivered)
		s.gateway.sessions.add(s)
		return nil
	}
	if s.sequencer.Generation() != id {
		s.gateway.metrics.foreignFrames.Inc()
		return s.lost("the stream carries another generation")
	}
	return nil
}

// accept passes a frame through the sequencer.
func (s *session) accept(f *comfreyproto.Frame, end bool) (deliver bool, err error) {
	if s.sequencer == nil {
		return false, s.lost("a frame came before the generation was named")
	}
	a := s.sequencer.Accept(s.idOf(f), comfreystream.Frame{Seq: f.Seq, End: end})
	switch a {
	case comfreystream.DispositionDeliver:
		return true, nil
	case comfreystream.DispositionDuplicate:
		s.gateway.metrics.duplicateFrames.Inc()
		return false, nil
	case comfreystream.DispositionForeign:
		s.gateway.metrics.foreignFrames.Inc()
		return false, nil
	default:
		s.gateway.metrics.gaps.Inc()
		return false, errStreamLost
	}
}

func (s *session) takeTokens(f *comfreyproto.Frame) error {
	deliver, err := s.accept(f, false)
	if !deliver {
		return err
	}
	if !isEventData(f.Data) {
		return comfreyverdict.Ran(comfreyverdict.ReasonEngineFailed, "a chunk cannot be sent as one event")
	}
	if err := s.output.token(comfreystream.EventID{Generation: s.sequencer.Generation(), Seq: f.Seq}, f.Data); err != nil {
		return err
	}
	s.measure(int(f.Tokens))
	s.delivered = f.Seq
	s.relayed.Store(f.Seq)
	return nil
}

// measure records the time in which nothing arrived.
func (s *session) measure(tokens int) {
	now := s.gateway.config.Now()
	gap := now.Sub(s.lastWrite)
	s.lastWrite = now
	s.stall = max(s.stall, gap)
	if s.tokens == 0 && tokens > 0 {
		s.firstToken = now.Sub(s.began)
		s.gateway.metrics.firstToken.Observe(s.firstToken.Seconds())
	} else {
		s.gateway.metrics.interToken.Observe(gap.Seconds())
	}
	s.tokens += tokens
}

func (s *session) takeEnd(f *comfreyproto.Frame) (done bool, err error) {
	deliver, err := s.accept(f, true)
	if !deliver {
		return false, err
	}
	if uint32(s.tokens) != f.Tokens && s.resumedAfter == 0 {
		return false, comfreyverdict.Ran(comfreyverdict.ReasonSequenceGap, "the count of tokens differs from that of the sidecar")
	}
	if err := s.output.end(comfreystream.EventID{Generation: s.sequencer.Generation(), Seq: f.Seq}); err != nil {
		return false, err
	}
	return s.sequencer.Complete(), nil
}

// takeFailure ends the request, or this attempt of it, with the outcome that
// the sidecar states.
func (s *session) takeFailure(f *comfreyproto.Frame) error {
	if s.sequencer != nil && f.Counter != 0 && s.idOf(f) != s.sequencer.Generation() {
		s.gateway.metrics.foreignFrames.Inc()
		return nil
	}
	if f.Seq > 0 {
		deliver, err := s.accept(f, true)
		if !deliver {
			return err
		}
	}
	e := comfreyrpc.ErrorOf(f.Outcome)
	if s.delivered > 0 {
		e.Verdict = comfreyverdict.VerdictRan
	}
	return e
}

// abandon tells the sidecar that nobody will read the rest of an answer that is
// not streamed. A stream is left to the sidecar's grace time: its caller may
// have resumed it at another gateway while this process was paused.
func (s *session) abandon(e comfreyverdict.Error) {
	if s.request.stream || s.sequencer == nil || s.sequencer.Complete() || e.Reason == comfreyverdict.ReasonSuperseded {
		return
	}
	id := s.sequencer.Generation()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(s.gateway.group.Context()), cancelTimeout)
	defer cancel()
	_, err := s.gateway.client.Sidecar(s.member.Address).Cancel(ctx, &comfreyproto.CancelRequest{
		Customer:    s.request.customer.Name,
		Incarnation: id.Incarnation,
		Counter:     id.Counter,
		Reason:      string(e.Reason),
		RequestId:   s.request.id,
	})
	if err != nil {
		s.gateway.recorder.Record(s.request.id, comfreydecision.KindFinish, comfreyverdict.ReasonConnectionLost, map[string]any{"detail": "cancel: " + err.Error()})
	}
}
