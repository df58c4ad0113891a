package comfreyforward

import (
	"slices"
	"time"

	"comfreyridge.example/comfreyridge/comfreydecision"
	"comfreyridge.example/comfreyridge/comfreyplacement"
	"comfreyridge.example/comfreyridge/comfreyreplica"
	"comfreyridge.example/comfreyridge/comfreyreturn"
	"comfreyridge.example/comfreyridge/comfreyroute"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

const (
	// peerQueueTimeout is how long the queue of another gateway counts without a new
	// message; gateways send four a second.
	peerQueueTimeout = 400 * time.Millisecond
	// requestRoomPeriod is how long others leave room for a generation that has to move
	// and found none. It looks for room again after copyRetryDelay.
	requestRoomPeriod = 300 * time.Millisecond
	// placementRatePeriod is the time over which placements are counted.
	placementRatePeriod = 500 * time.Millisecond
)

// peerQueue is what another gateway has said of its queues.
type peerQueue struct {
	waiting []comfreyplacement.Waiter
	at      time.Time
}

// patience returns how long a request can wait, and for whom it leaves room.
func (x *exchange) patience() comfreyplacement.Patience {
	t := x.table.Targets(x.service.Name)
	return comfreyplacement.Patience{Target: x.route.TargetLatency, ShortestTarget: t.Shortest, LongestTarget: t.Longest, IsReturn: x.isReturn}
}

// returnKey identifies the request when its caller sends it again.
func (x *exchange) returnKey() comfreyreturn.Key {
	return comfreyreturn.Key(x.features[0])
}

// recognizeReturn finds out whether the caller of a request was told to return.
func (g *Gateway) recognizeReturn(x *exchange) {
	if !x.patience().TracksReturns() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	x.isReturn = g.returns.Return(g.config.Now(), x.returnKey())
}

// observeReturn counts how the request of a caller who has returned ended.
func (g *Gateway) observeReturn(x *exchange, outcome string) {
	if x.isReturn {
		g.metrics.returns.WithLabelValues(outcome).Inc()
		g.record(x.call.ID, comfreydecision.KindFinish, comfreyverdict.ReasonReturned, map[string]any{"outcome": outcome, "after-ms": g.config.Now().Sub(x.started).Milliseconds()})
	}
}

// refuseFull refuses a request for which there is no room, and tells its caller when to
// return.
func (g *Gateway) refuseFull(x *exchange, reason comfreyverdict.Reason) {
	g.mu.Lock()
	now := g.config.Now()
	after := g.queue(x).RetryAfter()
	if x.patience().TracksReturns() {
		after = g.returns.RetryAfter(now, x.service.Name, after, g.placementRate(now, x.service.Name), x.deadline.Sub(now))
		g.returns.Refuse(now, x.service.Name, x.returnKey(), after)
	}
	g.mu.Unlock()
	g.observeReturn(x, "refused")
	g.refuse(x, reason, after)
}

// placementRate returns how many generations of a service a second are placed by all
// gateways of the cell. The mutex must be held.
func (g *Gateway) placementRate(now time.Time, service string) float64 {
	n := 0
	for _, k := range g.estimator.CellGenerations() {
		if r, ok := g.replicas.Get(k.Replica); ok && r.Service == service && now.Sub(k.KnownSince) < placementRatePeriod {
			n++
		}
	}
	return float64(n) / placementRatePeriod.Seconds()
}

// leaveRoom sets the memory that a request leaves free for others. It has been in the
// queue for some time, of the longest that it may be. The mutex must be held.
func (g *Gateway) leaveRoom(now time.Time, x *exchange, d *comfreyplacement.Demand) {
	p := x.patience()
	if !p.IsPatient() {
		return
	}
	waiting := g.movingWaiters(now)
	for _, q := range g.queues {
		waiting = append(waiting, q.Waiting()...)
	}
	for _, q := range g.peerQueues {
		if now.Sub(q.at) < peerQueueTimeout {
			waiting = append(waiting, q.waiting...)
		}
	}
	waiting = slices.DeleteFunc(waiting, func(w comfreyplacement.Waiter) bool { return w.Service != x.service.Name })
	queued := time.Duration(0)
	if !x.queuedAt.IsZero() {
		queued = now.Sub(x.queuedAt)
	}
	d.HeadroomTokens = max(d.HeadroomTokens, p.RoomForOthers(waiting, x.priority(), queued, x.queueTimeout))
	if k := g.departures[x.service.Name]; k != nil && p.LeavesRoomForMoves(queued, x.queueTimeout) {
		d.MoveShare = k.Share(now)
	}
}

// ownWaiting returns the waiting requests to which those of other gateways may have to
// yield. The mutex must be held.
func (g *Gateway) ownWaiting() []comfreyplacement.Waiter {
	t := g.table.Load()
	if t == nil {
		return nil
	}
	l := g.movingWaiters(g.config.Now())
	for k, q := range g.queues {
		if isPatient(t.Targets(k.service)) {
			l = append(l, q.Waiting()...)
		}
	}
	return comfreyplacement.LargestWaiters(l)
}

// isPatient reports whether a service with some targets has requests that yield to
// others.
func isPatient(t comfreyroute.Targets) bool {
	return comfreyplacement.Patience{ShortestTarget: t.Shortest, LongestTarget: t.Longest}.TracksReturns()
}

// requestRoom records that a generation has to move and that no replica has room for it,
// so that patient requests of all gateways leave room. The mutex must be held.
func (g *Gateway) requestRoom(n *generation) {
	if t := g.table.Load(); t != nil && isPatient(t.Targets(n.service.Name)) {
		n.needsRoomUntil = g.config.Now().Add(requestRoomPeriod)
		g.config.TriggerGossip()
	}
}

// movingWaiters returns the generations that have to move and found no room, in no order.
// All patient requests yield to them. The mutex must be held.
func (g *Gateway) movingWaiters(now time.Time) []comfreyplacement.Waiter {
	var l []comfreyplacement.Waiter
	for n := range g.generations {
		if now.Before(n.needsRoomUntil) && !n.hasEnded {
			l = append(l, comfreyplacement.NewMovingWaiter(n.service.Name, n.kvTokens()))
		}
	}
	return l
}

// observeDepartures counts the replicas that begin to leave.
func (g *Gateway) observeDepartures(changes []comfreyreplica.Change) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Now()
	for _, c := range changes {
		if c.Replica.State != comfreyreplica.StateLeaving {
			continue
		}
		d := g.departures[c.Replica.Service]
		if d == nil {
			d = &comfreyplacement.Departures{}
			g.departures[c.Replica.Service] = d
		}
		accepting := 1
		for r := range g.replicas.InService(c.Replica.Service) {
			if g.replicas.Accepts(r) {
				accepting++
			}
		}
		d.Observe(now, accepting)
	}
}
