package comfreyforward

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"comfreyridge.example/comfreyridge/comfreycall"
	"comfreyridge.example/comfreyridge/comfreydecision"
	"comfreyridge.example/comfreyridge/comfreygroup"
	"comfreyridge.example/comfreyridge/comfreyoccupancy"
	"comfreyridge.example/comfreyridge/comfreyplacement"
	"comfreyridge.example/comfreyridge/comfreyreplica"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

const (
	// copyRetryDelay is the delay before the copy of a generation is retried,
	// if the generation had not started or the destinations lacked free
	// capacity.
	copyRetryDelay = 100 * time.Millisecond
	// maxDestinations bounds the destinations that are tried for one
	// generation.
	maxDestinations = 4
	// releaseTimeout bounds the call that releases a copy.
	releaseTimeout = time.Second
)

// moveAway moves this gateway's generations away from a leaving replica. Their
// first copies are made one after the other: the link of the replica transfers
// one copy at a time anyway, and a generation that has moved needs no further
// copies. It reports whether there are any to move.
func (g *Gateway) moveAway(r comfreyreplica.Replica) bool {
	l := g.claimMovable(r.ID)
	if len(l) == 0 {
		return false
	}
	g.config.Group.Go("move", func(ctx context.Context) error {
		for i, n := range l {
			first, ok := g.beginMove(ctx, n, r)
			if !ok {
				continue
			}
			if i == len(l)-1 {
				g.completeMove(ctx, n, r, first, false)
				break
			}
			// The first copies of the others must not wait for the calls that
			// complete this move.
			g.config.Group.Go("move", func(ctx context.Context) error {
				g.completeMove(ctx, n, r, first, true)
				return nil
			})
		}
		// Retries generations that could not move yet, and moves those that
		// were resumed here meanwhile.
		if comfreygroup.Sleep(ctx, copyRetryDelay) {
			g.moveRemaining(r.ID)
		}
		return nil
	})
	return true
}

// moveRemaining moves the remaining generations of a replica if it has to be emptied
// and they can still be moved.
func (g *Gateway) moveRemaining(replica string) {
	g.mu.Lock()
	r, _ := g.replicas.Get(replica)
	until, mustMove := g.replicas.MoveAwayUntil(r)
	g.mu.Unlock()
	if mustMove && g.config.Now().Before(until) {
		r.EndsAt = until
		g.moveAway(r)
	}
}

// fetchLeaveTime fetches from a leaving replica how much longer it serves.
func (g *Gateway) fetchLeaveTime(ctx context.Context, r comfreyreplica.Replica) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	p, err := g.config.Engines.FetchReport(ctx, g.target(ctx, r.ID, r.Address, comfreyreplica.PurposeControl))
	f := map[string]any{"replica": r.ID, "state": r.State.String()}
	if err != nil {
		f["error"] = err.Error()
		g.record("", comfreydecision.KindUpstream, reasonOf(err, comfreyverdict.ReasonConnectionLost), f)
		return
	}
	f["leaves-ms"], f["runs"] = p.LeavesIn.Milliseconds(), len(p.Generations)
	g.record("", comfreydecision.KindUpstream, comfreyverdict.ReasonLeaving, f)
	if p.LeavesIn > 0 && p.IsOf(r) {
		g.mu.Lock()
		g.replicas.MarkLeaving(g.config.Now(), r.ID, p.LeavesIn)
		g.mu.Unlock()
	}
}

// claimMovable marks the generations at a replica that can move as moving,
// except for those that already are, and returns them in the order of their
// moves.
func (g *Gateway) claimMovable(replica string) []*generation {
	g.mu.Lock()
	defer g.mu.Unlock()
	var l []*generation
	for n := range g.generations {
		if n.replica.ID == replica && !n.isMoving && !n.hasEnded && n.service.Engine.CanMove {
			n.beginMoving()
			l = append(l, n)
		}
	}
	slices.SortFunc(l, func(a, b *generation) int { return comfreyplacement.MoveOrder(a.movable(), b.movable()) })
	return l
}

// move moves one generation.
func (g *Gateway) move(ctx context.Context, n *generation, r comfreyreplica.Replica) {
	if first, ok := g.beginMove(ctx, n, r); ok {
		g.completeMove(ctx, n, r, first, false)
	}
}

