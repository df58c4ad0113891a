package comfreysidecar

import (
	"context"
	"fmt"
	"sync"
	"time"

	"comfreyridge.example/comfreyridge/comfreydecision"
	"comfreyridge.example/comfreyridge/comfreyorder"
	"comfreyridge.example/comfreyridge/comfreyproto"
	"comfreyridge.example/comfreyridge/comfreyrpc"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// orders synchronizes access to the owner of this incarnation's tickets and
// notifies the calls that wait for an outcome. It is safe for concurrent use.
type orders struct {
	now func() time.Time

	mu      sync.Mutex
	owner   *comfreyorder.Owner
	changed chan struct{}
}

func newOrders(c comfreyorder.Config, now func() time.Time) *orders {
	return &orders{now: now, owner: comfreyorder.NewOwner(c), changed: make(chan struct{})}
}

// with calls f with the owner and the current time.
func (o *orders) with(f func(w *comfreyorder.Owner, now time.Time)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	f(o.owner, o.now())
}

// update calls f as with does, and then notifies all waiting calls.
func (o *orders) update(f func(w *comfreyorder.Owner, now time.Time)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	f(o.owner, o.now())
	close(o.changed)
	o.changed = make(chan struct{})
}

// begin asks the owner whether an order may run. It also returns a channel that
// is closed at the next update.
func (o *orders) begin(c comfreyorder.PresentedTicket, h comfreyorder.BodyHash) (comfreyorder.BeginResult, <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.owner.Begin(o.now(), c, h), o.changed
}

func (o *orders) leave() int {
	n := 0
	o.update(func(w *comfreyorder.Owner, now time.Time) { n = w.Leave(now) })
	return n
}

// running returns the number of orders that were forwarded and have no outcome
// yet.
func (o *orders) running() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.owner.Running()
}

// MintTicket implements the twirp service: it returns a new ticket.
func (s *Sidecar) MintTicket(_ context.Context, r *comfreyproto.MintTicketRequest) (*comfreyproto.OrderReply, error) {
	s.observeListedState(r.Listed)
	t, err := s.mint(r)
	if err != nil {
		return s.refuseOrder(r.RequestId, comfreyverdict.From(err)), nil
	}
	s.recorder.Record(r.RequestId, comfreydecision.KindOrder, comfreyverdict.ReasonAccepted, map[string]any{"state": comfreyorder.StateMinted, "customer": r.Customer, "order": orderID(t)})
	return &comfreyproto.OrderReply{
		Ticket:        t.Format(s.config.Key),
		State:         comfreyorder.StateMinted.String(),
		ExpiresMillis: comfreyrpc.Millis(t.Expiry.Sub(s.config.Now())),
	}, nil
}

func (s *Sidecar) mint(r *comfreyproto.MintTicketRequest) (t comfreyorder.Ticket, err error) {
	if _, err := s.checkService(r.Service, 0); err != nil {
		return t, err
	}
	if err := s.checkLifecycle(); err != nil {
		return t, err
	}
	s.orders.with(func(w *comfreyorder.Owner, now time.Time) {
		t, err = w.Mint(now, r.Customer, r.Service)
	})
	return t, err
}

// PutOrder implements the twirp service: it runs the order of a ticket at most
// once and returns the outcome.
func (s *Sidecar) PutOrder(ctx context.Context, r *comfreyproto.PutOrderRequest) (*comfreyproto.OrderReply, error) {
	c, err := s.presentTicket(r.Ticket, r.Customer, r.Service)
	if err != nil {
		return s.refuseOrder(r.RequestId, comfreyverdict.From(err)), nil
	}
	h := comfreyorder.HashBody(contentType(r.Headers), r.Body)
	for {
		a, changed := s.orders.begin(c, h)
		switch a.Decision {
		case comfreyorder.DecisionRun:
			s.executeOrder(ctx, c.Ticket, r)
		case comfreyorder.DecisionWait:
			select {
			case <-changed:
			case <-ctx.Done():
				return s.refuseOrder(r.RequestId, comfreyverdict.MayHaveRun(comfreyverdict.ReasonDeadline, "the order is still running")), nil
			}
		case comfreyorder.DecisionRecorded:
			return s.recordedOrder(r, c.Ticket, a.Outcome), nil
		default:
			return s.refuseOrder(r.RequestId, a.Err), nil
		}
	}
}

// presentTicket parses a ticket. The refusal of a forged ticket does not reveal
// whether an order with another ticket ran.
func (s *Sidecar) presentTicket(ticket, customer, service string) (comfreyorder.PresentedTicket, error) {
	t, err := comfreyorder.ParseTicket(ticket, s.config.Key)
	if err != nil {
		return comfreyorder.PresentedTicket{}, comfreyorder.InvalidTicketError(err)
	}
	return comfreyorder.PresentedTicket{Ticket: t, Customer: customer, Service: service}, nil
}

// executeOrder sends an order to the upstream and records its outcome. It
// continues when the caller disconnects, because the order has started.
func (s *Sidecar) executeOrder(ctx context.Context, t comfreyorder.Ticket, r *comfreyproto.PutOrderRequest) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.unaryTimeout(r.TimeoutMillis))
	defer cancel()
	if _, err := s.checkService(r.Service, len(r.Body)); err != nil {
		s.abandon(t, comfreyverdict.From(err).Reason)
		return
	}
	var err error
	s.orders.update(func(w *comfreyorder.Owner, now time.Time) { err = w.Confirm(now, t) })
	if err != nil {
		return
	}
	s.recorder.Record(r.RequestId, comfreydecision.KindOrder, comfreyverdict.ReasonAccepted, map[string]any{"state": comfreyorder.StateHandedOver, "customer": r.Customer, "order": orderID(t)})
	u := s.callOrder(ctx, t, r)
	s.orders.update(func(w *comfreyorder.Owner, now time.Time) { w.Complete(now, t, u) })
}

