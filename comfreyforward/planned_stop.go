package comfreyforward

import (
	"time"

	"comfreyridge.example/comfreyridge/comfreyplacement"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// tokenTimeWeight is the weight of the newest stream in the moving average of the time
// that a token takes.
const tokenTimeWeight = 0.1

// stopTimes are the moments of a planned stop.
type stopTimes struct {
	// deregistered is when the load balancer sends no more connections, and end when
	// all connections are closed.
	deregistered, end time.Time
}

// checkPlannedStop returns an error if the gateway stops before a generation that has
// not begun can be expected to end. The caller returns to another gateway.
func (g *Gateway) checkPlannedStop(x *exchange, n *generation) *attemptError {
	t := g.stopTimes.Load()
	if t == nil {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Now()
	s := comfreyplacement.PlannedStop{EndsIn: t.end.Sub(now), DeregisteredIn: max(t.deregistered.Sub(now), 0)}
	if s.CanServe(g.expectedDuration(n)) {
		return nil
	}
	after := s.RetryAfter(x.deadline.Sub(now))
	if x.patience().TracksReturns() {
		g.returns.Refuse(now, x.service.Name, x.returnKey(), after)
	}
	return &attemptError{reason: comfreyverdict.ReasonLeaving, isNotRun: true, retryAfter: after}
}

// expectedDuration returns how long the rest of a generation is expected to take, once
// it has room; zero if no stream of its service has ended here. The mutex must be held.
func (g *Gateway) expectedDuration(n *generation) time.Duration {
	return time.Duration(g.remainingTokens(n) * float64(g.tokenTimes[n.service.Name]))
}

// observeTokenTime records how long the events of a complete stream took.
func (g *Gateway) observeTokenTime(n *generation, events time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	tokens := n.generatedTokens() - n.service.Engine.TokensPerEvent
	if tokens <= 0 {
		return
	}
	t := events / time.Duration(tokens)
	if known, ok := g.tokenTimes[n.service.Name]; ok {
		t = known + time.Duration(tokenTimeWeight*float64(t-known))
	}
	g.tokenTimes[n.service.Name] = t
}
