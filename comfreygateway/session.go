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

// session serves one generation request from its acceptance to its end. It is
// owned by one goroutine.
type session struct {
	gateway        *Gateway
	request        generationRequest
	output         output
	responseHeader http.Header
	acceptedAt     time.Time
	attempt        uint32
	excludedHosts  []string
	member         comfreyfleet.Member
	sequencer      *comfreystream.Sequencer
	// lastSeq is the sequence number of the last frame that was written to the
	// caller.
	lastSeq uint64
	// lastRelayedSeq is a copy of lastSeq for the goroutine that renews leases.
	lastRelayedSeq atomic.Uint64
	// resumedAfter is the sequence number of the last event that the caller
	// received on an earlier connection.
	resumedAfter uint64
	tokenCount   int
	firstToken   time.Duration
	lastArrival  time.Time
	longestStall time.Duration
}

// serveGeneration serves POST /v1/completions and /v1/chat/completions. With
// the header Last-Event-ID it resumes a stream instead.
func (g *Gateway) serveGeneration(w http.ResponseWriter, r *http.Request) {
	id, c, ok := g.beginRequest(w, r)
	if !ok {
		return
	}
	if lastEventID := r.Header.Get("Last-Event-ID"); lastEventID != "" {
		g.resume(w, r, id, c, lastEventID)
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

// refuse records and writes the refusal of a request.
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
	return newUnaryOutput(c, q.id, q.chat)
}

// runSession serves an accepted request to its end.
func (g *Gateway) runSession(w http.ResponseWriter, r *http.Request, q generationRequest) {
	s := &session{gateway: g, request: q, output: g.newOutput(w, q), responseHeader: w.Header(), acceptedAt: g.config.Now(), lastArrival: g.config.Now()}
	ctx, cancel := g.requestContext(r.Context(), q.deadline)
	defer cancel()
	g.requestTracker.Accept(q.id, q.deadline)
	g.retrier(q.route.Service).Budget().RecordRequest(s.acceptedAt)
	err := s.run(ctx)
	s.finish(err)
}

// requestContext returns a context that is cancelled when the caller
// disconnects, the deadline passes or the gateway stops.
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

// run sends the request to upstreams until one has responded. It returns nil if
// the caller has received the complete response. The verdict of an error covers
// every attempt.
func (s *session) run(ctx context.Context) error {
	var a attemptErrors
	for {
		err := s.sendAttempt(ctx)
		if err == nil {
			return nil
		}
		e := s.withContextCause(ctx, err)
		a.add(e)
		if !s.awaitRetry(ctx, e) {
			return a.final()
		}
		s.excludedHosts = append(s.excludedHosts, s.member.Host)
		s.attempt++
	}
}

// withContextCause returns err with the reason and detail of the cause if ctx
// has ended, since the error is then only a consequence.
func (s *session) withContextCause(ctx context.Context, err error) comfreyverdict.Error {
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

// awaitRetry reports whether to send the request to another upstream, and waits
// for the retry delay if so.
func (s *session) awaitRetry(ctx context.Context, e comfreyverdict.Error) bool {
	return s.gateway.awaitRetry(ctx, s.request.id, s.request.route.Service, s.member.Host, comfreyrouter.FailedAttempt{
		Attempts:        int(s.attempt) + 1,
		Idempotent:      s.request.route.Service.Idempotent,
		ResponseStarted: s.lastSeq > 0,
		Deadline:        s.request.deadline,
		Err:             e,
	})
}

// sendAttempt sends the request to one upstream and relays the response. The
// first attempt goes to the host of a retry token if that host is listed for
// the service.
func (s *session) sendAttempt(ctx context.Context) error {
	g := s.gateway
	q := s.request
	s.sequencer = nil
	c, err := g.fleet.router.Choose(g.config.Now(), comfreyrouter.Query{
		Service:         q.route.Service.Name,
		DataCentres:     q.route.DataCentres,
		IsSpillDisabled: !q.route.Spill,
		PrefixHash:      q.prefix,
		ExcludedHosts:   s.excludedHosts,
	})
	if err != nil {
		return err
	}
	s.member = comfreyfleet.Member{Host: c.Host, Address: c.Address}
	if m, ok := g.fleet.find(q.retryToken.host); ok && s.attempt == 0 && m.Service == q.route.Service.Name {
		s.member = m
	}
	g.recorder.Record(q.id, comfreydecision.KindRoute, c.Reason, routeFields(c, s.attempt))
	stream, err := s.open(ctx, func(ctx context.Context) (*comfreyrpc.Stream, error) {
		return g.client.Start(ctx, s.member.Address, s.startRequest())
	})
	if err != nil {
		s.suspect(err)
		return err
	}
	return s.relay(ctx, stream)
}

func routeFields(c comfreyrouter.Choice, attempt uint32) map[string]any {
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
		Listed:        g.fleet.listedState(s.member.Host),
		Crashes:       g.crashRecords.forRequest(q),
		Booking:       s.retriedAttempt(),
		Final:         g.retrier(q.route.Service).IsLastAttempt(int(s.attempt) + 1),
	}
}

// suspect records a failed connection as evidence against the host.
func (s *session) suspect(err error) {
	e := comfreyverdict.From(err)
	if e.Reason == comfreyverdict.ReasonDialFailed {
		s.gateway.fleet.suspect(s.member.Host, comfreyfleet.EvidenceDialFailed)
		return
	}
	s.gateway.fleet.suspect(s.member.Host, comfreyfleet.EvidenceConnectionSilent)
}

// finish records the outcome of the request. If err is not nil, it first sends
// the final error to the caller.
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
		s.setRetryToken(e)
		s.output.fail(e)
		s.cancelGeneration(e)
	}
	g.sessions.remove(s)
	g.requestTracker.End(s.request.id, o)
	g.metrics.countRequest(e, o)
	r := s.summary(e, o)
	g.recorder.Record(s.request.id, comfreydecision.KindFinish, e.Reason, r.logFields())
	g.config.OnRequestEnd(r)
}
