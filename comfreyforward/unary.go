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
	"comfreyridge.example/comfreyridge/comfreygroup"
	"comfreyridge.example/comfreyridge/comfreyplacement"
	"comfreyridge.example/comfreyridge/comfreyreplica"
	"comfreyridge.example/comfreyridge/comfreyroute"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

const (
	// maxBufferedBytes is the size up to which a response is read completely
	// before its headers are sent to the caller, so that a truncated response
	// can be detected.
	maxBufferedBytes = 64 << 10
	// maxReplicasTried bounds the attempts of one request, including refused
	// ones.
	maxReplicasTried = 4
	// busyRetryAfter is the retry-after of a request for which every replica
	// was busy: a request to an application takes some tens of milliseconds.
	busyRetryAfter = 150 * time.Millisecond
	// lossRetryDelay is the delay before a request is sent again after its connection
	// broke. It exceeds crashCheckDelay, so that a crash is known by then, also one
	// that another gateway has observed.
	lossRetryDelay = 50 * time.Millisecond
)

// attemptError is why an attempt did not produce a response for the caller.
type attemptError struct {
	reason comfreyverdict.Reason
	// isNotRun means that the replica did not run the request.
	isNotRun bool
	// isLost means that the connection broke, or was closed because of a malformed
	// response, before the response was complete.
	isLost bool
	// isUnsent means that the attempt was not sent to the replica.
	isUnsent bool
	// retryAfter is the delay after which the caller should retry; zero if the
	// reason determines it.
	retryAfter time.Duration
	cause      error
}

// isSuspect reports whether the request was held back because of the crashes in
// which it was in flight.
func (e *attemptError) isSuspect() bool {
	return e.reason == comfreyverdict.ReasonSuspectRequest || e.reason == comfreyverdict.ReasonSuspectBusy
}

// Error implements the error interface.
func (e *attemptError) Error() string {
	if e.cause == nil {
		return "comfreyforward: " + string(e.reason)
	}
	return "comfreyforward: " + string(e.reason) + ": " + e.cause.Error()
}

// forwardUnary forwards a request of a route that does not stream.
func (g *Gateway) forwardUnary(ctx context.Context, x *exchange) {
	g.retryBudget(x.service.Name).RecordRequest(x.started)
	var last *attemptError
	for {
		if e := g.checkUnaryStop(x); e != nil {
			if last != nil && !last.isNotRun {
				e = last
			}
			g.respondFailure(ctx, x, e)
			return
		}
		c, ok := g.chooseUnary(x)
		if !ok {
			isNotRun := last == nil || last.isNotRun
			if e := g.checkServable(x); e != nil && isNotRun {
				g.respondFailure(ctx, x, e)
				return
			}
			isPermitted, e := g.checkClosed(ctx, x, isNotRun)
			if isPermitted {
				continue
			}
			if isNotRun && e != nil {
				last = e
			}
			g.respondFailure(ctx, x, last)
			return
		}
		last = g.attemptUnary(ctx, x, c)
		if last == nil || !g.mayRetry(ctx, x, last) {
			if last != nil {
				g.respondFailure(ctx, x, last)
			}
			return
		}
		if last.isLost {
			comfreygroup.Sleep(ctx, lossRetryDelay)
		}
	}
}

// chooseUnary chooses a replica that was not tried yet, and counts the request
// there.
func (g *Gateway) chooseUnary(x *exchange) (comfreyplacement.Candidate, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Now()
	l := g.candidates(now, x.search())
	i := comfreyplacement.ChooseForUnary(l, g.config.Rand)
	if i < 0 {
		return comfreyplacement.Candidate{}, false
	}
	c := l[i]
	x.tried[c.ID] = true
	p := g.unaryLoads[c.ID]
	if p == nil {
		p = &unaryLoad{}
		g.unaryLoads[c.ID] = p
	}
	p.inFlight++
	return c, true
}

// mayRetry reports whether the request may be sent to another replica after a
// failed attempt.
func (g *Gateway) mayRetry(ctx context.Context, x *exchange, e *attemptError) bool {
	if ctx.Err() != nil || x.offered >= maxReplicasTried || e.isSuspect() {
		return false
	}
	if !e.isNotRun && (x.route.Kind != comfreyroute.KindIdempotent || x.sent >= x.route.MaxAttempts) {
		return false
	}
	// An attempt that reached no replica costs no retry budget.
	if e.isUnsent || e.reason == comfreyverdict.ReasonDialFailed {
		return true
	}
	isAllowed := g.retryBudget(x.service.Name).TryRetry(g.config.Now(), e.reason)
	f := x.logFields(g.config.Now())
	f["allowed"] = isAllowed
	if e.cause != nil {
		f["error"] = e.cause.Error()
	}
	g.record(x.call.ID, comfreydecision.KindRetry, e.reason, f)
	return isAllowed
}

