package comfreyforward

import (
	"context"
	"errors"
	"net"
	"slices"
	"syscall"
	"time"

	"comfreyridge.example/comfreyridge/comfreycall"
	"comfreyridge.example/comfreyridge/comfreyconnection"
	"comfreyridge.example/comfreyridge/comfreygroup"
	"comfreyridge.example/comfreyridge/comfreyplacement"
	"comfreyridge.example/comfreyridge/comfreyreplica"
)

const (
	// stopTimeout bounds one call that stops a generation at its replica.
	stopTimeout = 1500 * time.Millisecond
	// endRunTimeout bounds the time in which a generation is stopped whose stream has
	// ended early. Its caller has left by then.
	endRunTimeout = 5 * time.Second
	// stopRetryDelay is the delay, which doubles, between two such calls, and
	// maxStopRetryDelay bounds it.
	stopRetryDelay    = 25 * time.Millisecond
	maxStopRetryDelay = 200 * time.Millisecond
	// stopRefusalTimeout is how long the refusal of a call that stops a generation may take
	// to arrive.
	stopRefusalTimeout = 25 * time.Millisecond
	// maxReportAge is how old the content of a load report may be.
	maxReportAge = time.Second
)

// stopCall is a call that stops a generation at the replica that executes it. The
// mutex of the gateway guards its fields, except for returned.
type stopCall struct {
	// returned is closed when the call has returned.
	returned chan struct{}
	// explainsEnd means that an end of the stream is the effect of this call, unless it is
	// refused; see comfreyplacement.StopTiming.
	explainsEnd bool
	// mayHaveStopped is false if neither this call nor an earlier one at the same
	// replica can have stopped the generation.
	mayHaveStopped bool
	// result is what the call has shown.
	result comfreyplacement.StopResult
	// handle is that of the copy that the call has made.
	handle string
}

// stopAtSource stops a generation at its source, which closes the stream; the
// goroutine that relays the stream then resumes the generation from the copy.
func (g *Gateway) stopAtSource(ctx context.Context, n *generation, r comfreyreplica.Replica, first *continuation) {
	g.mu.Lock()
	isOver := n.hasEnded || n.replica.ID != r.ID
	g.mu.Unlock()
	if !isOver {
		g.stopGeneration(ctx, n, r, first)
	}
}

// stopGeneration makes one call that stops a generation at a replica, and returns it once it
// has returned.
func (g *Gateway) stopGeneration(ctx context.Context, n *generation, r comfreyreplica.Replica, first *continuation) *stopCall {
	s := &stopCall{returned: make(chan struct{}), mayHaveStopped: true}
	defer close(s.returned)
	g.mu.Lock()
	isCurrent := n.replica.ID == r.ID
	wasInDoubt := isCurrent && n.stop != nil && n.stop.mayHaveStopped
	if isCurrent {
		n.stop = s
	}
	g.mu.Unlock()
	c, err := g.copyKVCache(ctx, n, r, first.destination, s)
	g.mu.Lock()
	defer g.mu.Unlock()
	s.mayHaveStopped = wasInDoubt || mayHaveStopped(err)
	s.result, s.handle = stopResult(err), c.Handle
	return s
}

// observeWritten records that a call that stops a generation is about to be written.
func (g *Gateway) observeWritten(n *generation, s *stopCall) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := comfreyplacement.StopTiming{HasStreamEnded: n.isInterrupted, MayBeCopying: n.mayBeCopying}
	s.explainsEnd = n.stop == s && t.ExplainsEnd()
}

// mayHaveStopped reports whether a generation may have been stopped by a call, given
// the error of the call.
func mayHaveStopped(err error) bool {
	if errors.Is(err, comfreycall.ErrUnknownGeneration) || errors.Is(err, comfreycall.ErrCopyInProgress) || errors.Is(err, comfreycall.ErrOtherReplica) {
		return false
	}
	var s *comfreyconnection.SendError
	return !errors.As(err, &s) || s.MayHaveArrived
}

// stopResult returns what a call that stops a generation has shown, given its error. The
// generation has begun, so a replica that does not know it has ended it.
func stopResult(err error) comfreyplacement.StopResult {
	var s *comfreyconnection.SendError
	var n net.Error
	switch {
	case err == nil, errors.Is(err, comfreycall.ErrNoCapacity), errors.Is(err, comfreycall.ErrUnknownGeneration),
		errors.Is(err, comfreycall.ErrOtherReplica), errors.Is(err, comfreyreplica.ErrReplaced), errors.Is(err, syscall.ECONNREFUSED):
		return comfreyplacement.StopEnded
	case errors.Is(err, comfreycall.ErrCopyInProgress):
		return comfreyplacement.StopTooEarly
	case errors.As(err, &s) && s.IsDial && errors.As(err, &n) && n.Timeout():
		return comfreyplacement.StopUnreachable
	}
	return comfreyplacement.StopUnclear
}

// run is an execution of a generation whose stream has ended early.
type run struct {
	generation *generation
	// replica has executed it since began.
	replica comfreyreplica.Replica
	began   time.Time
	// resumption is how the generation is resumed.
	resumption *continuation
	// stop is the latest call that stops it; nil if there was none.
	stop *stopCall
}

