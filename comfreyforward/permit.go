package comfreyforward

import (
	"context"
	"slices"
	"time"

	"comfreyridge.example/comfreyridge/comfreydecision"
	"comfreyridge.example/comfreyridge/comfreyratelimit"
	"comfreyridge.example/comfreyridge/comfreyreplica"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

const (
	// maxPermitRequests bounds how often one request asks for a permit.
	maxPermitRequests = 4
	// maxPermitHops bounds how often a request for a permit is passed on.
	maxPermitHops = 2
	// permitLife is how long a permit may wait for its call, which may have to open
	// a connection first.
	permitLife = 1200 * time.Millisecond
	// unknownHolderWait is the time after which the holder is expected to be known.
	unknownHolderWait = 500 * time.Millisecond
	// maxFullPeriod is how long a replica is at most taken to be full without asking
	// again, since its limit may rise or end.
	maxFullPeriod = 500 * time.Millisecond
	// returnMargin is added to the time of a return, so that it is not early.
	returnMargin = 20 * time.Millisecond
	// pausedRetrySpread is the least time over which callers return after a pause.
	pausedRetrySpread = 200 * time.Millisecond
)

// permitView returns what this gateway knows of those that permit requests for a
// service. The mutex must be held.
func (g *Gateway) permitView(service string) comfreyratelimit.View {
	l := g.config.Layout()
	if !l.IsHome(service, "") {
		a, _ := l.Contact(l.Home(service, ""))
		return comfreyratelimit.View{Contact: a}
	}
	return comfreyratelimit.View{Settled: l.SettledMembers(comfreyratelimit.SettlingPeriod), Members: l.MembersHeardWithin(comfreyratelimit.MemberTimeout)}
}

// Permit answers another gateway's request for a permit, which was passed on a number
// of times.
func (g *Gateway) Permit(ctx context.Context, r comfreyratelimit.Request, hops int) comfreyratelimit.Reply {
	g.mu.Lock()
	now := g.config.Now()
	for i, o := range r.Offers {
		if !o.IsWarmUp {
			g.replicas.MergeRateLimit(comfreyreplica.RateLimit{Start: o.Start, PerSecond: o.PerSecond, ObservedAt: now.Add(-o.Age)})
		}
		if l, ok := g.replicas.CurrentLimit(now, o.Start.ID); ok && (!o.IsWarmUp || l.PerSecond < o.PerSecond) {
			r.Offers[i] = newOffer(now, l)
		}
	}
	g.mu.Unlock()
	return g.requestPermit(ctx, r, hops)
}

func newOffer(now time.Time, l comfreyreplica.RateLimit) comfreyratelimit.Offer {
	return comfreyratelimit.Offer{Start: l.Start, PerSecond: l.PerSecond, Age: now.Sub(l.ObservedAt), IsWarmUp: l.IsWarmUp}
}

// requestPermit requests a permit from the holder, which may be this gateway. A
// gateway that is asked for one, although it is not the holder, passes the request on.
func (g *Gateway) requestPermit(ctx context.Context, r comfreyratelimit.Request, hops int) comfreyratelimit.Reply {
	for hops <= maxPermitHops && ctx.Err() == nil {
		g.mu.Lock()
		now := g.config.Now()
		v := g.permitView(r.Service)
		holder := g.division.Holder(now, r.Service, v)
		if holder == g.config.Address {
			p := g.division.Allocate(now, r, v)
			g.mu.Unlock()
			return p
		}
		g.mu.Unlock()
		if holder == "" {
			break
		}
		hops++
		p, err := g.config.RequestPermit(ctx, holder, r, hops)
		if err == nil {
			return p
		}
		g.record("", comfreydecision.KindUpstream, comfreyverdict.ReasonConnectionLost, map[string]any{"service": r.Service, "holder": holder, "hops": hops, "error": err.Error()})
		g.mu.Lock()
		g.division.Avoid(now, holder)
		g.mu.Unlock()
	}
	return comfreyratelimit.Reply{Wait: unknownHolderWait}
}

// requestPermitFor requests a permit for one call.
func (g *Gateway) requestPermitFor(ctx context.Context, c call) comfreyreplica.Permit {
	g.mu.Lock()
	now := g.config.Now()
	l, ok := g.replicas.CurrentLimit(now, c.replica)
	k, _ := g.replicas.Get(c.replica)
	g.mu.Unlock()
	if !ok {
		return comfreyreplica.Permit{} // The limit has just ended.
	}
	r := comfreyratelimit.Request{Service: k.Service, Offers: []comfreyratelimit.Offer{newOffer(now, l)}, Key: c.key, IsUrgent: c.purpose == comfreyreplica.PurposeResume}
	p, _ := g.applyReply(r, g.requestPermit(ctx, r, 0))
	return p
}

// applyReply returns the permit in a reply, or else records that the replicas are full
// for a time.
func (g *Gateway) applyReply(r comfreyratelimit.Request, p comfreyratelimit.Reply) (comfreyreplica.Permit, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Now()
	if p.Replica != "" {
		return comfreyreplica.Permit{Replica: p.Replica, Until: now.Add(permitLife)}, true
	}
	for _, o := range r.Offers {
		g.replicas.SetFull(o.Start.ID, now.Add(min(p.Wait, maxFullPeriod)))
	}
	return comfreyreplica.Permit{}, false
}

// key returns what is the same for a request that its caller sends again.
func (x *exchange) key() string {
	return string(x.features[0][:])
}

// checkClosed is asked if no replica can be chosen for a request. If all that accept
// new work are paused or have a rate limit, it requests a permit. If there is none,
// it returns an error with the time after which there is expected to be room, which is
// kept for a request that has not run.
func (g *Gateway) checkClosed(ctx context.Context, x *exchange, isNotRun bool) (isPermitted bool, e *attemptError) {
	r, pauseEnd, isClosed := g.closedService(x)
	switch {
	case !isClosed:
		return false, nil
	case len(r.Offers) == 0:
		after := pauseEnd + time.Duration(g.config.Rand()*float64(pauseEnd/4+pausedRetrySpread))
		return false, &attemptError{reason: comfreyverdict.ReasonUpstreamPaused, isNotRun: true, retryAfter: after}
	case x.permitRequests >= maxPermitRequests:
		return false, nil
	}
	x.permitRequests++
	if isNotRun {
		r.MaxWait = comfreyratelimit.MaxReturnWait(x.deadline.Sub(g.config.Now()))
	}
	p := g.requestPermit(ctx, r, 0)
	var ok bool
	if x.permit, ok = g.applyReply(r, p); ok {
		return true, nil
	}
	f := x.logFields(g.config.Now())
	f["offers"], f["wait-ms"], f["booked"] = len(r.Offers), p.Wait.Milliseconds(), p.IsBooked
	g.record(x.call.ID, comfreydecision.KindRetry, comfreyverdict.ReasonUpstreamLimited, f)
	return false, &attemptError{reason: comfreyverdict.ReasonUpstreamLimited, isNotRun: true, retryAfter: p.Wait + returnMargin}
}

// closedService reports whether all replicas of a request's service that accept new
// work are paused or have a rate limit. It returns a request for a permit for those
// with a limit and, if all are paused, the time until the first pause ends.
func (g *Gateway) closedService(x *exchange) (r comfreyratelimit.Request, pauseEnd time.Duration, isClosed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Now()
	layout := g.config.Layout()
	isUsable := func(k comfreyreplica.Replica) bool {
		return g.isHome(x.homes, k) && (!x.service.HasEngine || layout.IsHome(k.ID, k.DataCentre))
	}
	if !g.replicas.IsClosed(now, x.service.Name, isUsable) {
		return r, 0, false
	}
	r = comfreyratelimit.Request{Service: x.service.Name, Key: x.key()}
	for _, k := range g.replicas.LimitedReplicas(now, x.service.Name) {
		if l, ok := g.replicas.CurrentLimit(now, k.ID); ok && !x.tried[k.ID] && g.isHome(x.homes, k) {
			r.Offers = append(r.Offers, newOffer(now, l))
		}
	}
	if n := len(r.Offers); n > 1 {
		i := int(g.config.Rand() * float64(n))
		r.Offers = slices.Concat(r.Offers[i:], r.Offers[:i])
	}
	if end, ok := g.replicas.PauseEnd(now, x.service.Name); ok {
		pauseEnd = end.Sub(now)
	}
	return r, pauseEnd, len(r.Offers) > 0 || pauseEnd > 0
}
