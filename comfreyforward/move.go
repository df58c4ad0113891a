package comfreyforward

import (
	"context"
	"errors"
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
	// refreshTime is how much time must be left for a second copy.
	refreshTime = 400 * time.Millisecond
	// stopTimeout bounds the call that stops a run.
	stopTimeout = 1500 * time.Millisecond
	// copyRetry is the pause before a run that has not begun, or that found no
	// room, is tried again.
	copyRetry = 100 * time.Millisecond
	// refreshAfter is how long a first copy may take before what the run made
	// meanwhile is copied too, rather than read again by the destination.
	refreshAfter = 200 * time.Millisecond
	// maxDestinations bounds the destinations that are tried for one run.
	maxDestinations = 4
	// dropTimeout bounds the release of a copy.
	dropTimeout = time.Second
)

// moveAway moves this gateway's generations away from a leaving replica, one
// after the other: its link carries one copy at a time anyway, and a run that
// has moved needs no more copies. It reports whether there are any.
func (g *Gateway) moveAway(r comfreyreplica.Replica) bool {
	l := g.generationsAt(r.ID)
	if len(l) == 0 {
		return false
	}
	g.config.Group.Go("move", func(ctx context.Context) error {
		for _, n := range l {
			g.move(ctx, n, r)
		}
		// What could not move yet, or came here meanwhile, is tried again.
		if comfreygroup.Sleep(ctx, copyRetry) {
			g.moveRest(r.ID)
		}
		return nil
	})
	return true
}

// moveRest moves what is left at a replica if it is leaving and still serves.
func (g *Gateway) moveRest(replica string) {
	g.mu.Lock()
	r, ok := g.replicas.Get(replica)
	g.mu.Unlock()
	if ok && r.State == comfreyreplica.StateLeaving && g.config.Now().Before(r.EndsAt) {
		g.moveAway(r)
	}
}

// askEnd asks a leaving replica how long it still serves.
func (g *Gateway) askEnd(ctx context.Context, r comfreyreplica.Replica) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	p, err := g.config.Engines.FetchReport(ctx, r.Address)
	f := map[string]any{"replica": r.ID, "state": r.State.String()}
	if err != nil {
		f["error"] = err.Error()
		g.record("", comfreydecision.KindUpstream, comfreyverdict.ReasonConnectionLost, f)
		return
	}
	f["leaves-ms"], f["runs"] = p.LeavesIn.Milliseconds(), len(p.Generations)
	g.record("", comfreydecision.KindUpstream, comfreyverdict.ReasonLeaving, f)
	if p.LeavesIn > 0 {
		g.mu.Lock()
		g.replicas.MarkLeaving(g.config.Now(), r.ID, p.LeavesIn)
		g.mu.Unlock()
	}
}

// generationsAt returns the generations of a replica that can move and are not
// moving yet, in the order in which they move.
func (g *Gateway) generationsAt(replica string) []*generation {
	g.mu.Lock()
	defer g.mu.Unlock()
	var l []*generation
	for n := range g.streams {
		if n.replica.ID == replica && !n.isMoving && !n.hasEnded && n.service.Engine.CanMove {
			n.isMoving = true
			l = append(l, n)
		}
	}
	slices.SortFunc(l, func(a, b *generation) int { return comfreyplacement.MoveOrder(a.movable(), b.movable()) })
	return l
}

// move moves one generation: its memory is copied while it runs, copied again
// if that took long, and then the run is stopped and goes on at the copy, which
// reads the few tokens that it lacks. Waiting for a copy of the last tokens
// would take longer, because it queues behind those of other runs.
func (g *Gateway) move(ctx context.Context, n *generation, r comfreyreplica.Replica) {
	defer g.endMove(n)
	first := g.firstCopy(ctx, n, r)
	if first == nil {
		return
	}
	g.mu.Lock()
	if n.hasEnded {
		g.mu.Unlock()
		g.dropCopy(first)
		return
	}
	n.next = first
	g.noteCopy(n, first.candidate.ID, false)
	if k, ok := g.replicas.Get(r.ID); ok && k.State == comfreyreplica.StateLeaving {
		r = k // Its end may be known better by now.
	}
	g.mu.Unlock()
	if first.took > refreshAfter && r.EndsAt.Sub(g.config.Now()) > refreshTime {
		if _, err := g.copy(ctx, n, r, first.candidate, false); err == nil {
			g.mu.Lock()
			first.made = g.config.Now()
			g.mu.Unlock()
		}
	}
	g.stopRun(ctx, n, r, first)
}

// endMove ends a move, whatever came of it.
func (g *Gateway) endMove(n *generation) {
	g.mu.Lock()
	defer g.mu.Unlock()
	n.isMoving, n.destination = false, nil
	g.board.Finish(g.config.Now(), copyID(n))
}

