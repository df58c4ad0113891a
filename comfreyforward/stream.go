package comfreyforward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"comfreyridge.example/comfreyridge/comfreycall"
	"comfreyridge.example/comfreyridge/comfreyconnection"
	"comfreyridge.example/comfreyridge/comfreydecision"
	"comfreyridge.example/comfreyridge/comfreylength"
	"comfreyridge.example/comfreyridge/comfreyplacement"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

const (
	// maxContinuations bounds how often one generation is resumed, so that a
	// fault cannot move it for ever; a generation of 25 s meets eight leaving
	// replicas.
	maxContinuations = 50
	// defaultWriteTimeout is Config.WriteTimeout if that is zero.
	defaultWriteTimeout = 5 * time.Second
)

// lengthDistribution returns the distribution of the output lengths of a
// generation's class. The mutex must be held.
func (g *Gateway) lengthDistribution(n *generation) *comfreylength.Distribution {
	return g.lengths.Distribution(comfreylength.Key{Service: n.service.Name, Class: n.class})
}

// forwardStream forwards a request whose response is a stream of events.
func (g *Gateway) forwardStream(ctx context.Context, x *exchange) {
	n := &generation{
		request: x.call.ID, service: x.service, homes: x.homes, pauses: pausesOf(x), class: x.route.Name,
		promptTokens: x.call.PromptTokens, maxTokens: x.call.MaxTokens, lastEvent: x.call.LastEvent,
	}
	g.retryBudget(x.service.Name).RecordRequest(x.started)
	g.recognizeReturn(x)
	x.generation = n
	g.addGeneration(n)
	isComplete := false
	defer func() { g.removeGeneration(n, isComplete) }()
	a, e := g.startStream(ctx, x, n)
	if e != nil {
		g.respondStreamFailure(ctx, x, e)
		return
	}
	g.observeReturn(x, "placed")
	isComplete = g.relayStream(ctx, x, n, a)
}

// respondStreamFailure sends the final response to a request whose stream has
// not started. If no attempt may have run, its retry-after is that of the
// queue.
func (g *Gateway) respondStreamFailure(ctx context.Context, x *exchange, e *attemptError) {
	if x.sent == 0 && ctx.Err() == nil && e.retryAfter == 0 {
		g.refuseFull(x, e.reason)
		return
	}
	g.respondFailure(ctx, x, e)
}

// startStream places a generation, sends it, and returns the response once its
// headers have arrived.
func (g *Gateway) startStream(ctx context.Context, x *exchange, n *generation) (*comfreyconnection.Response, *attemptError) {
	var last *attemptError
	for {
		c, e := g.awaitPlacement(ctx, x, n)
		if e == nil {
			// The search may have taken long.
			e = g.checkGenerationStop(x, n)
		}
		if e != nil {
			if last != nil && !(last.isNotRun && e.retryAfter > 0) {
				return nil, last
			}
			return nil, e
		}
		t := newAttempt(c.Candidate, nil)
		t.Reservation = c.reservation
		n.sentAt = g.config.Now()
		a, _, e := g.send(ctx, x, c.Candidate, t)
		if e == nil {
			return a, nil
		}
		if e.isLost && ctx.Err() == nil {
			// A move may have stopped the generation before it sent anything.
			if a, e, ok := g.resume(ctx, x, n, e); ok {
				return a, e
			}
		}
		last = e
		if !g.mayRetry(ctx, x, e) {
			return nil, last
		}
	}
}

// priority returns the priority of a request; that of the customer takes
// precedence over that of the route.
func (x *exchange) priority() int {
	if x.customer.HasPriority {
		return x.customer.Priority
	}
	return x.route.Priority
}

// newAttempt returns an attempt to start a generation or, given a continuation,
// to resume it. It sends no priority, because an engine would interrupt running
// generations for a more urgent one.
func newAttempt(c comfreyplacement.Candidate, next *continuation) comfreycall.Attempt {
	t := comfreycall.Attempt{Replica: c.ID}
	if next != nil {
		t.Continue = &next.Continuation
	}
	return t
}

// relayStream relays the events of a generation, also from the replicas at
// which it is resumed. It reports whether the caller received the complete
// response.
func (g *Gateway) relayStream(ctx context.Context, x *exchange, n *generation, a *comfreyconnection.Response) bool {
	o := &streamWriter{g: g, x: x, n: n, controller: http.NewResponseController(x.w)}
	for range maxContinuations {
		err := o.relay(a)
		a.Close()
		if err == nil && a.EndsWithConnection && g.awaitStopped(ctx, n) {
			err = errStopped
		}
		if err == nil {
			g.completeAttempt(x, a.Status)
			// The server writes the end of the response once the handler has returned.
			o.extendDeadline()
			g.finishStream(x, n, o, comfreyverdict.ReasonAccepted, nil)
			return true
		}
		if ctx.Err() != nil || o.isBroken {
			g.abortStream(ctx, x, n, o, err)
			return false
		}
		var e *attemptError
		var ok bool
		a, e, ok = g.resume(ctx, x, n, err)
		switch {
		case !ok:
			g.loseAttempt(x, n.replica, err)
			g.recordOutcome(n.replica.ID, true)
			g.abortStream(ctx, x, n, o, err)
			return false
		case e != nil:
			g.abortStream(ctx, x, n, o, e)
			return false
		}
	}
	g.abortStream(ctx, x, n, o, errors.New("comfreyforward: too many continuations"))
	return false
}

