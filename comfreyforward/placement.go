package comfreyforward

import (
	"context"
	"errors"
	"time"

	"comfreyridge.example/comfreyridge/comfreycall"
	"comfreyridge.example/comfreyridge/comfreydecision"
	"comfreyridge.example/comfreyridge/comfreygroup"
	"comfreyridge.example/comfreyridge/comfreyplacement"
	"comfreyridge.example/comfreyridge/comfreyreplica"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

const (
	// maxReservationAttempts bounds the replicas that are asked for a
	// reservation before the request waits again.
	maxReservationAttempts = 3
	// recheckDelay batches changes before a queued request looks for a
	// placement again: each of dozens of gateways sends several messages a
	// second.
	recheckDelay = 10 * time.Millisecond
	// recheckInterval is how often a queued request looks for a placement
	// without a change: a refusal expires and a new replica opens to all
	// gateways without one.
	recheckInterval = 100 * time.Millisecond
	// reservationTTL is how long a replica keeps memory for a request that is
	// on its way. The request arrives within milliseconds, later from a slow
	// host.
	reservationTTL = 500 * time.Millisecond
	// reservationTimeout bounds the call for a reservation; it takes a few
	// milliseconds.
	reservationTimeout = 250 * time.Millisecond
)

// placement is a replica with enough free capacity for a generation.
type placement struct {
	comfreyplacement.Candidate
	// reservation is the id of the reservation; empty if there is none.
	reservation string
	// toReserve is how many tokens have to be reserved before the request is
	// sent.
	toReserve int
}

// awaitPlacement returns a placement for a generation. If no replica has enough
// free capacity, it waits for one, unless the expected wait exceeds the queue
// timeout.
func (g *Gateway) awaitPlacement(ctx context.Context, x *exchange, n *generation) (placement, *attemptError) {
	// The channel is created before the search, so that no change is missed.
	changed := g.capacityChanges.changed()
	if e := g.checkGenerationStop(x, n); e != nil {
		return placement{}, e
	}
	if p, ok := g.placeGeneration(ctx, x, n); ok {
		return p, nil
	}
	if e := g.checkServable(x); e != nil {
		return placement{}, e
	}
	switch isPermitted, e := g.checkClosed(ctx, x, true); {
	case e != nil:
		return placement{}, e
	case isPermitted:
		if p, ok := g.placeGeneration(ctx, x, n); ok {
			return p, nil
		}
	}
	entered := g.config.Now()
	timeout := x.patience().QueueTimeout(entered.Sub(x.started), x.deadline.Sub(entered), n.promptTokens)
	x.queuedAt, x.queueTimeout = entered, timeout
	if !g.enqueue(x, n, timeout) {
		return placement{}, &attemptError{reason: comfreyverdict.ReasonAdmissionFull, isNotRun: true}
	}
	p, e := g.waitInQueue(ctx, x, n, changed, timeout)
	g.mu.Lock()
	g.queue(x).Remove(n.request, g.config.Now().Sub(entered), e == nil)
	g.mu.Unlock()
	return p, e
}

// enqueue adds a request to the queue if it can expect a placement within its
// queue timeout, and reports whether it did.
func (g *Gateway) enqueue(x *exchange, n *generation, timeout time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	q := g.queue(x)
	if q.ExpectedWait() > timeout {
		return false
	}
	q.Add(comfreyplacement.Waiter{ID: n.request, Priority: x.priority(), PromptTokens: n.promptTokens, Service: x.service.Name, Target: x.route.TargetLatency, IsReturn: x.isReturn})
	if x.patience().TracksReturns() {
		g.config.TriggerGossip()
	}
	return true
}

// queueKey names a queue of a service.
type queueKey struct {
	service string
	class   comfreyplacement.QueueClass
}

// queue returns the queue in which a request waits. The mutex must be held.
func (g *Gateway) queue(x *exchange) *comfreyplacement.Queue {
	k := queueKey{x.service.Name, x.patience().QueueClass()}
	q, ok := g.queues[k]
	if !ok {
		q = &comfreyplacement.Queue{}
		g.queues[k] = q
	}
	return q
}

// waitInQueue looks for a placement after each change, and periodically, until
// the queue timeout or, in a planned stop, as long as the generation can still end here.
func (g *Gateway) waitInQueue(ctx context.Context, x *exchange, n *generation, changed <-chan struct{}, timeout time.Duration) (placement, *attemptError) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	recheck := time.NewTicker(recheckInterval)
	defer recheck.Stop()
	for {
		select {
		case <-changed:
		case <-recheck.C:
		case <-timer.C:
			return placement{}, &attemptError{reason: comfreyverdict.ReasonAdmissionFull, isNotRun: true}
		case <-ctx.Done():
			return placement{}, &attemptError{reason: comfreyverdict.ReasonDeadline, isNotRun: true}
		}
		comfreygroup.Sleep(ctx, recheckDelay)
		changed = g.capacityChanges.changed()
		if e := g.checkGenerationStop(x, n); e != nil {
			return placement{}, e
		}
		if p, ok := g.placeGeneration(ctx, x, n); ok {
			return p, nil
		}
		if e := g.checkServable(x); e != nil {
			return placement{}, e
		}
		if _, e := g.checkClosed(ctx, x, true); e != nil {
			return placement{}, e
		}
	}
}