// beginMove copies the KV cache of a generation, which continues. From then on,
// the generation can be resumed from the copy. If it reports false, the move has
// ended.
func (g *Gateway) beginMove(ctx context.Context, n *generation, r comfreyreplica.Replica) (*continuation, bool) {
	defer close(n.firstCopy)
	first := g.copyToDestination(ctx, n, r)
	if first == nil {
		g.finishMove(n)
		return nil, false
	}
	g.mu.Lock()
	if n.hasEnded {
		g.mu.Unlock()
		g.releaseCopy(first)
		g.finishMove(n)
		return nil, false
	}
	n.continuation = first
	g.trackCopy(n, first.destination.ID, false)
	g.mu.Unlock()
	return first, true
}

// completeMove stops a generation at the source, so that it is resumed from its
// copy; the destination prefills the tokens that the copy lacks. If these are
// many, they are copied first. Waiting for a copy of the last tokens would take
// longer, because that copy queues behind those of other generations.
// hasWaiting means that other generations of this gateway still wait for their
// first copy.
func (g *Gateway) completeMove(ctx context.Context, n *generation, r comfreyreplica.Replica, first *continuation, hasWaiting bool) {
	defer g.finishMove(n)
	if g.dropLostCopy(n, first) {
		return
	}
	g.mu.Lock()
	if k, ok := g.replicas.Get(r.ID); ok {
		if until, mustMove := g.replicas.MoveAwayUntil(k); mustMove {
			r, r.EndsAt = k, until // Its end may be known more exactly by now.
		}
	}
	refresh := comfreyplacement.Refresh{MissingTokens: n.generatedTokens() - first.generatedTokens, TimeLeft: r.EndsAt.Sub(g.config.Now()), HasWaiting: hasWaiting}
	isInterrupted := n.isInterrupted
	g.mu.Unlock()
	if !isInterrupted && refresh.IsWorthwhile() {
		if _, err := g.copyKVCache(ctx, n, r, first.destination, nil); err == nil {
			g.mu.Lock()
			first.completedAt = g.config.Now()
			g.mu.Unlock()
		}
	}
	if !g.dropLostCopy(n, first) {
		g.stopAtSource(ctx, n, r, first)
	}
}

// dropLostCopy drops the copy of a generation, which runs on at its source, if the
// replica that had it has ended. It reports whether it did.
func (g *Gateway) dropLostCopy(n *generation, first *continuation) bool {
	g.mu.Lock()
	if g.replicas.IsCurrent(first.holder) {
		g.mu.Unlock()
		return false
	}
	hasCopy := n.continuation == first
	if hasCopy {
		n.continuation = nil
	}
	g.mu.Unlock()
	if hasCopy {
		g.releaseCopy(first)
	}
	g.record(n.request, comfreydecision.KindMove, comfreyverdict.ReasonForeignReplica, map[string]any{"replica": first.source, "to": first.destination.ID, "born": first.holder.StartMillis, "handle": first.Handle, "state": "lost"})
	return true
}

// finishMove clears the state of a move, successful or not.
func (g *Gateway) finishMove(n *generation) {
	g.mu.Lock()
	defer g.mu.Unlock()
	n.isMoving, n.destination = false, nil
	g.estimator.Finish(g.config.Now(), kvCopyID(n))
}

// kvCopyID returns the id under which the load estimator counts the KV copy of
// a generation.
func kvCopyID(n *generation) string {
	return n.request + "/copy"
}

// trackCopy counts the memory that a copy occupies at its destination. The
// mutex must be held.
func (g *Gateway) trackCopy(n *generation, replica string, isCopying bool) {
	g.estimator.Start(g.config.Now(), comfreyoccupancy.Generation{ID: kvCopyID(n), Replica: replica, PromptTokens: n.kvTokens(), IsDecoding: true, IsCopying: isCopying})
	if isCopying {
		g.config.TriggerGossip()
	}
}

// copyToDestination copies the KV cache of a generation, which continues, to a
// destination that has memory for it. It returns nil if there is none or the
// copy fails.
func (g *Gateway) copyToDestination(ctx context.Context, n *generation, r comfreyreplica.Replica) *continuation {
	tried := g.refusedBy(n)
	tried[r.ID] = true
	for last := len(tried) + maxDestinations; len(tried) < last; {
		d, ok := g.chooseDestination(n, r, tried)
		if !ok {
			g.record(n.request, comfreydecision.KindMove, comfreyverdict.ReasonAdmissionFull, map[string]any{"replica": r.ID, "tried": len(tried) - 1})
			return nil
		}
		g.mu.Lock()
		generated := n.generatedTokens()
		k, _ := g.replicas.Get(d.ID)
		g.mu.Unlock()
		c, err := g.copyKVCache(ctx, n, r, d, nil)
		switch {
		case err == nil:
			return &continuation{source: r.ID, destination: d, holder: k.Start(), completedAt: g.config.Now(), generatedTokens: generated, Continuation: comfreycall.Continuation{Source: r.Address, Handle: c.Handle}}
		case errors.Is(err, comfreycall.ErrUnknownGeneration) && !g.hasStarted(n) && g.config.Now().Before(r.EndsAt):
			if !comfreygroup.Sleep(ctx, copyRetryDelay) {
				return nil
			}
		case errors.Is(err, comfreycall.ErrNoCapacity):
			tried[d.ID] = true
		default:
			return nil
		}
	}
	return nil
}