// abortStream ends a stream that is not complete: with an error status if no
// response headers were sent, else by closing the caller's connection.
func (g *Gateway) abortStream(ctx context.Context, x *exchange, n *generation, o *streamWriter, err error) {
	if isEndedByStop(ctx) {
		g.respondToStop(x)
		return
	}
	reason := reasonOf(err, comfreyverdict.ReasonAnswerCut)
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		reason = comfreyverdict.ReasonDeadline
	case isHeldBack(ctx):
		reason, err = comfreyverdict.ReasonSuspectRequest, errHeldBack
	case isCutByStop(ctx):
		reason, err = comfreyverdict.ReasonLeaving, errStopCuts
	case ctx.Err() != nil || o.isBroken:
		reason = comfreyverdict.ReasonCallerGone
	}
	if !o.isHeaderSent && !o.isBroken && !isCallerGone(ctx) {
		status := http.StatusBadGateway
		if reason == comfreyverdict.ReasonDeadline {
			status = http.StatusGatewayTimeout
		}
		g.fail(x, status, reason, err)
		return
	}
	g.finishStream(x, n, o, reason, err)
	panic(http.ErrAbortHandler)
}

// finishStream records the end of a stream that had started.
func (g *Gateway) finishStream(x *exchange, n *generation, o *streamWriter, reason comfreyverdict.Reason, err error) {
	f := x.logFields(g.config.Now())
	f["replica"], f["events"] = n.replica.ID, n.events
	f["moves"] = n.moves
	if !o.firstEventAt.IsZero() {
		f["first-ms"], f["longest-pause-ms"], f["pause-event"] = o.firstEventAt.Sub(x.started).Milliseconds(), o.longestPause.Milliseconds(), o.longestPauseEvent
		g.metrics.firstEvent.Observe(o.firstEventAt.Sub(x.started).Seconds())
		g.metrics.longestPause.Observe(o.longestPause.Seconds())
	}
	if err != nil {
		f["error"] = err.Error()
	}
	g.record(n.request, comfreydecision.KindFinish, reason, f)
	if reason == comfreyverdict.ReasonAccepted {
		g.observeTokenTime(n, o.latestEventAt.Sub(o.firstEventAt))
		g.observeResponse(x, http.StatusOK)
	}
}

// streamWriter writes the events of a generation to its caller.
type streamWriter struct {
	g          *Gateway
	x          *exchange
	n          *generation
	controller *http.ResponseController
	// isHeaderSent means that the response headers were sent to the caller.
	isHeaderSent bool
	// isBroken means that writing to the caller has failed.
	isBroken bool
	// firstEventAt and latestEventAt are when the first and the latest event
	// were sent to the caller.
	firstEventAt, latestEventAt time.Time
	// longestPause is the longest time between two events, and
	// longestPauseEvent the number of the event that ended it.
	longestPause      time.Duration
	longestPauseEvent int
}

// observeEventTime records when an event was sent to the caller.
func (o *streamWriter) observeEventTime(now time.Time) {
	switch d := now.Sub(o.latestEventAt); {
	case o.firstEventAt.IsZero():
		o.firstEventAt = now
		o.g.observeFirstEvent(o.n, now.Sub(o.n.sentAt))
	case d > o.longestPause:
		o.longestPause, o.longestPauseEvent = d, o.n.events
	}
	o.latestEventAt = now
	if o.n.events%eventsPerTimeEstimate == 0 {
		o.g.observeTokenTime(o.n, now.Sub(o.firstEventAt))
	}
}

// relay relays the events of one response. It returns nil if the response is
// complete.
func (o *streamWriter) relay(a *comfreyconnection.Response) error {
	e := newEventReader(a.Body, o.g.lastEvent(o.n))
	for {
		b, err := e.next()
		isEnd := errors.Is(err, io.EOF)
		if err != nil && !isEnd {
			return err
		}
		if isEnd && len(b) > 0 && isEventStream(a) {
			return errPartialEvent
		}
		if !o.isHeaderSent {
			if !o.x.beginResponse() {
				return errStopEnds
			}
			o.writeHeader(a)
		}
		if len(b) > 0 {
			if err := o.write(b, isEnd || !e.hasCompleteEvent()); err != nil {
				return err
			}
		}
		if isEnd {
			return nil
		}
		o.g.countEvent(o.x, o.n, e.id)
		o.observeEventTime(o.g.config.Now())
	}
}

// errPartialEvent means that a stream has ended inside an event.
var errPartialEvent = errors.New("comfreyforward: expected the end of an event, got the end of the stream")

// isEventStream reports whether the body of a response consists of events. That of an
// error may not.
func isEventStream(a *comfreyconnection.Response) bool {
	return strings.HasPrefix(strings.ToLower(a.Header.Get("Content-Type")), "text/event-stream")
}

// writeHeader sends the status and headers of the response to the caller.
func (o *streamWriter) writeHeader(a *comfreyconnection.Response) {
	o.isHeaderSent = true
	o.g.copyHeader(o.x, a)
	o.x.w.Header().Del("Content-Length")
	o.x.w.WriteHeader(a.Status)
}

// write sends bytes to the caller, and flushes them if no more are available.
func (o *streamWriter) write(b []byte, isLast bool) error {
	o.extendDeadline()
	_, err := o.x.w.Write(b)
	if err == nil && isLast {
		err = o.controller.Flush()
	}
	o.isBroken = err != nil
	return err
}

// extendDeadline gives what is written next the write timeout.
func (o *streamWriter) extendDeadline() {
	// A connection that does not support deadlines is written to without one.
	_ = o.controller.SetWriteDeadline(time.Now().Add(o.g.config.WriteTimeout))
}
