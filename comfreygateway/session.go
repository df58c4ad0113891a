package comfreygateway

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"comfreyridge.example/comfreyridge/comfreydecision"
	"comfreyridge.example/comfreyridge/comfreyfleet"
	"comfreyridge.example/comfreyridge/comfreyproto"
	"comfreyridge.example/comfreyridge/comfreyrouter"
	"comfreyridge.example/comfreyridge/comfreyrpc"
	"comfreyridge.example/comfreyridge/comfreystream"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// session is one generation request, from its acceptance to its end. One
// goroutine owns it.
type session struct {
	gateway   *Gateway
	request   generationRequest
	output    output
	header    http.Header
	began     time.Time
	attempt   uint32
	excluded  []string
	member    comfreyfleet.Member
	sequencer *comfreystream.Sequencer
	// delivered is the number of the last frame that went to the caller.
	delivered uint64
	// relayed repeats delivered for the goroutine that renews leases.
	relayed atomic.Uint64
	// resumedAfter is the caller's last event on another connection.
	resumedAfter uint64
	tokens       int
	firstToken   time.Duration
	lastWrite    time.Time
	stall        time.Duration
}

// serveGeneration answers POST /v1/completions and /v1/chat/completions.
func (g *Gateway) serveGeneration(w http.ResponseWriter, r *http.Request) {
	id, c, ok := g.beginRequest(w, r)
	if !ok {
		return
	}
	if last := r.Header.Get("Last-Event-ID"); last != "" {
		g.resume(w, r, id, c, last)
		return
	}
	q, err := g.parseGeneration(w, r, id, c)
	if err != nil {
		g.refuse(w, id, err)
		return
	}
	release, err := g.limits.acquire(c)
	if err != nil {
		g.refuse(w, id, err)
		return
	}
	defer release()
	g.runSession(w, r, q)
}

// refuse answers a request that was never accepted.
func (g *Gateway) refuse(w http.ResponseWriter, id string, err error) {
	e := comfreyverdict.From(err)
	g.recorder.Record(id, comfreydecision.KindRefuse, e.Reason, map[string]any{"verdict": e.Verdict, "detail": e.Detail})
	writeRefusal(w, e, id)
}

func (g *Gateway) newOutput(w http.ResponseWriter, q generationRequest) output {
	c := newCallerConnection(w, g.config.WriteTimeout, g.config.Now)
	if q.stream {
		return newEventOutput(c, q.id)
	}
	return newWholeOutput(c, q.id, q.chat)
}

// runSession serves an accepted request to its end.
func (g *Gateway) runSession(w http.ResponseWriter, r *http.Request, q generationRequest) {
	s := &session{gateway: g, request: q, output: g.newOutput(w, q), header: w.Header(), began: g.config.Now(), lastWrite: g.config.Now()}
	ctx, cancel := g.requestContext(r.Context(), q.deadline)
	defer cancel()
	g.conservation.Accept(q.id, q.deadline)
	g.retrier(q.route.Service).Budget().RecordRequest(s.began)
	err := s.run(ctx)
	s.finish(err)
}

// requestContext bounds a request by the caller, its deadline and a stop of
// the gateway.
func (g *Gateway) requestContext(parent context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	ctx, cancelCause := context.WithCancelCause(parent)
	unhook := context.AfterFunc(g.stopped, func() { cancelCause(context.Cause(g.stopped)) })
	ctx, cancel := context.WithDeadline(ctx, deadline)
	return ctx, func() {
		cancel()
		unhook()
		cancelCause(nil)
	}
}

// run offers the request to upstreams until one has answered it. A nil error
// means that the caller has the whole answer. The verdict of an error covers
// every attempt.
func (s *session) run(ctx context.Context) error {
	var f failures
	for {
		err := s.try(ctx)
		if err == nil {
			return nil
		}
		e := s.explain(ctx, err)
		f.add(e)
		if !s.again(ctx, e) {
			return f.final()
		}
		s.excluded = append(s.excluded, s.member.Host)
		s.attempt++
	}
}

// explain replaces the failure of an ended context by the cause of its end.
func (s *session) explain(ctx context.Context, err error) comfreyverdict.Error {
	e := comfreyverdict.From(err)
	if ctx.Err() == nil {
		return e
	}
	var cause comfreyverdict.Error
	switch {
	case errors.As(context.Cause(ctx), &cause):
		e.Reason, e.Detail = cause.Reason, cause.Detail
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		e.Reason, e.Detail = comfreyverdict.ReasonDeadline, "the deadline passed"
	default:
		e.Reason, e.Detail = comfreyverdict.ReasonCallerGone, "the caller closed the connection"
	}
	return e
}

