package comfreyforward

import (
	"errors"
	"time"

	"comfreyridge.example/comfreyridge/comfreycall"
	"comfreyridge.example/comfreyridge/comfreydecision"
	"comfreyridge.example/comfreyridge/comfreyreplica"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// target returns a replica as the target of a call. Every call to a replica goes
// through it: whether the call may be sent, and what its response says of the
// replica, is decided in comfreyreplica alone.
func (g *Gateway) target(replica, address string, p comfreyreplica.Purpose) comfreycall.Target {
	return comfreycall.Target{
		Address: address,
		Permit:  func() error { return g.mayCall(replica, p) },
		Observe: func(h comfreycall.ResponseHeader) { g.observeHeader(replica, h) },
	}
}

// mayCall returns an error if a call may not be sent to a replica now.
func (g *Gateway) mayCall(replica string, p comfreyreplica.Purpose) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.replicas.MayCall(g.config.Now(), replica, p)
}

// observeHeader applies what the header of a response says of its replica. A
// response of another replica says nothing of this one.
func (g *Gateway) observeHeader(replica string, h comfreycall.ResponseHeader) {
	if h.IsOtherReplica {
		return
	}
	g.observeRateLimit(replica, h.RateLimit)
	if !h.IsLeaving && h.Pause <= 0 {
		return
	}
	g.mu.Lock()
	now := g.config.Now()
	var changes []comfreyreplica.Change
	if h.IsLeaving {
		changes = g.replicas.Announce(now, replica)
	}
	until, isPaused := g.replicas.Pause(now, replica, h.Pause, g.config.Rand())
	g.mu.Unlock()
	if isPaused {
		g.metrics.pauses.Inc()
		g.record("", comfreydecision.KindUpstream, comfreyverdict.ReasonUpstreamPaused, map[string]any{
			"replica": replica, "state": "paused", "retry-after": h.Pause.String(), "pause-ms": until.Sub(now).Milliseconds(),
		})
	}
	if len(changes) > 0 {
		g.metrics.announcements.Inc()
		g.record("", comfreydecision.KindUpstream, comfreyverdict.ReasonLeaving, map[string]any{"replica": replica, "state": "announced"})
	}
	g.handleReplicaChanges(changes)
	g.announceLeaving(changes)
}

// permitReason returns the reason why a call was not permitted, if that is what
// err says.
func permitReason(err error) (comfreyverdict.Reason, bool) {
	switch {
	case errors.Is(err, comfreyreplica.ErrLeaving):
		return comfreyverdict.ReasonLeaving, true
	case errors.Is(err, comfreyreplica.ErrPaused):
		return comfreyverdict.ReasonUpstreamPaused, true
	default:
		return "", false
	}
}

// checkPaused returns an error if all replicas of a service have asked for a pause.
// The caller may return when the first pause ends, at a random time, so that not
// all of them come at that moment.
func (g *Gateway) checkPaused(service string) *attemptError {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Now()
	end, ok := g.replicas.PauseEnd(now, service)
	if !ok {
		return nil
	}
	after := end.Sub(now)
	after += time.Duration(g.config.Rand() * float64(after/4+pausedRetrySpread))
	return &attemptError{reason: comfreyverdict.ReasonUpstreamPaused, isNotRun: true, retryAfter: after}
}

// pausedRetrySpread is the least time over which callers return after a pause.
const pausedRetrySpread = 200 * time.Millisecond
