package comfreyforward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"comfreyridge.example/comfreyridge/comfreycall"
	"comfreyridge.example/comfreyridge/comfreyconnection"
	"comfreyridge.example/comfreyridge/comfreydecision"
	"comfreyridge.example/comfreyridge/comfreyplacement"
	"comfreyridge.example/comfreyridge/comfreyroute"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

const (
	// maxBuffered is the size up to which an answer is read whole before the
	// caller gets its head, so that a cut answer can be told from a whole one.
	maxBuffered = 64 << 10
	// maxOffers bounds the replicas that one request is offered to, refusals
	// included.
	maxOffers = 4
	// busyRetry is when callers return that found every replica busy: a request
	// to an application takes some tens of milliseconds.
	busyRetry = 150 * time.Millisecond
)

// attemptError says why an attempt did not end in an answer for the caller.
type attemptError struct {
	reason comfreyverdict.Reason
	// isNotRun means that the replica has not run the request.
	isNotRun bool
	cause    error
}

// Error implements the error interface.
func (e *attemptError) Error() string {
	if e.cause == nil {
		return "comfreyforward: " + string(e.reason)
	}
	return "comfreyforward: " + string(e.reason) + ": " + e.cause.Error()
}

// forwardPlain forwards a request whose answer is not a stream of events.
func (g *Gateway) forwardPlain(ctx context.Context, x *exchange) {
	g.retryBudget(x.service.Name).RecordRequest(x.started)
	var last *attemptError
	for {
		c, ok := g.choosePlain(x)
		if !ok {
			g.giveUp(ctx, x, last)
			return
		}
		last = g.attemptPlain(ctx, x, c)
		if last == nil || !g.mayRetry(ctx, x, last) {
			if last != nil {
				g.giveUp(ctx, x, last)
			}
			return
		}
	}
}

// choosePlain chooses a replica that was not tried yet.
func (g *Gateway) choosePlain(x *exchange) (comfreyplacement.Candidate, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Now()
	l := g.candidates(now, x.service, x.tried)
	i := comfreyplacement.ChooseForUnary(l, g.config.Rand)
	if i < 0 {
		return comfreyplacement.Candidate{}, false
	}
	c := l[i]
	x.tried[c.ID] = true
	p := g.plain[c.ID]
	if p == nil {
		p = &plainLoad{}
		g.plain[c.ID] = p
	}
	p.inFlight++
	return c, true
}

// mayRetry reports whether another replica may be offered the request after an
// attempt that failed.
func (g *Gateway) mayRetry(ctx context.Context, x *exchange, e *attemptError) bool {
	if ctx.Err() != nil || x.offered >= maxOffers {
		return false
	}
	if !e.isNotRun && (x.route.Kind != comfreyroute.KindIdempotent || x.sent >= x.route.MaxAttempts) {
		return false
	}
	if e.reason == comfreyverdict.ReasonDialFailed {
		return true
	}
	isAllowed := g.retryBudget(x.service.Name).TryRetry(g.config.Now(), e.reason)
	f := x.figures(g.config.Now())
	f["allowed"] = isAllowed
	g.record(x.call.ID, comfreydecision.KindRetry, e.reason, f)
	return isAllowed
}

// giveUp sends the final answer after the last attempt.
func (g *Gateway) giveUp(ctx context.Context, x *exchange, e *attemptError) {
	reason := comfreyverdict.ReasonNoUpstream
	var cause error
	if e != nil {
		reason, cause = e.reason, e.cause
	}
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		g.record(x.call.ID, comfreydecision.KindFinish, comfreyverdict.ReasonCallerGone, x.figures(g.config.Now()))
		panic(http.ErrAbortHandler)
	case x.sent > 0 && ctx.Err() != nil:
		g.fail(x, http.StatusGatewayTimeout, comfreyverdict.ReasonDeadline, cause)
	case x.sent > 0:
		g.fail(x, http.StatusBadGateway, reason, cause)
	default:
		g.refuse(x, reason, busyRetry)
	}
}