// latestRun returns the latest execution of a generation.
func (g *Gateway) latestRun(n *generation) run {
	g.mu.Lock()
	defer g.mu.Unlock()
	r, _ := g.replicas.Get(n.replica.ID)
	r.ID, r.Address = n.replica.ID, n.replica.Address
	return run{generation: n, replica: r, began: n.placedAt, resumption: n.continuation, stop: n.stop}
}

// endRun makes sure that the replica of a generation whose stream has ended early does not
// execute it any more, and returns what is known of that.
func (g *Gateway) endRun(ctx context.Context, n *generation) comfreyplacement.RunState {
	u := g.latestRun(n)
	switch {
	case u.resumption == nil:
		return comfreyplacement.RunUnclear
	case g.isBeingStopped(ctx, u.stop):
		// The call returns only once the rest of the KV cache has been copied.
		g.config.Group.Go("stop", func(ctx context.Context) error {
			if s := g.stopUntilEnded(ctx, u); s != u.stop && s.handle != "" && s.handle != u.resumption.Handle {
				unused := *u.resumption
				unused.Handle = s.handle
				g.releaseCopy(&unused)
			}
			return nil
		})
		return comfreyplacement.RunOver
	}
	s := g.stopUntilEnded(ctx, u)
	g.mu.Lock()
	defer g.mu.Unlock()
	return s.result.RunState()
}

// isBeingStopped reports whether a call, which may be nil, has ended the stream of its
// generation and is not refused at once. Its response, which would confirm the stop, comes only after
// a transfer; endRun goes on calling meanwhile.
func (g *Gateway) isBeingStopped(ctx context.Context, s *stopCall) bool {
	if s == nil {
		return false
	}
	g.mu.Lock()
	explainsEnd := s.explainsEnd
	g.mu.Unlock()
	if !explainsEnd {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, stopRefusalTimeout)
	defer cancel()
	select {
	case <-s.returned:
		return false
	case <-ctx.Done():
		return true
	}
}

// stopUntilEnded calls the replica of an execution until it does not execute the generation
// any more, or until endRunTimeout. It returns the last call.
func (g *Gateway) stopUntilEnded(ctx context.Context, u run) *stopCall {
	ctx, cancel := context.WithTimeout(ctx, endRunTimeout)
	defer cancel()
	s := u.stop
	if s == nil {
		s = g.stopGeneration(ctx, u.generation, u.replica, u.resumption)
	}
	for delay := stopRetryDelay; ; delay = min(2*delay, maxStopRetryDelay) {
		select {
		case <-s.returned:
		case <-ctx.Done():
			return s
		}
		if !g.mayRetryStop(ctx, u, s) || !comfreygroup.Sleep(ctx, delay) || g.hasReturned(u) {
			return s
		}
		s = g.stopGeneration(ctx, u.generation, u.replica, u.resumption)
	}
}

// hasReturned reports whether a generation is executed again by the replica of an earlier
// execution.
func (g *Gateway) hasReturned(u run) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := u.generation
	return n.replica.ID == u.replica.ID && !n.placedAt.Equal(u.began)
}

// mayRetryStop reports whether a further call may tell more than one that has returned. The
// load report of the replica explains an unclear response.
func (g *Gateway) mayRetryStop(ctx context.Context, u run, s *stopCall) bool {
	g.mu.Lock()
	result := s.result
	g.mu.Unlock()
	if result != comfreyplacement.StopUnclear || !g.hasEndedByReport(ctx, u) {
		return result.MayRetry()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	s.result = comfreyplacement.StopEnded
	return false
}

// hasEndedByReport reports whether the load report of a replica does not list an execution
// any more. A report may be older than a recent start.
func (g *Gateway) hasEndedByReport(ctx context.Context, u run) bool {
	if g.config.Now().Sub(u.began) < maxReportAge {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	r := u.replica
	p, err := g.config.Engines.FetchReport(ctx, g.target(ctx, r.ID, r.Address, comfreyreplica.PurposeControl))
	switch {
	case err != nil:
		return errors.Is(err, comfreycall.ErrOtherReplica)
	case !p.IsOf(r):
		return p.ShowsReplacement(r)
	}
	return !slices.ContainsFunc(p.Generations, func(l comfreyreplica.Generation) bool { return l.ID == u.generation.request })
}

// errStopped means that a generation was stopped at its source.
var errStopped = errors.New("comfreyforward: the generation was stopped to be moved")

// awaitStopped reports whether a stream may have ended because its generation was
// stopped at the source, which the end of its connection does not tell.
func (g *Gateway) awaitStopped(ctx context.Context, n *generation) bool {
	g.mu.Lock()
	s := n.stop
	g.mu.Unlock()
	return g.awaitStopCall(ctx, s)
}

// awaitStopCall waits until a call that stops a generation, which may be nil, has
// returned, and reports whether the generation may have been stopped.
func (g *Gateway) awaitStopCall(ctx context.Context, s *stopCall) bool {
	if s == nil {
		return false
	}
	select {
	case <-s.returned:
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return s.mayHaveStopped
}
