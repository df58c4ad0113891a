package comfreyforward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"comfreyridge.example/comfreyridge/comfreycall"
	"comfreyridge.example/comfreyridge/comfreyconnection"
	"comfreyridge.example/comfreyridge/comfreydecision"
	"comfreyridge.example/comfreyridge/comfreygroup"
	"comfreyridge.example/comfreyridge/comfreylength"
	"comfreyridge.example/comfreyridge/comfreyplacement"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

const (
	// maxContinuations bounds how often one generation changes its replica, so
	// that a fault cannot send it around for ever; one of 25 s meets eight
	// departures.
	maxContinuations = 50
	// writeTimeout is how long a caller may take to read one event.
	writeTimeout = 5 * time.Second
)

// curve returns the length distribution of a generation's class. The mutex
// must be held.
func (g *Gateway) curve(n *generation) *comfreylength.Distribution {
	return g.lengths.Distribution(comfreylength.Key{Service: n.service.Name, Class: n.class})
}

// forwardStream forwards a request that is answered by a stream of events.
func (g *Gateway) forwardStream(ctx context.Context, x *exchange) {
	n := &generation{
		request: x.call.ID, service: x.service, class: x.route.Name,
		promptTokens: x.call.PromptTokens, maxTokens: x.call.MaxTokens,
	}
	g.retryBudget(x.service.Name).RecordRequest(x.started)
	g.track(n)
	isComplete := false
	defer func() { g.untrack(n, isComplete) }()
	a, e := g.beginStream(ctx, x, n)
	if e != nil {
		g.giveUpStream(ctx, x, e)
		return
	}
	isComplete = g.relayStream(ctx, x, n, a)
}

// giveUpStream sends the final answer to a stream that has not begun.
func (g *Gateway) giveUpStream(ctx context.Context, x *exchange, e *attemptError) {
	if x.sent == 0 && ctx.Err() == nil {
		g.mu.Lock()
		after := g.line(x.service.Name).RetryAfter()
		g.mu.Unlock()
		g.refuse(x, e.reason, after)
		return
	}
	g.giveUp(ctx, x, e)
}

// beginStream finds a replica for a generation and returns the head of its
// answer.
func (g *Gateway) beginStream(ctx context.Context, x *exchange, n *generation) (*comfreyconnection.Response, *attemptError) {
	var last *attemptError
	for {
		c, e := g.waitForPlace(ctx, x, n)
		if e != nil {
			if last != nil {
				return nil, last
			}
			return nil, e
		}
		t := attempt(c.Candidate, nil)
		t.Reservation = c.reservation
		a, _, e := g.send(ctx, x, c.Candidate, t)
		if e == nil {
			return a, nil
		}
		last = e
		if !g.mayRetry(ctx, x, e) {
			return nil, last
		}
	}
}

// priority returns the rank of a request; that of the customer goes before that
// of the route.
func (x *exchange) priority() int {
	if x.customer.HasPriority {
		return x.customer.Priority
	}
	return x.route.Priority
}

// attempt returns what a replica is told about a generation. It sends no
// priority: an engine would interrupt running generations for a more urgent one.
func attempt(c comfreyplacement.Candidate, next *continuation) comfreycall.Attempt {
	t := comfreycall.Attempt{Replica: c.ID}
	if next != nil {
		t.Continue = &next.Continuation
	}
	return t
}

// relayStream passes the events of a generation on, wherever it goes on. It
// reports whether the caller received the whole answer.
func (g *Gateway) relayStream(ctx context.Context, x *exchange, n *generation, a *comfreyconnection.Response) bool {
	o := &output{g: g, x: x, n: n, controller: http.NewResponseController(x.w)}
	for range maxContinuations {
		err := o.relay(a)
		a.Close()
		if err == nil {
			g.finishStream(x, n, o, comfreyverdict.ReasonAccepted, nil)
			return true
		}
		if ctx.Err() != nil || o.isBroken {
			g.endEarly(ctx, x, n, o, err)
			return false
		}
		next := g.goesOn(n)
		if next == nil {
			g.noteOutcome(n.replica.ID, true)
			g.endEarly(ctx, x, n, o, err)
			return false
		}
		var e *attemptError
		a, _, e = g.send(ctx, x, next.candidate, attempt(next.candidate, next))
		if e == nil && a.Status >= 300 {
			a.Close()
			e = &attemptError{reason: comfreyverdict.ReasonEngineRefused}
		}
		f := map[string]any{"replica": next.candidate.ID, "from": next.Source, "handle": next.Handle, "last-event": next.LastEvent, "copy-age-ms": g.config.Now().Sub(next.made).Milliseconds()}
		if e != nil {
			f["error"] = e.Error()
			g.record(n.request, comfreydecision.KindResume, e.reason, f)
			g.endEarly(ctx, x, n, o, e)
			return false
		}
		g.record(n.request, comfreydecision.KindResume, comfreyverdict.ReasonAccepted, f)
		g.config.Group.Go("move", func(ctx context.Context) error {
			// The destination may have begun to leave during the move.
			if comfreygroup.Sleep(ctx, copyRetry) {
				g.moveRest(next.candidate.ID)
			}
			return nil
		})
	}
	g.endEarly(ctx, x, n, o, errors.New("comfreyforward: too many continuations"))
	return false
}

