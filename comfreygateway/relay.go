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
	// maxResumeAttempts bounds the connections opened to resume one stream until a
	// frame is delivered.
	maxResumeAttempts = 6
	// maxRefusedDials is the number of refused dials in one reconnect after which
	// the process of the sidecar, and with it the retained frames, is considered
	// gone.
	maxRefusedDials = 2
	// initialResumeDelay is the delay after the first failed connection; it
	// doubles with each further one.
	initialResumeDelay = 50 * time.Millisecond
	// maxResumeDelay bounds the delay between connections.
	maxResumeDelay = 2 * time.Second
	// cancelTimeout bounds a cancel call to a sidecar.
	cancelTimeout = 2 * time.Second
)

// errStreamLost means that a connection ended before the last frame of the
// stream.
var errStreamLost = errors.New("comfreygateway: the stream ended without its last frame")

// relay relays the frames of a stream to the caller until the response ends. It
// replaces a lost or silent connection.
func (s *session) relay(ctx context.Context, stream *comfreyrpc.Stream) error {
	attempts := 0
	for {
		before := s.lastSeq
		err := s.relayConnection(ctx, stream)
		stream.Close()
		if !errors.Is(err, errStreamLost) {
			return err
		}
		if s.lastSeq > before {
			attempts = 0
		}
		s.gateway.fleet.suspect(s.member.Host, comfreyfleet.EvidenceConnectionSilent)
		if s.sequencer == nil {
			return comfreyverdict.MayHaveRun(comfreyverdict.ReasonConnectionLost, "the connection was lost before the request was accepted")
		}
		stream, err = s.reconnect(ctx, &attempts)
		if err != nil {
			return err
		}
	}
}

