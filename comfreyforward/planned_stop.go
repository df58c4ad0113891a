package comfreyforward

import (
	"context"
	"errors"
	"math"
	"net/http"
	"time"

	"comfreyridge.example/comfreyridge/comfreydecision"
	"comfreyridge.example/comfreyridge/comfreygroup"
	"comfreyridge.example/comfreyridge/comfreyplacement"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// eventsPerTimeEstimate is the number of events of a running stream after which the time
// that a token takes is observed.
const eventsPerTimeEstimate = 32

// stopTimes are the moments of a planned stop.
type stopTimes struct {
	// deregistered is when the load balancer sends no more connections, and end when
	// all connections are closed.
	deregistered, end time.Time
}

// errStopEnds is why a request ends without the response of a replica: the connections
// of a gateway that stops are about to be closed.
var errStopEnds = errors.New("comfreyforward: the gateway stops")

// isEndedByStop reports whether a request was ended by the end of a planned stop.
func isEndedByStop(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), errStopEnds)
}

// errStopCuts is why a response that has begun is cut off: the gateway has to close its
// connections.
var errStopCuts = errors.New("comfreyforward: the gateway closes its connections")

// isCutByStop reports whether a response was cut off by the end of a planned stop.
func isCutByStop(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), errStopCuts)
}

// The states of the response of a replica.
const (
	// responseUnread means that the request was not read whole.
	responseUnread int32 = iota
	responsePending
	responseBegun
	// responseEnded means that the gateway responds in place of a replica.
	responseEnded
)

// responseStates are the names of the states in the log.
var responseStates = [...]string{responseUnread: "unread", responsePending: "pending", responseBegun: "begun", responseEnded: "ended"}

// beginResponse reports whether the response of a replica may be sent to the caller. If
// not, the request has been cancelled.
func (x *exchange) beginResponse() bool {
	if x.response.CompareAndSwap(responsePending, responseBegun) {
		return true
	}
	x.cancel(errStopEnds)
	return false
}

// endUnanswered ends the request unless its response has begun.
func (x *exchange) endUnanswered() {
	if x.response.CompareAndSwap(responsePending, responseEnded) {
		x.cancel(errStopEnds)
	}
}

// cutResponse ends the request if the response of a replica has begun.
func (x *exchange) cutResponse() {
	if x.response.Load() == responseBegun {
		x.cancel(errStopCuts)
	}
}

// endUnansweredInTime ends the requests without a response once their final responses need
// the rest of the time of a stop. It returns when ctx ends.
func (g *Gateway) endUnansweredInTime(ctx context.Context, began time.Time, gracePeriod time.Duration) {
	t := g.stopTimes.Load()
	for {
		now := g.config.Now()
		s := comfreyplacement.PlannedStop{EndsIn: t.end.Sub(now), GracePeriod: gracePeriod, KilledIn: began.Add(gracePeriod).Sub(now)}
		if n := g.open.unanswered(); s.MustRespond(n) {
			g.record("", comfreydecision.KindDrain, comfreyverdict.ReasonLeaving, map[string]any{"state": "responding", "unanswered": n, "after-ms": now.Sub(began).Milliseconds()})
			g.EndUnanswered()
			return
		}
		if !comfreygroup.Sleep(ctx, finalResponseInterval) {
			return
		}
	}
}

// cutResponses ends the requests whose response has begun, so that each has a line in the
// log.
func (g *Gateway) cutResponses() {
	for _, x := range g.open.all() {
		x.cutResponse()
	}
}

// observeCut records a request whose connection is closed while it is in the handler.
func (g *Gateway) observeCut(r *http.Request) {
	f := map[string]any{"detail": "connection closed by the end of the stop", "state": "responded", "stopping": g.isDraining.Load()}
	if x := g.open.get(r); x != nil {
		f["state"] = responseStates[x.response.Load()]
		f["after-ms"] = g.config.Now().Sub(x.started).Milliseconds()
		if id := x.latestReplica(); id != "" {
			f["replica"] = id
		}
	}
	g.record(g.config.Protocol.ParseRequestHeaders(r.Header).ID, comfreydecision.KindFinish, comfreyverdict.ReasonAnswerCut, f)
}

// respondToStop sends the final response to a request that the end of a planned stop has
// ended.
func (g *Gateway) respondToStop(x *exchange) {
	if x.sent > 0 {
		g.fail(x, http.StatusBadGateway, comfreyverdict.ReasonLeaving, errStopEnds)
		return
	}
	g.mu.Lock()
	after := g.returnAfterStop(g.config.Now(), x, comfreyplacement.PlannedStop{})
	g.mu.Unlock()
	g.refuse(x, comfreyverdict.ReasonLeaving, after)
}