// refusedBy returns a copy of the replicas that did not resume a generation.
func (g *Gateway) refusedBy(n *generation) map[string]bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := map[string]bool{}
	maps.Copy(l, n.refusedBy)
	return l
}

// hasStarted reports whether a generation has produced its first event or has
// ended, or its stream has.
func (g *Gateway) hasStarted(n *generation) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return n.events > 0 || n.hasEnded || n.isInterrupted
}

// chooseDestination chooses the destination of a move and counts the memory
// there as used.
func (g *Gateway) chooseDestination(n *generation, r comfreyreplica.Replica, excluded map[string]bool) (comfreyplacement.Candidate, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if n.hasEnded {
		return comfreyplacement.Candidate{}, false
	}
	if d := n.destination; d != nil {
		n.destination = nil
		return *d, true
	}
	l := g.withoutLimited(g.candidates(g.config.Now(), search{service: n.service, homes: n.homes, excluded: excluded}))
	for i := range l {
		l[i].IsSameDataCentre = l[i].DataCentre == r.DataCentre
	}
	i := comfreyplacement.ChooseMoveDestination(l, comfreyplacement.Demand{PromptTokens: n.kvTokens(), Pauses: n.pauses, CopyTokensPerSecond: n.service.Engine.CopyTokensPerSecond()}, g.config.Rand)
	if i < 0 {
		g.requestRoom(n)
		return comfreyplacement.Candidate{}, false
	}
	g.trackCopy(n, l[i].ID, true)
	return l[i], true
}

// copyKVCache makes one copy of a generation's KV cache and records the result. The
// generation is stopped first if stop is not nil.
func (g *Gateway) copyKVCache(ctx context.Context, n *generation, r comfreyreplica.Replica, d comfreyplacement.Candidate, stop *stopCall) (comfreycall.KVCopy, error) {
	began, isLast := g.config.Now(), stop != nil
	limit := r.EndsAt.Add(copyGracePeriod).Sub(began)
	if isLast {
		limit = stopTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, max(limit, stopTimeout))
	defer cancel()
	target := g.target(ctx, r.ID, r.Address, comfreyreplica.PurposeControl)
	if permit := target.Permit; isLast {
		target.Permit = func() error {
			err := permit()
			if err == nil {
				g.observeWritten(n, stop)
			}
			return err
		}
	}
	c, err := g.config.Engines.CopyKVCache(ctx, target, n.request, d.Address, isLast)
	f := map[string]any{"replica": r.ID, "to": d.ID, "last": isLast, "handle": c.Handle, "took-ms": g.config.Now().Sub(began).Milliseconds(), "ends-in-ms": r.EndsAt.Sub(began).Milliseconds()}
	reason := comfreyverdict.ReasonAccepted
	if err != nil {
		reason = comfreyverdict.ReasonCopyFailed
		f["error"] = err.Error()
	}
	g.record(n.request, comfreydecision.KindMove, reason, f)
	g.mu.Lock()
	defer g.mu.Unlock()
	if n.replica.ID == r.ID {
		n.mayBeCopying = stopResult(err).MayRetry()
	}
	return c, err
}

// copyGracePeriod is how long after the expected end of the source a copy may
// still complete, because some replicas serve longer than expected.
const copyGracePeriod = time.Second

// releaseCopy frees a copy that is no longer needed.
func (g *Gateway) releaseCopy(c *continuation) {
	g.config.Group.Go("drop", func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
		defer cancel()
		if err := g.config.Engines.ReleaseKVCopy(ctx, g.target(ctx, c.source, c.Source, comfreyreplica.PurposeControl), c.Handle); err != nil {
			g.record("", comfreydecision.KindMove, comfreyverdict.ReasonCopyFailed, map[string]any{"handle": c.Handle, "source": c.Source, "error": err.Error()})
		}
		return nil
	})
}