// again decides whether the request goes to another upstream.
func (s *session) again(ctx context.Context, e comfreyverdict.Error) bool {
	return s.gateway.again(ctx, s.request.id, s.request.route.Service, s.member.Host, comfreyrouter.FailedAttempt{
		Attempts:        int(s.attempt) + 1,
		Idempotent:      s.request.route.Service.Idempotent,
		ResponseStarted: s.delivered > 0,
		Deadline:        s.request.deadline,
		Err:             e,
	})
}

// try offers the request to one upstream.
func (s *session) try(ctx context.Context) error {
	g := s.gateway
	q := s.request
	s.sequencer = nil
	c, err := g.fleet.router.Choose(g.config.Now(), comfreyrouter.Query{
		Service:         q.route.Service.Name,
		DataCentres:     q.route.DataCentres,
		IsSpillDisabled: !q.route.Spill,
		PrefixHash:      q.prefix,
		ExcludedHosts:   s.excluded,
	})
	if err != nil {
		return err
	}
	s.member = comfreyfleet.Member{Host: c.Host, Address: c.Address}
	if m, ok := g.fleet.find(q.retry.host); ok && s.attempt == 0 && m.Service == q.route.Service.Name {
		s.member = m
	}
	g.recorder.Record(q.id, comfreydecision.KindRoute, c.Reason, routeFigures(c, s.attempt))
	stream, err := s.open(ctx, func(ctx context.Context) (*comfreyrpc.Stream, error) {
		return g.client.Start(ctx, s.member.Address, s.startRequest())
	})
	if err != nil {
		s.suspect(err)
		return err
	}
	return s.follow(ctx, stream)
}

func routeFigures(c comfreyrouter.Choice, attempt uint32) map[string]any {
	return map[string]any{
		"host":       c.Host,
		"attempt":    attempt,
		"load":       c.Load,
		"hint-known": c.HintKnown,
		"hint-age":   c.HintAge,
		"candidates": c.Candidates,
	}
}

func (s *session) startRequest() *comfreyproto.StartRequest {
	g := s.gateway
	q := s.request
	return &comfreyproto.StartRequest{
		RequestId:     q.id,
		Customer:      q.customer.Name,
		Service:       q.route.Service.Name,
		Path:          q.path,
		Body:          q.body,
		TimeoutMillis: comfreyrpc.Millis(q.deadline.Sub(g.config.Now())),
		MaxTokens:     uint32(q.maxTokens),
		Attempt:       s.attempt,
		Digest:        g.config.Digest(),
		Listed:        g.fleet.listed(s.member.Host),
		Crashes:       g.crashes.about(q),
		Booking:       s.booking(),
		Final:         g.retrier(q.route.Service).IsLastAttempt(int(s.attempt) + 1),
	}
}

// suspect turns a failed start into evidence against the host.
func (s *session) suspect(err error) {
	e := comfreyverdict.From(err)
	if e.Reason == comfreyverdict.ReasonDialFailed {
		s.gateway.fleet.suspect(s.member.Host, comfreyfleet.EvidenceDialFailed)
		return
	}
	s.gateway.fleet.suspect(s.member.Host, comfreyfleet.EvidenceConnectionSilent)
}

// finish records the outcome and, unless the caller has its answer, sends the
// final error at once.
func (s *session) finish(err error) {
	g := s.gateway
	o := comfreystream.OutcomeEnded
	e := comfreyverdict.Error{Verdict: comfreyverdict.VerdictRan, Reason: comfreyverdict.ReasonAccepted}
	if err != nil {
		e = comfreyverdict.From(err)
		o = comfreystream.OutcomeFailed
		if e.Reason == comfreyverdict.ReasonCallerGone || e.Reason == comfreyverdict.ReasonCancelled {
			o = comfreystream.OutcomeCancelled
		}
		s.offerRetry(e)
		s.output.fail(e)
		s.abandon(e)
	}
	g.sessions.remove(s)
	g.conservation.End(s.request.id, o)
	g.metrics.finished(e, o)
	c := s.completed(e, o)
	g.recorder.Record(s.request.id, comfreydecision.KindFinish, e.Reason, c.figures())
	g.config.OnRequestEnd(c)
}