// attemptPlain sends a request to one replica and passes on its answer. It
// returns nil if the caller has its answer.
func (g *Gateway) attemptPlain(ctx context.Context, x *exchange, c comfreyplacement.Candidate) *attemptError {
	a, reply, e := g.send(ctx, x, c, comfreycall.Attempt{Replica: c.ID})
	defer g.finishPlain(c, reply)
	if e != nil {
		return e
	}
	defer a.Close()
	if a.Status >= http.StatusInternalServerError && x.route.Kind == comfreyroute.KindIdempotent && x.sent < x.route.MaxAttempts && !g.retryBudget(x.service.Name).IsExhausted() {
		return &attemptError{reason: comfreyverdict.ReasonEngineFailed}
	}
	return g.relayPlain(x, c, a, reply)
}

// finishPlain notes the end of an attempt.
func (g *Gateway) finishPlain(c comfreyplacement.Candidate, r comfreycall.ResponseHeader) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.plain[c.ID]
	p.inFlight--
	if r.HasLoad {
		p.reported, p.at = max(r.Running-1, 0)+r.Waiting, g.config.Now()
	}
}

// send sends one attempt and reads the head of the answer. An answer that is
// not for the caller becomes an error.
func (g *Gateway) send(ctx context.Context, x *exchange, c comfreyplacement.Candidate, t comfreycall.Attempt) (*comfreyconnection.Response, comfreycall.ResponseHeader, *attemptError) {
	x.offered++
	x.replica = c.ID
	a, err := g.config.Pool.Do(ctx, c.Address, g.request(x, t))
	if err != nil {
		var s *comfreyconnection.SendError
		e := &attemptError{reason: comfreyverdict.ReasonConnectionLost, cause: err}
		if errors.As(err, &s) && !s.MayHaveArrived {
			e.isNotRun, e.reason = true, comfreyverdict.ReasonDialFailed
		} else {
			x.sent++
		}
		if ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded) {
			g.noteOutcome(c.ID, true)
		}
		return nil, comfreycall.ResponseHeader{}, e
	}
	r := g.config.Protocol.ParseResponseHeaders(a.Status, a.Header)
	switch {
	case r.IsOtherReplica:
		a.Close()
		g.mu.Lock()
		changes := g.replicas.MarkReplaced(g.config.Now(), c.ID)
		g.mu.Unlock()
		g.noteChanges(changes)
		return nil, r, &attemptError{reason: comfreyverdict.ReasonForeignReplica, isNotRun: true}
	case r.IsNotRun && a.Status != http.StatusBadRequest:
		a.Close()
		g.noteOutcome(c.ID, true)
		return nil, r, &attemptError{reason: comfreyverdict.ReasonEngineRefused, isNotRun: true}
	}
	x.sent++
	g.noteOutcome(c.ID, a.Status >= http.StatusInternalServerError)
	if a.Status < 300 && !r.IsSigned {
		a.Close()
		return nil, r, &attemptError{reason: comfreyverdict.ReasonUnsealedAnswer}
	}
	return a, r, nil
}

// noteOutcome remembers how a request to a replica ended.
func (g *Gateway) noteOutcome(replica string, failed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.health.Record(g.config.Now(), replica, failed)
}

// relayPlain passes an answer on. A small one is read whole first.
func (g *Gateway) relayPlain(x *exchange, c comfreyplacement.Candidate, a *comfreyconnection.Response, r comfreycall.ResponseHeader) *attemptError {
	var b bytes.Buffer
	_, err := io.CopyN(&b, a.Body, maxBuffered)
	if err != nil && !errors.Is(err, io.EOF) {
		g.noteOutcome(c.ID, true)
		return &attemptError{reason: comfreyverdict.ReasonAnswerCut, cause: err}
	}
	isWhole := errors.Is(err, io.EOF)
	if isWhole && a.Length >= 0 && int64(b.Len()) != a.Length && x.r.Method != http.MethodHead {
		return &attemptError{reason: comfreyverdict.ReasonAnswerCut}
	}
	g.copyHead(x, a)
	x.w.WriteHeader(a.Status)
	if _, err = x.w.Write(b.Bytes()); err == nil && !isWhole {
		_, err = io.Copy(x.w, a.Body)
	}
	f := x.figures(g.config.Now())
	f["status"], f["sealed"] = a.Status, r.IsSigned
	if err != nil {
		f["error"] = err.Error()
		g.record(x.call.ID, comfreydecision.KindFinish, comfreyverdict.ReasonAnswerCut, f)
		panic(http.ErrAbortHandler)
	}
	g.record(x.call.ID, comfreydecision.KindFinish, comfreyverdict.ReasonAccepted, f)
	g.observe(x, a.Status)
	return nil
}