// respondFailure sends the final response after the last attempt has failed.
func (g *Gateway) respondFailure(ctx context.Context, x *exchange, e *attemptError) {
	reason := comfreyverdict.ReasonNoUpstream
	var cause error
	if e != nil {
		reason, cause = e.reason, e.cause
	}
	switch {
	case isEndedByStop(ctx):
		g.respondToStop(x)
	case isHeldBack(ctx) && x.sent > 0:
		g.fail(x, http.StatusBadGateway, comfreyverdict.ReasonSuspectRequest, errHeldBack)
	case isCallerGone(ctx):
		g.record(x.call.ID, comfreydecision.KindFinish, comfreyverdict.ReasonCallerGone, x.logFields(g.config.Now()))
		panic(http.ErrAbortHandler)
	case x.sent > 0 && ctx.Err() != nil:
		g.fail(x, http.StatusGatewayTimeout, comfreyverdict.ReasonDeadline, cause)
	case x.sent > 0:
		g.fail(x, http.StatusBadGateway, reason, cause)
	case e != nil && e.retryAfter > 0:
		g.refuse(x, reason, e.retryAfter)
	default:
		g.refuse(x, reason, busyRetryAfter)
	}
}

// attemptUnary sends a request to one replica and relays its response. It
// returns nil once the caller has a response.
func (g *Gateway) attemptUnary(ctx context.Context, x *exchange, c comfreyplacement.Candidate) *attemptError {
	began := g.config.Now()
	a, reply, e := g.send(ctx, x, c, comfreycall.Attempt{Replica: c.ID})
	defer g.finishUnary(c, reply)
	if e != nil {
		return e
	}
	g.observeResponseTime(x, g.config.Now().Sub(began))
	defer a.Close()
	if a.Status >= http.StatusInternalServerError && x.route.Kind == comfreyroute.KindIdempotent && x.sent < x.route.MaxAttempts && !g.retryBudget(x.service.Name).IsExhausted() {
		g.completeAttempt(x, a.Status)
		return &attemptError{reason: comfreyverdict.ReasonEngineFailed}
	}
	return g.relayUnary(ctx, x, c, a, reply)
}

// finishUnary ends the count of an attempt and stores the load in its response.
func (g *Gateway) finishUnary(c comfreyplacement.Candidate, r comfreycall.ResponseHeader) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.unaryLoads[c.ID]
	p.inFlight--
	if r.HasLoad {
		// The reported load includes the request of this response.
		p.reported, p.reportedAt = max(r.Running-1, 0)+r.Waiting, g.config.Now()
	}
}

// send sends one attempt and reads the response headers. A response that must
// not be relayed to the caller is returned as an error.
func (g *Gateway) send(ctx context.Context, x *exchange, c comfreyplacement.Candidate, t comfreycall.Attempt) (*comfreyconnection.Response, comfreycall.ResponseHeader, *attemptError) {
	// A generation that is resumed after its first event has run without a crash.
	if t.Continue == nil || !t.Continue.HasProgress {
		if e := g.checkSuspect(x); e != nil {
			return nil, comfreycall.ResponseHeader{}, e
		}
	}
	x.offered++
	x.replica.Store(&c.ID)
	g.beginAttempt(x, c)
	purpose := comfreyreplica.PurposeWork
	if t.Continue != nil {
		purpose = comfreyreplica.PurposeResume
	}
	q := g.attemptRequest(x, t)
	q.Permit = func() error {
		// Choosing a replica, and opening a connection, may have taken long.
		if t.Continue == nil && g.checkStop(x) != nil {
			return errStopRefuses
		}
		k := &call{replica: c.ID, purpose: purpose, permit: x.permit, key: x.key()}
		x.permit = comfreyreplica.Permit{}
		err := g.permitCall(ctx, k)
		if err != nil {
			x.permit = k.permit // It may be for another replica.
		}
		return err
	}
	a, err := g.config.Pool.Do(ctx, c.Address, q)
	if err != nil {
		return nil, comfreycall.ResponseHeader{}, g.handleSendError(ctx, x, c, err)
	}
	r := g.config.Protocol.ParseResponseHeaders(a.Status, a.Header)
	g.observeHeader(c.ID, c.Address, r)
	g.finishWork(c, a.Status >= http.StatusInternalServerError)
	switch {
	case r.IsOtherReplica:
		a.Close()
		g.endAttempt(x)
		return nil, r, &attemptError{reason: comfreyverdict.ReasonForeignReplica, isNotRun: true}
	case r.IsNotRun && a.Status != http.StatusBadRequest:
		a.Close()
		g.endAttempt(x)
		if r.Pause == 0 {
			g.recordOutcome(c.ID, true)
		}
		return nil, r, &attemptError{reason: comfreyverdict.ReasonEngineRefused, isNotRun: true}
	}
	x.sent++
	g.observeResponding(x)
	g.recordOutcome(c.ID, a.Status >= http.StatusInternalServerError)
	if a.Status < 300 && !r.IsSigned {
		a.Close()
		return nil, r, &attemptError{reason: comfreyverdict.ReasonUnsealedAnswer}
	}
	return a, r, nil
}

