package comfreyforward

import (
	"cmp"
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
	// lastCopyTime is kept before a replica's end for the last, small copies.
	lastCopyTime = 400 * time.Millisecond
	// stopTimeout bounds the last copy of a run, whose caller waits meanwhile.
	stopTimeout = 1500 * time.Millisecond
	// copyRetry is the pause before a run that has not begun is copied.
	copyRetry = 100 * time.Millisecond
	// maxDestinations bounds the destinations that are tried for one run.
	maxDestinations = 4
	// dropTimeout bounds the release of a copy.
	dropTimeout = time.Second
)

// moveAway moves this gateway's generations away from a leaving replica.
func (g *Gateway) moveAway(ctx context.Context, r comfreyreplica.Replica) {
	l := g.generationsAt(r.ID)
	if len(l) == 0 || !l[0].service.Engine.CanMove {
		return
	}
	settle := g.settleTime(ctx, r, l)
	for _, n := range l {
		g.config.Group.Go("move", func(ctx context.Context) error {
			g.move(ctx, n, r, settle)
			return nil
		})
	}
}

// generationsAt returns the running generations of a replica that are not
// moving yet, the smallest first.
func (g *Gateway) generationsAt(replica string) []*generation {
	g.mu.Lock()
	defer g.mu.Unlock()
	var l []*generation
	for n := range g.streams {
		if n.replica.ID == replica && !n.isMoving && !n.hasEnded {
			n.isMoving = true
			l = append(l, n)
		}
	}
	slices.SortFunc(l, func(a, b *generation) int { return cmp.Compare(a.tokens(), b.tokens()) })
	return l
}

// settleTime returns when the first copies of all generations of a replica,
// those of other gateways included, are expected to be complete. A last copy
// before that would wait behind them, and its caller with it.
func (g *Gateway) settleTime(ctx context.Context, r comfreyreplica.Replica, own []*generation) time.Time {
	e := own[0].service.Engine
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	asked := g.config.Now()
	p, err := g.config.Engines.Report(ctx, r.Address)
	g.mu.Lock()
	defer g.mu.Unlock()
	tokens := 0
	if err == nil {
		if p.Leaves > 0 {
			g.replicas.Leave(g.config.Now(), r.ID, p.Leaves)
		}
		for _, u := range p.Runs {
			tokens += u.Tokens
		}
	} else {
		for _, n := range own {
			tokens += n.tokens() * assumedSharers
		}
	}
	return asked.Add(e.CopyTime(tokens))
}

// assumedSharers is how many gateways are taken to have as many generations at
// a replica as this one, if the replica does not say.
const assumedSharers = 4

// move moves one generation.
func (g *Gateway) move(ctx context.Context, n *generation, r comfreyreplica.Replica, settle time.Time) {
	defer g.endMove(n)
	g.mu.Lock()
	if k, ok := g.replicas.Get(r.ID); ok {
		r = k
	}
	g.mu.Unlock()
	first := g.firstCopy(ctx, n, r)
	if first == nil {
		return
	}
	g.mu.Lock()
	n.next = first
	g.mu.Unlock()
	if latest := r.Ends.Add(-lastCopyTime); settle.After(latest) {
		settle = latest
	}
	if !comfreygroup.Sleep(ctx, settle.Sub(g.config.Now())) {
		return
	}
	g.lastCopy(ctx, n, r, first)
}

// endMove ends a move, whatever came of it.
func (g *Gateway) endMove(n *generation) {
	g.mu.Lock()
	defer g.mu.Unlock()
	n.isMoving = false
	g.board.Finish(g.config.Now(), copyID(n))
}

// copyID names the room that a copy takes on the board.
func copyID(n *generation) string {
	return n.request + "/copy"
}

// firstCopy copies a run while it goes on. It returns nil if that is not
// possible.
func (g *Gateway) firstCopy(ctx context.Context, n *generation, r comfreyreplica.Replica) *continuation {
	tried := map[string]bool{r.ID: true}
	for len(tried) <= maxDestinations {
		d, ok := g.destination(n, r, tried)
		if !ok {
			g.recordMove(n, r, comfreyverdict.ReasonAdmissionFull, map[string]any{"tried": len(tried) - 1})
			return nil
		}
		c, err := g.copy(ctx, n, r, d, false)
		switch {
		case err == nil:
			return &continuation{candidate: d, made: g.config.Now(), Continuation: comfreycall.Continuation{Source: r.Address, Handle: c.Handle}}
		case errors.Is(err, comfreycall.ErrNoRun) && !g.hasBegun(n) && g.config.Now().Before(r.Ends):
			if !comfreygroup.Sleep(ctx, copyRetry) {
				return nil
			}
		case errors.Is(err, comfreycall.ErrNoRoom):
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
	l := g.candidates(g.config.Now(), n.service, excluded)
	for i := range l {
		k, _ := g.replicas.Get(l[i].ID)
		l[i].IsNear = k.DataCentre == r.DataCentre
	}
	grown := n.events * n.service.Engine.TokensPerEvent
	i := comfreyplacement.Destination(l, comfreyplacement.Need{PromptTokens: n.tokens(), ExpectedTokens: g.remaining(n, grown)}, g.config.Draw)
	if i < 0 {
		return comfreyplacement.Candidate{}, false
	}
	g.board.Start(comfreyoccupancy.Run{ID: copyID(n), Replica: l[i].ID, PromptTokens: n.tokens(), HasBegun: true, Started: g.config.Now()})
	return l[i], true
}

// copy makes one copy of a run and records it.
func (g *Gateway) copy(ctx context.Context, n *generation, r comfreyreplica.Replica, d comfreyplacement.Candidate, isLast bool) (comfreycall.Copy, error) {
	began := g.config.Now()
	limit := r.Ends.Add(keepTrying).Sub(began)
	if isLast {
		limit = stopTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, max(limit, stopTimeout))
	defer cancel()
	c, err := g.config.Engines.Copy(ctx, r.Address, n.request, d.Address, isLast)
	f := map[string]any{"replica": r.ID, "to": d.ID, "last": isLast, "took-ms": g.config.Now().Sub(began).Milliseconds(), "ends-in-ms": r.Ends.Sub(began).Milliseconds()}
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

// lastCopy stops a run at its replica and lets it go on at the destination.
func (g *Gateway) lastCopy(ctx context.Context, n *generation, r comfreyreplica.Replica, first *continuation) {
	g.mu.Lock()
	if n.hasEnded || n.replica.ID != r.ID {
		g.mu.Unlock()
		return
	}
	n.isStopping, n.settled = true, make(chan struct{})
	g.mu.Unlock()
	c, err := g.copy(ctx, n, r, first.candidate, true)
	g.mu.Lock()
	if err == nil && n.next != nil {
		n.next.Handle, n.next.made = c.Handle, g.config.Now()
	}
	n.isStopping = false
	close(n.settled)
	g.mu.Unlock()
}

// dropCopy frees a copy that is not needed.
func (g *Gateway) dropCopy(c *continuation) {
	g.config.Group.Go("drop", func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, dropTimeout)
		defer cancel()
		if err := g.config.Engines.Drop(ctx, c.Source, c.Handle); err != nil {
			g.record("", comfreydecision.KindMove, comfreyverdict.ReasonCopyFailed, map[string]any{"handle": c.Handle, "source": c.Source, "error": err.Error()})
		}
		return nil
	})
}

func (g *Gateway) recordMove(n *generation, r comfreyreplica.Replica, reason comfreyverdict.Reason, f map[string]any) {
	f["replica"] = r.ID
	g.record(n.request, comfreydecision.KindMove, reason, f)
}
