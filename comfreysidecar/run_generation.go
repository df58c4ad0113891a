package comfreysidecar

import (
	"context"
	"errors"
	"io"
	"time"

	"comfreyridge.example/comfreyridge/comfreyadmission"
	"comfreyridge.example/comfreyridge/comfreydecision"
	"comfreyridge.example/comfreyridge/comfreyengine"
	"comfreyridge.example/comfreyridge/comfreyproto"
	"comfreyridge.example/comfreyridge/comfreystream"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

const (
	// maxEngineResumes bounds how often a broken stream from the engine is
	// resumed without receiving a token in between.
	maxEngineResumes = 3
	// engineResumeDelay is the delay before a broken stream is resumed.
	engineResumeDelay = 50 * time.Millisecond
	// cancelTimeout bounds a cancel request to the engine.
	cancelTimeout = 5 * time.Second
)

// runGeneration executes an admitted generation on the engine until it ends.
func (s *Sidecar) runGeneration(ctx context.Context, g *generation) {
	ctx, cancel := context.WithDeadline(ctx, g.deadline)
	defer cancel()
	if !g.start(cancel) {
		s.release(g, comfreyadmission.OutcomeCancelled)
		s.finish(g, refusedFrame(comfreyverdict.NotRun(comfreyverdict.ReasonCancelled, "cancelled before it began")), comfreystream.OutcomeCancelled)
		return
	}
	if err := s.checkLifecycle(); err != nil {
		s.release(g, comfreyadmission.OutcomeFailed)
		s.finish(g, refusedFrame(comfreyverdict.From(err)), comfreystream.OutcomeFailed)
		return
	}
	id, err := s.checkQuarantine(ctx, g)
	if err != nil {
		s.release(g, comfreyadmission.OutcomeFailed)
		s.finish(g, refusedFrame(comfreyverdict.From(err)), comfreystream.OutcomeFailed)
		return
	}
	err = engineError(s.relay(ctx, g))
	if err != nil && isDown(err) {
		s.setDown(err)
	}
	s.finishExecution(g, id, err)
	if err == nil {
		s.release(g, comfreyadmission.OutcomeCompleted)
		s.finish(g, &comfreyproto.Frame{Kind: comfreyproto.FrameKind_FRAME_KIND_END}, comfreystream.OutcomeEnded)
		return
	}
	s.fail(ctx, g, err)
}

// relay copies the engine's stream into the generation. A nil error means that
// the output is complete.
func (s *Sidecar) relay(ctx context.Context, g *generation) error {
	r := comfreyengine.Request{ID: g.key, Path: g.request.Path, Body: g.request.Body}
	stream, err := s.engine.Start(ctx, r)
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	id := stream.GenerationID()
	defer func() {
		if err != nil {
			s.cancelInEngine(id)
		}
	}()
	resumes := 0
	finished := false
	for {
		var c comfreyengine.Chunk
		c, err = stream.Next()
		if errors.Is(err, io.EOF) {
			err = nil
			return nil
		}
		if err == nil {
			resumes = 0
			if c.Finish && finished {
				// A resumed stream repeats the finish event that was read before
				// its connection broke.
				continue
			}
			finished = finished || c.Finish
			g.appendTokens(c.Data, c.Tokens)
			s.metrics.tokens.Add(float64(c.Tokens))
			continue
		}
		resumes++
		if resumes > maxEngineResumes || ctx.Err() != nil || id == "" {
			return err
		}
		resumed, resumeErr := s.resumeEngine(ctx, g, id, stream.Tokens(), err)
		if resumeErr != nil {
			return err
		}
		stream = resumed
	}
}

// sampleTokens appends the token counts of all running generations.
func (s *Sidecar) sampleTokens(samples []tokenSample) []tokenSample {
	s.table.each(func(g *generation) {
		if n := g.runningTokens(); n > 0 {
			samples = append(samples, tokenSample{id: g.key, tokens: n})
		}
	})
	return samples
}

// resumeEngine resumes the engine's stream of a generation after its connection
// broke.
func (s *Sidecar) resumeEngine(ctx context.Context, g *generation, id string, after int, cause error) (*comfreyengine.Stream, error) {
	s.recorder.Record(g.request.RequestId, comfreydecision.KindResume, comfreyverdict.ReasonEngineFailed, map[string]any{"after": after, "detail": cause.Error()})
	t := time.NewTimer(engineResumeDelay)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return s.engine.Resume(ctx, id, after)
}

// isDown reports whether an error means that the engine is unreachable.
func isDown(err error) bool {
	r := comfreyverdict.From(err).Reason
	return r == comfreyverdict.ReasonDialFailed || r == comfreyverdict.ReasonEngineFailed
}

// engineError reports a lost connection to the engine as a failure of the
// engine: the engine is on the same host, so its connections are lost only when
// it fails.
func engineError(err error) error {
	if err == nil {
		return nil
	}
	e := comfreyverdict.From(err)
	if e.Reason == comfreyverdict.ReasonConnectionLost {
		e.Reason = comfreyverdict.ReasonEngineFailed
	}
	return e
}

// fail ends a generation that did not complete.
func (s *Sidecar) fail(ctx context.Context, g *generation, err error) {
	e := comfreyverdict.From(err)
	if g.tokenCount() > 0 {
		e.Verdict = comfreyverdict.VerdictRan
	}
	if r := g.cancelReason(); r != "" {
		e.Reason = r
		e.Detail = "the generation was cancelled"
		s.release(g, comfreyadmission.OutcomeCancelled)
		s.finish(g, failedFrame(e), cancelOutcome(r))
		return
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		e.Reason = comfreyverdict.ReasonDeadline
		e.Detail = "the deadline passed"
	}
	s.release(g, comfreyadmission.OutcomeFailed)
	if e.Verdict == comfreyverdict.VerdictNotRun {
		s.finish(g, refusedFrame(e), comfreystream.OutcomeFailed)
		return
	}
	s.finish(g, failedFrame(e), comfreystream.OutcomeFailed)
}

// cancelOutcome distinguishes a cancellation by the caller from one by the
// system.
func cancelOutcome(r comfreyverdict.Reason) comfreystream.Outcome {
	if r == comfreyverdict.ReasonCancelled || r == comfreyverdict.ReasonCallerGone {
		return comfreystream.OutcomeCancelled
	}
	return comfreystream.OutcomeFailed
}

// release frees the capacity that the admission controller has reserved for a
// generation.
func (s *Sidecar) release(g *generation, o comfreyadmission.Outcome) {
	s.admission.send(s.group.Context(), admissionEvent{kind: admissionFinish, id: g.key, outcome: o})
}

// cancelInEngine cancels a generation that is no longer read, which frees its
// KV cache in the engine.
func (s *Sidecar) cancelInEngine(id string) {
	if id == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(s.group.Context()), cancelTimeout)
	defer cancel()
	if err := s.engine.Cancel(ctx, id); err != nil {
		s.recorder.Record("", comfreydecision.KindFinish, comfreyverdict.ReasonEngineFailed, map[string]any{"detail": "cancelling the generation in the engine failed: " + err.Error()})
	}
}