// placeGeneration chooses a replica, and reserves memory there if other
// gateways may choose it too. If the replica refuses the reservation, it tries
// the next one.
func (g *Gateway) placeGeneration(ctx context.Context, x *exchange, n *generation) (placement, bool) {
	for range maxReservationAttempts {
		p, ok := g.choosePlacement(x, n)
		if !ok || p.toReserve == 0 {
			return p, ok
		}
		if ok = g.reserve(ctx, x, n, &p); ok {
			return p, true
		}
		if ctx.Err() != nil {
			break
		}
	}
	return placement{}, false
}

// choosePlacement chooses a replica and counts the generation's memory there as
// used. The generation is placed there unless it needs a reservation.
func (g *Gateway) choosePlacement(x *exchange, n *generation) (placement, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Now()
	l := g.candidates(now, x.search())
	demand := comfreyplacement.Demand{PromptTokens: n.promptTokens, ExpectedTokens: g.remainingTokens(n)}
	demand.HeadroomTokens = g.queue(x).HeadroomTokens(x.priority())
	demand.MaxPendingPrefillTokens = comfreyplacement.MaxPendingPrefill(x.route.TargetLatency, now.Sub(x.started), n.promptTokens)
	demand.Pauses = n.pauses
	g.leaveRoom(now, x, &demand)
	i := comfreyplacement.ChooseForGeneration(l, demand, g.config.Rand)
	if i < 0 {
		return placement{}, false
	}
	c := l[i]
	x.tried[c.ID] = true
	p := placement{Candidate: c}
	// A reservation would count against the rate limit.
	if _, isLimited := g.replicas.CurrentLimit(now, c.ID); x.service.Engine.MaxReservationTime > 0 && !isLimited {
		p.toReserve = comfreyplacement.ReservationTokens(c, demand)
	}
	if p.toReserve > 0 {
		g.trackLoad(n, c)
	} else {
		g.trackPlacement(n, c)
	}
	g.config.TriggerGossip()
	f := x.logFields(now)
	f["replica"], f["running"], f["used-tokens"], f["report-age-ms"] = c.ID, c.Load.Running, c.Load.UsedTokens, c.Load.Age.Milliseconds()
	f["prompt-tokens"], f["expected-tokens"], f["unread-tokens"], f["candidates"] = n.promptTokens, int(demand.ExpectedTokens), c.Load.PendingPrefillTokens, len(l)
	if c.Pace.Usual > 0 {
		f["pace"], f["pace-now"], f["decoding"] = c.Pace.Usual, c.Pace.Now, c.Load.Decoding
	}
	g.record(n.request, comfreydecision.KindRoute, comfreyverdict.ReasonLeastLoaded, f)
	return p, true
}

// reserve reserves memory for a generation at the replica of p, which places it
// there. It reports false if the replica refuses, or begins to leave meanwhile.
func (g *Gateway) reserve(ctx context.Context, x *exchange, n *generation, p *placement) bool {
	ctx, cancel := context.WithTimeout(ctx, reservationTimeout)
	defer cancel()
	ttl := min(reservationTTL, x.service.Engine.MaxReservationTime)
	id, err := g.config.Engines.Reserve(ctx, g.target(ctx, p.ID, p.Address, comfreyreplica.PurposeWork), p.toReserve, ttl)
	now := g.config.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if err == nil {
		// An unused reservation expires at the replica.
		err = g.replicas.MayCall(now, p.ID, comfreyreplica.PurposeWork)
	}
	if err == nil {
		p.reservation = id
		n.setReplica(now, p.Candidate)
		return true
	}
	f := x.logFields(now)
	f["replica"], f["tokens"], f["error"] = p.ID, p.toReserve, err.Error()
	reason, isNotPermitted := permitReason(err)
	switch {
	case errors.Is(err, comfreycall.ErrOtherReplica):
		reason = comfreyverdict.ReasonForeignReplica
		g.estimator.Finish(now, n.request)
	case isNotPermitted:
		g.estimator.Finish(now, n.request)
		if reason == comfreyverdict.ReasonUpstreamLimited {
			delete(x.tried, p.ID) // It can be offered for a permit.
		}
	case errors.Is(err, comfreycall.ErrNoCapacity):
		reason = comfreyverdict.ReasonAdmissionFull
		g.estimator.Refused(now, p.ID, n.request)
		delete(x.tried, p.ID) // It may have enough free capacity later.
	default:
		reason = comfreyverdict.ReasonAdmissionFull
		g.estimator.Refused(now, p.ID, n.request)
		g.health.Record(now, p.ID, true)
	}
	g.record(n.request, comfreydecision.KindRetry, reason, f)
	return false
}