// returnAfterStop returns when the caller of a request that a gateway refuses because it
// stops may return. The mutex must be held.
func (g *Gateway) returnAfterStop(now time.Time, x *exchange, s comfreyplacement.PlannedStop) time.Duration {
	after := s.RetryAfter(x.deadline.Sub(now))
	if x.patience().TracksReturns() {
		g.returns.Refuse(now, x.service.Name, x.returnKey(), after)
	}
	return after
}

// errStopRefuses is why a request is not sent: it may not end before the gateway does.
var errStopRefuses = errors.New("comfreyforward: the request may outlast the gateway, which stops")

// checkPlannedStop returns an error if the gateway stops before a request that has not
// begun can be expected to end, given the time that it takes with some probability. It ends
// at its deadline in any case. The caller returns to another gateway.
func (g *Gateway) checkPlannedStop(x *exchange, duration func(probability float64) time.Duration) *attemptError {
	t := g.stopTimes.Load()
	if t == nil {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Now()
	s := comfreyplacement.PlannedStop{EndsIn: t.end.Sub(now), DeregisteredIn: max(t.deregistered.Sub(now), 0)}
	if s.CanServe(min(duration(s.MinChance()), x.deadline.Sub(now))) {
		return nil
	}
	return &attemptError{reason: comfreyverdict.ReasonLeaving, isNotRun: true, retryAfter: g.returnAfterStop(now, x, s)}
}

// checkStop is checkPlannedStop for any request.
func (g *Gateway) checkStop(x *exchange) *attemptError {
	if x.generation != nil {
		return g.checkGenerationStop(x, x.generation)
	}
	return g.checkUnaryStop(x)
}

// checkGenerationStop is checkPlannedStop for a generation.
func (g *Gateway) checkGenerationStop(x *exchange, n *generation) *attemptError {
	return g.checkPlannedStop(x, func(probability float64) time.Duration { return g.expectedDuration(n, probability) })
}

// checkUnaryStop is checkPlannedStop for a request that does not stream. Nothing but its
// deadline bounds the time that it takes.
func (g *Gateway) checkUnaryStop(x *exchange) *attemptError {
	return g.checkPlannedStop(x, func(probability float64) time.Duration {
		if probability < 1 {
			return g.responseTime(x).Upper(0)
		}
		return x.deadline.Sub(g.config.Now())
	})
}

// responseTime returns how long requests take that do not stream, of the service of one.
// The mutex must be held.
func (g *Gateway) responseTime(x *exchange) *comfreyplacement.TimeEstimate {
	e := g.responseTimes[x.service.Name]
	if e == nil {
		e = &comfreyplacement.TimeEstimate{}
		g.responseTimes[x.service.Name] = e
	}
	return e
}

// observeResponseTime records how long a replica took for a response that is no stream.
func (g *Gateway) observeResponseTime(x *exchange, d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.responseTime(x).Observe(d)
}

// expectedDuration returns the time within which the rest of a generation ends with some
// probability, once it has room. Only the limit of its request makes it sure to end. The
// mutex must be held.
func (g *Gateway) expectedDuration(n *generation, probability float64) time.Duration {
	generated := n.generatedTokens()
	if probability >= 1 {
		limit := math.Inf(1)
		if n.maxTokens > 0 {
			limit = float64(max(n.maxTokens-generated, 0))
		}
		return g.timesOf(n).Bound(limit)
	}
	tokens := g.lengthDistribution(n).RemainingQuantile(generated, probability)
	if n.maxTokens > 0 {
		tokens = min(tokens, float64(max(n.maxTokens-generated, 0)))
	}
	return g.timesOf(n).Duration(tokens)
}

// timesOf returns the times of the service of a generation. The mutex must be held.
func (g *Gateway) timesOf(n *generation) *comfreyplacement.GenerationTimes {
	t := g.generationTimes[n.service.Name]
	if t == nil {
		t = &comfreyplacement.GenerationTimes{}
		g.generationTimes[n.service.Name] = t
	}
	return t
}

// observeFirstEvent records how long after a generation was sent its first event came.
func (g *Gateway) observeFirstEvent(n *generation, after time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.timesOf(n).ObserveFirstEvent(after)
}

// observeTokenTime records how long the events of a stream after its first one took.
func (g *Gateway) observeTokenTime(n *generation, events time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.timesOf(n).ObserveTokens(n.generatedTokens()-n.service.Engine.TokensPerEvent, events)
}