// handleSendError handles an attempt that got no response.
func (g *Gateway) handleSendError(ctx context.Context, x *exchange, c comfreyplacement.Candidate, err error) *attemptError {
	var s *comfreyconnection.SendError
	mayHaveArrived := !errors.As(err, &s) || s.MayHaveArrived
	if mayHaveArrived && ctx.Err() == nil && g.canResume(x.generation) {
		g.finishWork(c, false)
		x.sent++
		return &attemptError{reason: reasonOf(err, comfreyverdict.ReasonConnectionLost), isLost: true, cause: err}
	}
	g.finishWork(c, true)
	if errors.Is(err, errStopRefuses) {
		g.endAttempt(x)
		x.offered--
		return &attemptError{reason: comfreyverdict.ReasonLeaving, isNotRun: true, isUnsent: true, cause: err}
	}
	if reason, ok := permitReason(err); ok {
		g.endAttempt(x)
		x.offered--
		if reason == comfreyverdict.ReasonUpstreamLimited {
			delete(x.tried, c.ID) // It may have room later.
		}
		return &attemptError{reason: reason, isNotRun: true, isUnsent: true, cause: err}
	}
	// A replica at which a likely cause of crashes was in flight may be silent from now on.
	if ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded) || isHeldBack(ctx) {
		g.recordOutcome(c.ID, true)
	}
	reason := reasonOf(err, comfreyverdict.ReasonConnectionLost)
	if ctx.Err() == nil && reason == comfreyverdict.ReasonConnectionLost {
		g.mu.Lock()
		g.replicas.ObserveConnectionLost(g.config.Now(), c.ID)
		g.mu.Unlock()
	}
	if !mayHaveArrived {
		g.endAttempt(x)
		if isRefused(err) {
			g.observeDialRefused(c)
		}
		return &attemptError{reason: comfreyverdict.ReasonDialFailed, isNotRun: true, cause: err}
	}
	x.sent++
	if ctx.Err() == nil {
		g.loseAttempt(x, c, err)
	}
	return &attemptError{reason: reason, isLost: true, cause: err}
}

// reasonOf returns why a call has failed that was sent: a malformed response, or else the
// given reason.
func reasonOf(err error, otherwise comfreyverdict.Reason) comfreyverdict.Reason {
	if errors.Is(err, comfreyconnection.ErrMalformedResponse) {
		return comfreyverdict.ReasonMalformedAnswer
	}
	return otherwise
}

// recordOutcome records whether a request to a replica failed, for its failure
// rate.
func (g *Gateway) recordOutcome(replica string, failed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.health.Record(g.config.Now(), replica, failed)
}

// relayUnary relays a response. A small one is read completely first.
func (g *Gateway) relayUnary(ctx context.Context, x *exchange, c comfreyplacement.Candidate, a *comfreyconnection.Response, r comfreycall.ResponseHeader) *attemptError {
	var b bytes.Buffer
	_, err := io.CopyN(&b, a.Body, maxBufferedBytes)
	if err != nil && !errors.Is(err, io.EOF) {
		if ctx.Err() == nil {
			g.loseAttempt(x, c, err)
		}
		g.recordOutcome(c.ID, true)
		return &attemptError{reason: reasonOf(err, comfreyverdict.ReasonAnswerCut), isLost: true, cause: err}
	}
	isComplete := errors.Is(err, io.EOF)
	if isComplete && a.Length >= 0 && int64(b.Len()) != a.Length && x.r.Method != http.MethodHead {
		return &attemptError{reason: comfreyverdict.ReasonAnswerCut}
	}
	if !x.beginResponse() {
		return &attemptError{reason: comfreyverdict.ReasonLeaving, cause: errStopEnds}
	}
	g.copyHeader(x, a)
	x.w.WriteHeader(a.Status)
	if _, err = x.w.Write(b.Bytes()); err == nil && !isComplete {
		_, err = io.Copy(x.w, a.Body)
	}
	f := x.logFields(g.config.Now())
	f["status"], f["sealed"] = a.Status, r.IsSigned
	if err != nil {
		f["error"] = err.Error()
		g.record(x.call.ID, comfreydecision.KindFinish, reasonOf(err, comfreyverdict.ReasonAnswerCut), f)
		panic(http.ErrAbortHandler)
	}
	g.completeAttempt(x, a.Status)
	g.record(x.call.ID, comfreydecision.KindFinish, comfreyverdict.ReasonAccepted, f)
	g.observeResponse(x, a.Status)
	return nil
}
