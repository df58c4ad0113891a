package comfreyforward

import (
	"context"

	"comfreyridge.example/comfreyridge/comfreyconnection"
	"comfreyridge.example/comfreyridge/comfreydecision"
	"comfreyridge.example/comfreyridge/comfreygroup"
	"comfreyridge.example/comfreyridge/comfreyplacement"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// resume resumes a generation after its stream has ended early, once its replica does not
// execute it any more: from its copy, or at its source if that fails. ok is false if there
// was no copy that can be used. cause is how the stream has ended.
func (g *Gateway) resume(ctx context.Context, x *exchange, n *generation, cause error) (a *comfreyconnection.Response, e *attemptError, ok bool) {
	var tried *continuation
	state := comfreyplacement.RunPossible
	for {
		s := comfreyplacement.ResumeState{HasCopy: g.awaitFirstCopy(ctx, n), WasTried: tried != nil, Run: state}
		if e != nil {
			s.MayRun, s.IsHeld = e.isLost || e.reason == comfreyverdict.ReasonUnsealedAnswer, e.isSuspect()
			s.MayBeStopped = !s.MayRun && g.awaitStopCall(ctx, tried.stop)
		}
		switch s.Next() {
		case comfreyplacement.ResumeAfterStop:
			state = g.endRun(ctx, n)
			continue
		case comfreyplacement.ResumeAtCopy:
			tried = g.takeContinuation(n)
		case comfreyplacement.ResumeAtSource:
			tried = g.returnToSource(n, tried)
		case comfreyplacement.ResumeNowhere:
			return nil, e, ok
		}
		if tried == nil || ctx.Err() != nil {
			return nil, e, ok
		}
		ok, state = true, comfreyplacement.RunPossible
		if a, e = g.resumeAt(ctx, x, n, tried, cause); e == nil {
			return a, nil, true
		}
	}
}

// resumeAt asks a replica to resume a generation whose stream has ended for a cause.
func (g *Gateway) resumeAt(ctx context.Context, x *exchange, n *generation, next *continuation, cause error) (*comfreyconnection.Response, *attemptError) {
	a, _, e := g.send(ctx, x, next.destination, newAttempt(next.destination, next))
	if e == nil && a.Status >= 300 {
		a.Close()
		e = &attemptError{reason: comfreyverdict.ReasonEngineRefused}
	}
	f := map[string]any{"replica": next.destination.ID, "from": next.Source, "handle": next.Handle, "last-event": next.LastEvent, "copy-age-ms": g.config.Now().Sub(next.completedAt).Milliseconds(), "cause": cause.Error()}
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