// copyID names the room that a copy takes on the board.
func copyID(n *generation) string {
	return n.request + "/copy"
}

// noteCopy notes the room that a copy takes at its destination. The mutex must
// be held.
func (g *Gateway) noteCopy(n *generation, replica string, isCopying bool) {
	g.board.Start(comfreyoccupancy.Generation{ID: copyID(n), Replica: replica, PromptTokens: n.tokens(), IsDecoding: true, IsCopying: isCopying})
	if isCopying {
		g.config.Announce()
	}
}

// firstCopy copies a run while it goes on. It returns nil if that is not
// possible.
func (g *Gateway) firstCopy(ctx context.Context, n *generation, r comfreyreplica.Replica) *continuation {
	tried := map[string]bool{r.ID: true}
	for len(tried) <= maxDestinations {
		d, ok := g.destination(n, r, tried)
		if !ok {
			g.record(n.request, comfreydecision.KindMove, comfreyverdict.ReasonAdmissionFull, map[string]any{"replica": r.ID, "tried": len(tried) - 1})
			return nil
		}
		began := g.config.Now()
		c, err := g.copy(ctx, n, r, d, false)
		switch {
		case err == nil:
			return &continuation{candidate: d, made: g.config.Now(), took: g.config.Now().Sub(began), Continuation: comfreycall.Continuation{Source: r.Address, Handle: c.Handle}}
		case errors.Is(err, comfreycall.ErrUnknownGeneration) && !g.hasBegun(n) && g.config.Now().Before(r.EndsAt):
			if !comfreygroup.Sleep(ctx, copyRetry) {
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

func (g *Gateway) hasBegun(n *generation) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return n.events > 0 || n.hasEnded
}

// destination chooses where a run goes on and takes the room there.
func (g *Gateway) destination(n *generation, r comfreyreplica.Replica, excluded map[string]bool) (comfreyplacement.Candidate, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if n.hasEnded {
		return comfreyplacement.Candidate{}, false
	}
	if d := n.destination; d != nil {
		n.destination = nil
		return *d, true
	}
	l := g.candidates(g.config.Now(), n.service, excluded)
	for i := range l {
		l[i].IsSameDataCentre = l[i].DataCentre == r.DataCentre
	}
	i := comfreyplacement.ChooseMoveDestination(l, comfreyplacement.Demand{PromptTokens: n.tokens(), CopyRate: n.service.Engine.CopyTokensPerSecond()}, g.config.Rand)
	if i < 0 {
		return comfreyplacement.Candidate{}, false
	}
	g.noteCopy(n, l[i].ID, true)
	return l[i], true
}

// copy makes one copy of a run and records it.
func (g *Gateway) copy(ctx context.Context, n *generation, r comfreyreplica.Replica, d comfreyplacement.Candidate, isLast bool) (comfreycall.KVCopy, error) {
	began := g.config.Now()
	limit := r.EndsAt.Add(keepTrying).Sub(began)
	if isLast {
		limit = stopTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, max(limit, stopTimeout))
	defer cancel()
	c, err := g.config.Engines.CopyKVCache(ctx, r.Address, n.request, d.Address, isLast)
	f := map[string]any{"replica": r.ID, "to": d.ID, "last": isLast, "handle": c.Handle, "took-ms": g.config.Now().Sub(began).Milliseconds(), "ends-in-ms": r.EndsAt.Sub(began).Milliseconds()}
	reason := comfreyverdict.ReasonAccepted
	if err != nil {
		reason = comfreyverdict.ReasonCopyFailed
		f["error"] = err.Error()
	}
	g.record(n.request, comfreydecision.KindMove, reason, f)
	return c, err
}

// keepTrying is how long after a replica's expected end a copy is still waited
// for, because some serve longer.
const keepTrying = time.Second

// stopRun stops a run at its replica, which closes the stream; the reader of
// the stream then lets the run go on at the copy.
func (g *Gateway) stopRun(ctx context.Context, n *generation, r comfreyreplica.Replica, first *continuation) {
	g.mu.Lock()
	isOver := n.hasEnded || n.replica.ID != r.ID
	g.mu.Unlock()
	if !isOver {
		// Whether or not the replica answers, the stream tells what happened.
		_, _ = g.copy(ctx, n, r, first.candidate, true)
	}
}

// dropCopy frees a copy that is not needed.
func (g *Gateway) dropCopy(c *continuation) {
	g.config.Group.Go("drop", func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, dropTimeout)
		defer cancel()
		if err := g.config.Engines.ReleaseKVCopy(ctx, c.Source, c.Handle); err != nil {
			g.record("", comfreydecision.KindMove, comfreyverdict.ReasonCopyFailed, map[string]any{"handle": c.Handle, "source": c.Source, "error": err.Error()})
		}
		return nil
	})
}