// reconnect resumes the stream on a new connection. It adds its connections to
// attempts, which the caller resets once a frame is delivered.
func (s *session) reconnect(ctx context.Context, attempts *int) (*comfreyrpc.Stream, error) {
	delay := initialResumeDelay
	refusedDials := 0
	for {
		if ctx.Err() != nil {
			return nil, s.connectionLostError(ctx.Err().Error())
		}
		*attempts++
		if *attempts > maxResumeAttempts {
			return nil, s.connectionLostError("the sidecar cannot be reached")
		}
		id := s.sequencer.Generation()
		s.gateway.metrics.resumes.Inc()
		s.gateway.recorder.Record(s.request.id, comfreydecision.KindResume, comfreyverdict.ReasonConnectionLost, map[string]any{"generation": id.String(), "after": s.lastSeq, "try": *attempts})
		stream, err := s.open(ctx, func(ctx context.Context) (*comfreyrpc.Stream, error) {
			return s.gateway.client.Resume(ctx, s.member.Address, s.resumeRequest())
		})
		if err == nil {
			return stream, nil
		}
		s.suspect(err)
		if errors.Is(err, syscall.ECONNREFUSED) {
			refusedDials++
		}
		if refusedDials >= maxRefusedDials {
			return nil, s.connectionLostError("the sidecar's process has ended")
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

// open calls f, which opens a stream, and cancels it if the sidecar does not
// respond within the silence timeout.
func (s *session) open(ctx context.Context, f func(ctx context.Context) (*comfreyrpc.Stream, error)) (*comfreyrpc.Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(s.gateway.config.SilenceTimeout, func() {
		s.gateway.metrics.silentConnections.Inc()
		cancel()
	})
	defer timer.Stop()
	return f(ctx)
}

// connectionLostError returns the error of a request whose sidecar no longer
// responds.
func (s *session) connectionLostError(detail string) comfreyverdict.Error {
	if s.lastSeq > 0 {
		return comfreyverdict.Ran(comfreyverdict.ReasonConnectionLost, detail)
	}
	return comfreyverdict.MayHaveRun(comfreyverdict.ReasonConnectionLost, detail)
}

// relayConnection relays the frames of one connection. It returns errStreamLost
// if the connection ends or is silent for too long before the last frame.
func (s *session) relayConnection(ctx context.Context, stream *comfreyrpc.Stream) error {
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
		w.recordArrival()
		done, err := s.handleFrame(&f)
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
		return s.connectionLostError(ctx.Err().Error())
	}
	if silent {
		s.gateway.metrics.silentConnections.Inc()
	}
	if errors.Is(err, comfreyrpc.ErrFrameTooLarge) {
		return s.connectionLostError(err.Error())
	}
	if !errors.Is(err, io.EOF) {
		s.gateway.recorder.Record(s.request.id, comfreydecision.KindResume, comfreyverdict.ReasonConnectionLost, map[string]any{"detail": err.Error(), "silent": silent})
	}
	return errStreamLost
}

// handleFrame processes one frame; done means that the response is complete.
func (s *session) handleFrame(f *comfreyproto.Frame) (done bool, err error) {
	s.gateway.fleet.observe(s.member.Host, f.Load)
	s.gateway.crashRecords.merge(f.Crashes)
	switch f.Kind {
	case comfreyproto.FrameKind_FRAME_KIND_ACCEPTED:
		return false, s.handleAccepted(f)
	case comfreyproto.FrameKind_FRAME_KIND_HEARTBEAT:
		return false, s.output.heartbeat()
	case comfreyproto.FrameKind_FRAME_KIND_TOKENS:
		return false, s.handleTokens(f)
	case comfreyproto.FrameKind_FRAME_KIND_END:
		return s.handleEnd(f)
	case comfreyproto.FrameKind_FRAME_KIND_REFUSED, comfreyproto.FrameKind_FRAME_KIND_FAILED:
		return false, s.handleFailure(f)
	default:
		return false, s.connectionLostError("unknown frame kind")
	}
}

func (s *session) generationID(f *comfreyproto.Frame) comfreystream.GenerationID {
	return comfreystream.GenerationID{Host: s.member.Host, Incarnation: f.Incarnation, Counter: f.Counter}
}

// handleAccepted records the generation that serves the request. A resumed
// stream must belong to the same generation.
func (s *session) handleAccepted(f *comfreyproto.Frame) error {
	id := s.generationID(f)
	if s.sequencer == nil {
		s.sequencer = comfreystream.NewSequencer(id, s.lastSeq)
		s.gateway.sessions.add(s)
		return nil
	}
	if s.sequencer.Generation() != id {
		s.gateway.metrics.foreignFrames.Inc()
		return s.connectionLostError("the stream carries another generation")
	}
	return nil
}

// sequence passes a frame to the sequencer and counts frames that are not
// delivered. It returns errStreamLost if frames are missing.
func (s *session) sequence(f *comfreyproto.Frame, end bool) (deliver bool, err error) {
	if s.sequencer == nil {
		return false, s.connectionLostError("a frame came before the generation was named")
	}
	a := s.sequencer.Accept(s.generationID(f), comfreystream.Frame{Seq: f.Seq, End: end})
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
		s.gateway.metrics.frameGaps.Inc()
		return false, errStreamLost
	}
}

func (s *session) handleTokens(f *comfreyproto.Frame) error {
	deliver, err := s.sequence(f, false)
	if !deliver {
		return err
	}
	if !isEventData(f.Data) {
		return comfreyverdict.Ran(comfreyverdict.ReasonEngineFailed, "a chunk cannot be sent as one event")
	}
	if err := s.output.writeChunk(comfreystream.EventID{Generation: s.sequencer.Generation(), Seq: f.Seq}, f.Data); err != nil {
		return err
	}
	s.recordArrival(int(f.Tokens))
	s.lastSeq = f.Seq
	s.lastRelayedSeq.Store(f.Seq)
	return nil
}

// recordArrival records the time since the previous arrival, and the time to
// the first token.
func (s *session) recordArrival(tokens int) {
	now := s.gateway.config.Now()
	interval := now.Sub(s.lastArrival)
	s.lastArrival = now
	s.longestStall = max(s.longestStall, interval)
	if s.tokenCount == 0 && tokens > 0 {
		s.firstToken = now.Sub(s.acceptedAt)
		s.gateway.metrics.firstToken.Observe(s.firstToken.Seconds())
	} else {
		s.gateway.metrics.interToken.Observe(interval.Seconds())
	}
	s.tokenCount += tokens
}

func (s *session) handleEnd(f *comfreyproto.Frame) (done bool, err error) {
	deliver, err := s.sequence(f, true)
	if !deliver {
		return false, err
	}
	if uint32(s.tokenCount) != f.Tokens && s.resumedAfter == 0 {
		return false, comfreyverdict.Ran(comfreyverdict.ReasonSequenceGap, "the count of tokens differs from that of the sidecar")
	}
	if err := s.output.end(comfreystream.EventID{Generation: s.sequencer.Generation(), Seq: f.Seq}); err != nil {
		return false, err
	}
	return s.sequencer.Complete(), nil
}

// handleFailure returns the outcome of the frame as the error of the attempt.
// If a frame was delivered before, the verdict is ran.
func (s *session) handleFailure(f *comfreyproto.Frame) error {
	if s.sequencer != nil && f.Counter != 0 && s.generationID(f) != s.sequencer.Generation() {
		s.gateway.metrics.foreignFrames.Inc()
		return nil
	}
	if f.Seq > 0 {
		deliver, err := s.sequence(f, true)
		if !deliver {
			return err
		}
	}
	e := comfreyrpc.ErrorOf(f.Outcome)
	if s.lastSeq > 0 {
		e.Verdict = comfreyverdict.VerdictRan
	}
	return e
}

// cancelGeneration cancels the generation of a unary request that failed,
// because nobody will read the rest of the response. A stream is left to the
// grace period of the sidecar: its caller may have resumed it at another
// gateway while this process was paused.
func (s *session) cancelGeneration(e comfreyverdict.Error) {
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