// endEarly ends a stream that is not complete.
func (g *Gateway) endEarly(ctx context.Context, x *exchange, n *generation, o *output, err error) {
	reason := comfreyverdict.ReasonAnswerCut
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		reason = comfreyverdict.ReasonDeadline
	case ctx.Err() != nil || o.isBroken:
		reason = comfreyverdict.ReasonCallerGone
	}
	if !o.hasBegun && !o.isBroken && !errors.Is(ctx.Err(), context.Canceled) {
		status := http.StatusBadGateway
		if reason == comfreyverdict.ReasonDeadline {
			status = http.StatusGatewayTimeout
		}
		g.fail(x, status, reason, err)
		return
	}
	g.finishStream(x, n, o, reason, err)
	panic(http.ErrAbortHandler)
}

func (g *Gateway) finishStream(x *exchange, n *generation, o *output, reason comfreyverdict.Reason, err error) {
	f := x.figures(g.config.Now())
	f["replica"], f["events"] = n.replica.ID, n.events
	f["moves"] = n.moves
	if !o.first.IsZero() {
		f["first-ms"], f["longest-pause-ms"], f["pause-event"] = o.first.Sub(x.started).Milliseconds(), o.pause.Milliseconds(), o.pauseEvent
		g.metrics.firstEvent.Observe(o.first.Sub(x.started).Seconds())
		g.metrics.pause.Observe(o.pause.Seconds())
	}
	if err != nil {
		f["error"] = err.Error()
	}
	g.record(n.request, comfreydecision.KindFinish, reason, f)
	if reason == comfreyverdict.ReasonAccepted {
		g.observe(x, http.StatusOK)
	}
}

// output writes the events of a generation to its caller.
type output struct {
	g          *Gateway
	x          *exchange
	n          *generation
	controller *http.ResponseController
	hasBegun   bool
	// isBroken means that the caller cannot be written to.
	isBroken bool
	// first and latest are when the first and the latest event were passed on.
	first, latest time.Time
	// pause is the longest time between two events, and pauseEvent the number
	// of the event that ended it.
	pause      time.Duration
	pauseEvent int
}

// noteTime takes the time at which an event was passed on.
func (o *output) noteTime(now time.Time) {
	switch d := now.Sub(o.latest); {
	case o.first.IsZero():
		o.first = now
	case d > o.pause:
		o.pause, o.pauseEvent = d, o.n.events
	}
	o.latest = now
}

// relay passes on the events of one answer. It returns nil if the answer is
// complete.
func (o *output) relay(a *comfreyconnection.Response) error {
	e := newEventReader(a.Body)
	for {
		b, err := e.next()
		isEnd := errors.Is(err, io.EOF)
		if err != nil && !isEnd {
			return err
		}
		if !o.hasBegun {
			o.begin(a)
		}
		if len(b) > 0 {
			if err := o.write(b, isEnd || !e.hasMore()); err != nil {
				return err
			}
		}
		if isEnd {
			return nil
		}
		o.g.noteEvent(o.n, e.id)
		o.noteTime(o.g.config.Now())
	}
}

// begin sends the head of the answer to the caller.
func (o *output) begin(a *comfreyconnection.Response) {
	o.hasBegun = true
	o.g.copyHead(o.x, a)
	o.x.w.Header().Del("Content-Length")
	o.x.w.WriteHeader(a.Status)
}

// write sends bytes to the caller, at once if nothing more is at hand.
func (o *output) write(b []byte, isLast bool) error {
	// A connection that takes no deadline is written to without one.
	_ = o.controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := o.x.w.Write(b)
	if err == nil && isLast {
		err = o.controller.Flush()
	}
	o.isBroken = err != nil
	return err
}
