package comfreyforward

import (
	"context"
	"errors"

	"comfreyridge.example/comfreyridge/comfreycall"
	"comfreyridge.example/comfreyridge/comfreydecision"
	"comfreyridge.example/comfreyridge/comfreyreplica"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// target returns a replica as the target of a call. Every call to a replica goes
// through it: whether the call may be sent, and what its response says of the
// replica, is decided in comfreyreplica alone.
func (g *Gateway) target(ctx context.Context, replica, address string, p comfreyreplica.Purpose) comfreycall.Target {
	return comfreycall.Target{
		Replica: replica,
		Address: address,
		Permit:  func() error { return g.permitCall(ctx, &call{replica: replica, purpose: p}) },
		Observe: func(h comfreycall.ResponseHeader) { g.observeHeader(replica, address, h) },
	}
}

// call is a call to a replica that is about to be written.
type call struct {
	replica string
	purpose comfreyreplica.Purpose
	// permit is one that the call already has, and key that of its request if a
	// permit may have been booked for it, which may be for another replica.
	permit comfreyreplica.Permit
	key    string
}

// permitCall returns an error if a call may not be sent to its replica now. It gets
// a permit if one is needed.
func (g *Gateway) permitCall(ctx context.Context, c *call) error {
	err := g.mayCall(*c)
	if !errors.Is(err, comfreyreplica.ErrLimited) {
		return err
	}
	c.permit = g.requestPermitFor(ctx, *c)
	return g.mayCall(*c)
}

// mayCall returns an error if a call may not be sent to its replica now.
func (g *Gateway) mayCall(c call) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.replicas.MayCallWith(g.config.Now(), c.replica, c.purpose, c.permit)
}

// observeHeader applies what the header of a response from an address says of the replica
// that was called there. A response of another replica says only that it has the address.
func (g *Gateway) observeHeader(replica, address string, h comfreycall.ResponseHeader) {
	if h.IsOtherReplica {
		g.observeReplaced(comfreyreplica.Start{ID: replica}, address, h.Responder)
		return
	}
	g.observeRateLimit(replica, h.RateLimit)
	g.observePace(replica, h.Pace)
	if h.HasWarmUp {
		g.mu.Lock()
		g.replicas.ObserveWarmUp(g.config.Now(), replica, h.WarmUp)
		g.mu.Unlock()
	}
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

// observeReplaced handles the response of another replica, whose id may be unknown, at the
// address of the one that was called, or of another start of that one. No more calls for
// the start that was called are sent there.
func (g *Gateway) observeReplaced(called comfreyreplica.Start, address, responder string) {
	g.mu.Lock()
	changes := g.replicas.MarkReplaced(g.config.Now(), called, address)
	g.mu.Unlock()
	if len(changes) == 0 {
		return
	}
	g.metrics.replaced.Inc()
	age, _ := g.StoreAge()
	g.record("", comfreydecision.KindUpstream, comfreyverdict.ReasonForeignReplica, map[string]any{
		"replica": called.ID, "address": address, "state": "replaced", "responder": responder, "store-age-ms": age.Milliseconds(),
	})
	g.handleReplicaChanges(changes)
	g.announceLeaving(changes)
}

// permitReason returns the reason why a call was not permitted, if that is what
// err says.
func permitReason(err error) (comfreyverdict.Reason, bool) {
	switch {
	case errors.Is(err, comfreyreplica.ErrReplaced):
		return comfreyverdict.ReasonForeignReplica, true
	case errors.Is(err, comfreyreplica.ErrLeaving):
		return comfreyverdict.ReasonLeaving, true
	case errors.Is(err, comfreyreplica.ErrEvacuated):
		return comfreyverdict.ReasonEvacuated, true
	case errors.Is(err, comfreyreplica.ErrPaused):
		return comfreyverdict.ReasonUpstreamPaused, true
	case errors.Is(err, comfreyreplica.ErrLimited):
		return comfreyverdict.ReasonUpstreamLimited, true
	default:
		return "", false
	}
}
