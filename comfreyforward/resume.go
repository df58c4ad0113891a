package comfreyforward

import (
	"context"

	"comfreyridge.example/comfreyridge/comfreyconnection"
	"comfreyridge.example/comfreyridge/comfreydecision"
	"comfreyridge.example/comfreyridge/comfreygroup"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// resumption is what can be done next about a generation whose stream has ended early.
type resumption int

// The kinds.
const (
	// resumeNowhere means that the stream cannot be continued.
	resumeNowhere resumption = iota
	// resumeAtCopy resumes the generation at the replica that has its copy.
	resumeAtCopy
	// resumeAtSource resumes it at the replica at which it was stopped to be moved, which
	// keeps its KV cache.
	resumeAtSource
)

// resumeState is what is known of a generation that has to be resumed.
type resumeState struct {
	// hasCopy means that there is a copy that was not tried yet.
	hasCopy bool
	// wasTried means that a replica was asked to resume the generation, which did not
	// succeed, and mayRun that this replica may still execute it.
	wasTried, mayRun bool
	// isHeld means that the request may not be sent to replicas now.
	isHeld bool
	// mayBeStopped means that the source may have stopped the generation for the copy
	// that was tried, and has not been asked to resume it.
	mayBeStopped bool
}

// next returns what to do next.
//
// It is built for this load: replicas leave on notice every few seconds, and a destination
// is full, unreachable or gone by the time at which the generation has been stopped at its
// source. A handle can be used once, so each replica is asked once.
func (s resumeState) next() resumption {
	switch {
	case s.isHeld:
		return resumeNowhere
	case s.hasCopy && (!s.wasTried || s.mayRun):
		// The replica that was asked has been stopped meanwhile, or broke off.
		return resumeAtCopy
	case s.wasTried && !s.mayRun && s.mayBeStopped:
		return resumeAtSource
	}
	return resumeNowhere
}

// resume resumes a generation after its stream has ended early: from its copy, or at its
// source if that fails. ok is false if there was no copy.
func (g *Gateway) resume(ctx context.Context, x *exchange, n *generation) (a *comfreyconnection.Response, e *attemptError, ok bool) {
	var tried *continuation
	for {
		s := resumeState{hasCopy: g.canResume(n), wasTried: tried != nil}
		if e != nil {
			s.mayRun, s.isHeld = e.isLost || e.reason == comfreyverdict.ReasonUnsealedAnswer, e.isSuspect()
			s.mayBeStopped = !s.mayRun && g.awaitStopCall(ctx, tried.stop)
		}
		switch s.next() {
		case resumeAtCopy:
			tried = g.takeContinuation(n)
		case resumeAtSource:
			tried = g.returnToSource(n, tried)
		case resumeNowhere:
			return nil, e, ok
		}
		if tried == nil || ctx.Err() != nil {
			return nil, e, ok
		}
		ok = true
		if a, e = g.resumeAt(ctx, x, n, tried); e == nil {
			return a, nil, true
		}
	}
}

// resumeAt asks a replica to resume a generation.
func (g *Gateway) resumeAt(ctx context.Context, x *exchange, n *generation, next *continuation) (*comfreyconnection.Response, *attemptError) {
	a, _, e := g.send(ctx, x, next.destination, newAttempt(next.destination, next))
	if e == nil && a.Status >= 300 {
		a.Close()
		e = &attemptError{reason: comfreyverdict.ReasonEngineRefused}
	}
	f := map[string]any{"replica": next.destination.ID, "from": next.Source, "handle": next.Handle, "last-event": next.LastEvent, "copy-age-ms": g.config.Now().Sub(next.completedAt).Milliseconds()}
	if e != nil {
		f["error"] = e.Error()
		g.record(n.request, comfreydecision.KindResume, e.reason, f)
		return nil, e
	}
	g.record(n.request, comfreydecision.KindResume, comfreyverdict.ReasonAccepted, f)
	g.config.Group.Go("move", func(ctx context.Context) error {
		// The replica may leave: a source usually does, and a destination may have started
		// to during the move.
		if comfreygroup.Sleep(ctx, copyRetryDelay) {
			g.moveRemaining(next.destination.ID)
		}
		return nil
	})
	return a, nil
}

// returnToSource makes the source of a copy the placement of its generation again, and
// returns how it is resumed there.
func (g *Gateway) returnToSource(n *generation, c *continuation) *continuation {
	g.mu.Lock()
	defer g.mu.Unlock()
	if n.refusedBy == nil {
		n.refusedBy = map[string]bool{}
	}
	n.refusedBy[c.destination.ID] = true // A further move to it would stop the generation again for nothing.
	next := *c
	next.destination, next.stop = c.former, nil
	g.trackPlacement(n, next.destination)
	return &next
}
