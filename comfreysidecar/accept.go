package comfreysidecar

import (
	"comfreyridge.example/comfreyridge/comfreyadmission"
	"comfreyridge.example/comfreyridge/comfreyproto"
	"comfreyridge.example/comfreyridge/comfreyrpc"
	"comfreyridge.example/comfreyridge/comfreystream"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// bytesPerToken estimates the number of prompt tokens before the engine has
// counted them.
const bytesPerToken = 4

// accept checks a request and submits it to the admission controller. The error
// is a comfreyverdict.Error; not-run means that the attempt is recorded, so
// that a late copy of it cannot run either.
func (s *Sidecar) accept(m *comfreyproto.StartRequest) (*generation, error) {
	s.quarantine.merge(m.Crashes)
	now := s.config.Now()
	key := attemptKey(m.RequestId, m.Attempt)
	if !s.table.recordAttempt(key, now) {
		return nil, comfreyverdict.MayHaveRun(comfreyverdict.ReasonDuplicateRequest, "the sidecar has seen this attempt before")
	}
	if err := s.checkLifecycle(); err != nil {
		return nil, err
	}
	if err := s.checkHostList(); err != nil {
		return nil, err
	}
	v, err := s.checkService(m.Service, len(m.Body))
	if err != nil {
		return nil, err
	}
	timeout := comfreyrpc.Duration(m.TimeoutMillis)
	if timeout <= 0 || timeout > v.Deadline {
		timeout = v.Deadline
	}
	id := comfreystream.GenerationID{Host: s.config.Host, Incarnation: uint64(s.config.Incarnation), Counter: s.table.nextCounter()}
	g := newGeneration(id, m, now, now.Add(timeout))
	s.table.add(g)
	s.requests.Accept(g.key, g.deadline)
	s.admission.send(s.group.Context(), admissionEvent{kind: admissionSubmit, request: comfreyadmission.Request{
		ID:            g.key,
		Customer:      m.Customer,
		Service:       m.Service,
		PromptTokens:  len(m.Body) / bytesPerToken,
		MaxTokens:     int(m.MaxTokens),
		Deadline:      g.deadline,
		RetryToken:    m.Booking,
		IsLastAttempt: m.Final,
	}})
	return g, nil
}

// finish ends a generation with its last frame. It does nothing if the
// generation has ended before.
func (s *Sidecar) finish(g *generation, f *comfreyproto.Frame, o comfreystream.Outcome) {
	f.Load = s.Load()
	f.Crashes = s.quarantine.gossipBatch()
	if !g.end(f, s.config.Now()) {
		return
	}
	s.requests.End(g.key, o)
	s.recordFinish(g, f, o)
}

// refuseQueued refuses a generation that has not started.
func (s *Sidecar) refuseQueued(g *generation, e comfreyverdict.Error) {
	s.admission.send(s.group.Context(), admissionEvent{kind: admissionCancel, id: g.key})
	s.finish(g, refusedFrame(e), comfreystream.OutcomeFailed)
}

// cancel ends a queued generation at once, or cancels the engine's stream of a
// running one, which frees its KV cache in the engine.
func (s *Sidecar) cancel(g *generation, r comfreyverdict.Reason) {
	if g.requestCancel(r) {
		return
	}
	s.admission.send(s.group.Context(), admissionEvent{kind: admissionCancel, id: g.key})
	s.finish(g, refusedFrame(comfreyverdict.NotRun(r, "cancelled before it began")), comfreystream.OutcomeCancelled)
}
