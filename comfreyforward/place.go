package comfreyforward

import (
	"context"
	"errors"
	"time"

	"comfreyridge.example/comfreyridge/comfreycall"
	"comfreyridge.example/comfreyridge/comfreydecision"
	"comfreyridge.example/comfreyridge/comfreygroup"
	"comfreyridge.example/comfreyridge/comfreyplacement"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

const (
	// maxReservations bounds the replicas that are asked for room at a time.
	maxReservations = 3
	// settleTime lets changes gather before a request that waits looks again:
	// each of dozens of gateways speaks several times a second.
	settleTime = 10 * time.Millisecond
	// reservationLife is how long a replica keeps room for a request that is on
	// its way. It takes milliseconds, more on a slow host.
	reservationLife = 500 * time.Millisecond
	// reservationTimeout bounds the question for room; an answer takes a few
	// milliseconds.
	reservationTimeout = 250 * time.Millisecond
)

// place is a replica that has room for a generation.
type place struct {
	comfreyplacement.Candidate
	// reservation names the room there; empty if none was reserved.
	reservation string
	// toReserve is how much memory has to be reserved before.
	toReserve int
}

// waitForPlace waits until a replica has room for a generation, if one is
// expected to have it in time.
func (g *Gateway) waitForPlace(ctx context.Context, x *exchange, n *generation) (place, *attemptError) {
	changed := g.waiting.changed()
	if p, ok := g.findPlace(ctx, x, n); ok {
		return p, nil
	}
	entered := g.config.Now()
	patience := comfreyplacement.QueueTimeout(x.route.TargetLatency, entered.Sub(x.started), n.promptTokens)
	if !g.enterLine(x, n, patience) {
		return place{}, &attemptError{reason: comfreyverdict.ReasonAdmissionFull, isNotRun: true}
	}
	p, e := g.waitInLine(ctx, x, n, changed, patience)
	g.mu.Lock()
	g.line(x.service.Name).Remove(n.request, g.config.Now().Sub(entered), e == nil)
	g.mu.Unlock()
	return p, e
}

// enterLine reports whether a place is expected within the patience of a
// request, and counts the request then.
func (g *Gateway) enterLine(x *exchange, n *generation, patience time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.line(x.service.Name)
	if l.ExpectedWait() > patience {
		return false
	}
	l.Add(comfreyplacement.Waiter{ID: n.request, Priority: x.priority(), PromptTokens: n.promptTokens})
	return true
}

// line returns the line of a service. The mutex must be held.
func (g *Gateway) line(service string) *comfreyplacement.Queue {
	l, ok := g.lines[service]
	if !ok {
		l = &comfreyplacement.Queue{}
		g.lines[service] = l
	}
	return l
}

// waitInLine looks for a place after each change until the patience ends.
func (g *Gateway) waitInLine(ctx context.Context, x *exchange, n *generation, changed <-chan struct{}, patience time.Duration) (place, *attemptError) {
	timer := time.NewTimer(patience)
	defer timer.Stop()
	for {
		select {
		case <-changed:
		case <-timer.C:
			return place{}, &attemptError{reason: comfreyverdict.ReasonAdmissionFull, isNotRun: true}
		case <-ctx.Done():
			return place{}, &attemptError{reason: comfreyverdict.ReasonDeadline, isNotRun: true}
		}
		comfreygroup.Sleep(ctx, settleTime)
		changed = g.waiting.changed()
		if p, ok := g.findPlace(ctx, x, n); ok {
			return p, nil
		}
	}
}

// findPlace chooses a replica and reserves the room there if other gateways may
// want it too. It looks further if a replica has less room than believed.
func (g *Gateway) findPlace(ctx context.Context, x *exchange, n *generation) (place, bool) {
	for range maxReservations {
		p, ok := g.choosePlace(x, n)
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
	return place{}, false
}

// choosePlace chooses a replica and notes that the room there is taken.
func (g *Gateway) choosePlace(x *exchange, n *generation) (place, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Now()
	l := g.candidates(now, x.service, x.tried)
	need := comfreyplacement.Demand{PromptTokens: n.promptTokens, ExpectedTokens: g.remaining(n)}
	need.HeadroomTokens = g.line(x.service.Name).HeadroomTokens(x.priority())
	need.MaxPendingPrefillTokens = comfreyplacement.MaxPendingPrefill(x.route.TargetLatency, now.Sub(x.started), n.promptTokens)
	i := comfreyplacement.ChooseForGeneration(l, need, g.config.Rand)
	if i < 0 {
		return place{}, false
	}
	c := l[i]
	x.tried[c.ID] = true
	g.noteStart(n, c)
	g.config.Announce()
	f := x.figures(now)
	f["replica"], f["running"], f["used-tokens"], f["report-age-ms"] = c.ID, c.Load.Running, c.Load.UsedTokens, c.Load.Age.Milliseconds()
	f["prompt-tokens"], f["expected-tokens"], f["unread-tokens"], f["candidates"] = n.promptTokens, int(need.ExpectedTokens), c.Load.PendingPrefillTokens, len(l)
	g.record(n.request, comfreydecision.KindRoute, comfreyverdict.ReasonLeastLoaded, f)
	p := place{Candidate: c}
	if x.service.Engine.MaxReservationTime > 0 {
		p.toReserve = comfreyplacement.ReservationTokens(c, need)
	}
	return p, true
}

// reserve asks a replica to keep the room of a generation.
func (g *Gateway) reserve(ctx context.Context, x *exchange, n *generation, p *place) bool {
	ctx, cancel := context.WithTimeout(ctx, reservationTimeout)
	defer cancel()
	life := min(reservationLife, x.service.Engine.MaxReservationTime)
	id, err := g.config.Engines.Reserve(ctx, p.Address, p.toReserve, life)
	if err == nil {
		p.reservation = id
		return true
	}
	now := g.config.Now()
	f := x.figures(now)
	f["replica"], f["tokens"], f["error"] = p.ID, p.toReserve, err.Error()
	g.record(n.request, comfreydecision.KindRetry, comfreyverdict.ReasonAdmissionFull, f)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.board.Refused(now, p.ID, n.request)
	n.replica = comfreyplacement.Candidate{} // It runs nowhere.
	if errors.Is(err, comfreycall.ErrNoCapacity) {
		delete(x.tried, p.ID) // It may have room later.
	} else {
		g.health.Record(now, p.ID, true)
	}
	return false
}