func (s *Sidecar) abandon(t comfreyorder.Ticket, reason comfreyverdict.Reason) {
	s.orders.update(func(w *comfreyorder.Owner, now time.Time) { w.Abandon(now, t, reason) })
}

// callOrder sends the order to the upstream once.
func (s *Sidecar) callOrder(ctx context.Context, t comfreyorder.Ticket, r *comfreyproto.PutOrderRequest) comfreyorder.Outcome {
	a, err := s.upstream.do(ctx, upstreamCall{
		requestID: orderID(t),
		method:    "POST",
		path:      r.Path,
		headers:   append(r.Headers, &comfreyproto.Header{Name: "X-Order-Id", Value: orderID(t)}),
		body:      r.Body,
	})
	if err != nil {
		e := comfreyverdict.From(err)
		s.recorder.Record(r.RequestId, comfreydecision.KindOrder, e.Reason, map[string]any{"verdict": e.Verdict, "detail": e.Detail, "customer": r.Customer, "order": orderID(t)})
		return comfreyorder.Outcome{Verdict: e.Verdict, Reason: e.Reason}
	}
	return comfreyorder.Outcome{
		Verdict:     comfreyverdict.VerdictRan,
		Status:      a.status,
		ContentType: a.headers.Get("Content-Type"),
		Body:        a.body,
	}
}

// GetOrder implements the twirp service: it returns the state of an order.
func (s *Sidecar) GetOrder(_ context.Context, r *comfreyproto.OrderRequest) (*comfreyproto.OrderReply, error) {
	return s.reportOrder(r, func(w *comfreyorder.Owner, now time.Time, c comfreyorder.PresentedTicket) (comfreyorder.StateReport, error) {
		return w.State(now, c)
	}), nil
}

// VoidOrder implements the twirp service: it voids an order that has not been
// forwarded.
func (s *Sidecar) VoidOrder(_ context.Context, r *comfreyproto.OrderRequest) (*comfreyproto.OrderReply, error) {
	return s.reportOrder(r, func(w *comfreyorder.Owner, now time.Time, c comfreyorder.PresentedTicket) (comfreyorder.StateReport, error) {
		return w.Void(now, c)
	}), nil
}

func (s *Sidecar) reportOrder(r *comfreyproto.OrderRequest, f func(*comfreyorder.Owner, time.Time, comfreyorder.PresentedTicket) (comfreyorder.StateReport, error)) *comfreyproto.OrderReply {
	c, err := s.presentTicket(r.Ticket, r.Customer, r.Service)
	var p comfreyorder.StateReport
	if err == nil {
		s.orders.update(func(w *comfreyorder.Owner, now time.Time) { p, err = f(w, now, c) })
	}
	if err != nil {
		return s.refuseOrder(r.RequestId, comfreyverdict.From(err))
	}
	reply := s.outcomeReply(r.Ticket, p.Outcome)
	reply.State = p.State.String()
	if p.State != comfreyorder.StateCompleted {
		reply.Outcome = comfreyrpc.OutcomeOf(comfreyverdict.Error{Verdict: p.Verdict, Reason: p.Reason})
	}
	return reply
}

// recordedOrder returns the reply to a PUT whose outcome is recorded.
func (s *Sidecar) recordedOrder(r *comfreyproto.PutOrderRequest, t comfreyorder.Ticket, u comfreyorder.Outcome) *comfreyproto.OrderReply {
	s.recorder.Record(r.RequestId, comfreydecision.KindOrder, comfreyverdict.ReasonAccepted, map[string]any{"state": comfreyorder.StateCompleted, "verdict": u.Verdict, "status": u.Status, "order": orderID(t)})
	return s.outcomeReply(r.Ticket, u)
}

func (s *Sidecar) outcomeReply(ticket string, u comfreyorder.Outcome) *comfreyproto.OrderReply {
	reply := &comfreyproto.OrderReply{
		Ticket: ticket,
		State:  comfreyorder.StateCompleted.String(),
		Status: uint32(u.Status),
		Body:   u.Body,
		Outcome: comfreyrpc.OutcomeOf(comfreyverdict.Error{
			Verdict: u.Verdict,
			Reason:  u.Reason,
		}),
	}
	if u.ContentType != "" {
		reply.Headers = []*comfreyproto.Header{{Name: "Content-Type", Value: u.ContentType}}
	}
	return reply
}

func (s *Sidecar) refuseOrder(requestID string, e comfreyverdict.Error) *comfreyproto.OrderReply {
	s.recorder.Record(requestID, comfreydecision.KindOrder, e.Reason, map[string]any{"verdict": e.Verdict, "detail": e.Detail})
	return &comfreyproto.OrderReply{State: comfreyorder.StateUnknown.String(), Outcome: comfreyrpc.OutcomeOf(e)}
}

// orderID returns the id of an order in logs and at the upstream. Unlike the
// ticket, it does not authorize anybody to act on the order.
func orderID(t comfreyorder.Ticket) string {
	return fmt.Sprintf("%s-%d-%x", t.OwnerHost, t.OwnerIncarnation, t.Nonce)
}

func contentType(headers []*comfreyproto.Header) string {
	for _, h := range headers {
		if h.Name == "Content-Type" {
			return h.Value
		}
	}
	return ""
}

// unaryTimeout returns the timeout of a request to the upstream: that of the
// caller, bounded by the deadline of the service.
func (s *Sidecar) unaryTimeout(millis uint64) time.Duration {
	d := comfreyrpc.Duration(millis)
	v, _ := s.config.service()
	if d <= 0 || d > v.Deadline {
		return v.Deadline
	}
	return d
}
