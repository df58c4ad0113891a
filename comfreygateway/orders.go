package comfreygateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"comfreyridge.example/comfreyridge/comfreyfleet"
	"comfreyridge.example/comfreyridge/comfreyorder"
	"comfreyridge.example/comfreyridge/comfreyproto"
	"comfreyridge.example/comfreyridge/comfreyrpc"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// HeaderOrderState tells how far an order has come.
const HeaderOrderState = "Comfrey-Order-State"

// orderBody is the JSON form of an order that has no outcome to show.
type orderBody struct {
	Ticket           string `json:"ticket"`
	State            string `json:"state"`
	Verdict          string `json:"verdict"`
	Reason           string `json:"reason,omitempty"`
	ExpiresInSeconds int    `json:"expires-in-seconds,omitempty"`
}

// serveMint answers POST /v1/services/{service}/orders: it creates an order
// that has not begun, and returns its ticket.
func (g *Gateway) serveMint(w http.ResponseWriter, r *http.Request) {
	g.withPlain(w, r, func(ctx context.Context, q plainRequest) error {
		reply, err := g.mint(ctx, q)
		if err != nil {
			return err
		}
		w.Header().Set("Location", r.URL.Path+"/"+reply.Ticket)
		writeOrder(w, http.StatusCreated, reply)
		return nil
	})
}

func (g *Gateway) mint(ctx context.Context, q plainRequest) (*comfreyproto.OrderReply, error) {
	// Minting runs nothing, so that it may be tried anywhere.
	q.safe = true
	var reply *comfreyproto.OrderReply
	err := g.offer(ctx, q, func(m comfreyfleet.Member) error {
		var err error
		reply, err = g.client.Sidecar(m.Address).MintTicket(ctx, &comfreyproto.MintTicketRequest{
			RequestId: q.id,
			Customer:  q.customer.Name,
			Service:   q.service.Name,
			Listed:    g.fleet.listed(m.Host),
		})
		if err != nil {
			return callError(err)
		}
		if reply.Outcome != nil {
			return comfreyrpc.ErrorOf(reply.Outcome)
		}
		return nil
	})
	return reply, err
}

// servePutOrder answers PUT on a ticket: it runs the order at most once.
func (g *Gateway) servePutOrder(w http.ResponseWriter, r *http.Request) {
	g.withOrder(w, r, comfreyorder.OperationPut, func(ctx context.Context, q plainRequest, owner comfreyproto.Sidecar) (*comfreyproto.OrderReply, error) {
		return owner.PutOrder(ctx, &comfreyproto.PutOrderRequest{
			RequestId:     q.id,
			Customer:      q.customer.Name,
			Ticket:        chi.URLParam(r, "ticket"),
			Path:          "/orders",
			Headers:       q.headers,
			Body:          q.body,
			TimeoutMillis: remaining(ctx, g.config.Now()),
			Service:       q.service.Name,
		})
	})
}

// serveGetOrder answers GET on a ticket with the state of the order.
func (g *Gateway) serveGetOrder(w http.ResponseWriter, r *http.Request) {
	g.withOrder(w, r, comfreyorder.OperationState, func(ctx context.Context, q plainRequest, owner comfreyproto.Sidecar) (*comfreyproto.OrderReply, error) {
		return owner.GetOrder(ctx, orderRequest(r, q))
	})
}

// serveVoidOrder answers DELETE on a ticket: an order that has not begun never
// will.
func (g *Gateway) serveVoidOrder(w http.ResponseWriter, r *http.Request) {
	g.withOrder(w, r, comfreyorder.OperationVoid, func(ctx context.Context, q plainRequest, owner comfreyproto.Sidecar) (*comfreyproto.OrderReply, error) {
		return owner.VoidOrder(ctx, orderRequest(r, q))
	})
}

func orderRequest(r *http.Request, q plainRequest) *comfreyproto.OrderRequest {
	return &comfreyproto.OrderRequest{RequestId: q.id, Customer: q.customer.Name, Ticket: chi.URLParam(r, "ticket"), Service: q.service.Name}
}

// withOrder calls the only possible owner of a ticket and writes its reply.
func (g *Gateway) withOrder(w http.ResponseWriter, r *http.Request, p comfreyorder.Operation, f func(ctx context.Context, q plainRequest, owner comfreyproto.Sidecar) (*comfreyproto.OrderReply, error)) {
	g.withPlain(w, r, func(ctx context.Context, q plainRequest) error {
		m, err := g.owner(chi.URLParam(r, "ticket"))
		if err != nil {
			return err
		}
		reply, err := f(ctx, q, g.client.Sidecar(m.Address))
		if err != nil {
			return unreachableOwner(ctx, p, err)
		}
		return writeOrderReply(w, reply)
	})
}

// owner returns the host that a ticket names. The verdict of its error speaks
// of the order, about which this gateway knows nothing.
func (g *Gateway) owner(ticket string) (comfreyfleet.Member, error) {
	t, err := comfreyorder.ParseTicket(ticket, g.config.Key)
	if err != nil {
		return comfreyfleet.Member{}, comfreyorder.InvalidTicketError(err)
	}
	m, ok := g.fleet.find(t.OwnerHost)
	if !ok {
		return comfreyfleet.Member{}, comfreyverdict.MayHaveRun(comfreyverdict.ReasonTicketOwnerGone, "the host that holds the order is not listed")
	}
	return m, nil
}

// ownerRetry is when a caller may ask again for an order whose owner did not
// answer. Repeating a PUT is safe at any time.
const ownerRetry = 2 * time.Second

// unreachableOwner is the verdict on an order whose owner did not answer.
func unreachableOwner(ctx context.Context, p comfreyorder.Operation, err error) comfreyverdict.Error {
	r := callError(err).Reason
	if ctx.Err() != nil {
		r = comfreyverdict.ReasonDeadline
	}
	e := comfreyorder.NoResponseError(p, r)
	e.Detail += ": " + callError(err).Detail
	return e.WithRetryAfter(ownerRetry)
}

// writeOrderReply writes the outcome of a completed order as the upstream gave
// it, the state of an order without one, or returns the refusal.
func writeOrderReply(w http.ResponseWriter, reply *comfreyproto.OrderReply) error {
	w.Header().Set(HeaderOrderState, reply.State)
	e := comfreyrpc.ErrorOf(reply.Outcome)
	switch {
	case reply.State == comfreyorder.StateCompleted.String() && reply.Status > 0:
		writeAnswer(w, reply.Status, reply.Headers, reply.Body)
		return nil
	case reply.State == comfreyorder.StateCompleted.String() || reply.State == comfreyorder.StateUnknown.String():
		return e
	default:
		writeOrder(w, http.StatusOK, reply)
		return nil
	}
}

func writeOrder(w http.ResponseWriter, status int, reply *comfreyproto.OrderReply) {
	e := comfreyverdict.NotRun(comfreyverdict.ReasonAccepted, "")
	if reply.Outcome != nil {
		e = comfreyrpc.ErrorOf(reply.Outcome)
	}
	b := orderBody{
		Ticket:           reply.Ticket,
		State:            reply.State,
		Verdict:          e.Verdict.String(),
		Reason:           string(e.Reason),
		ExpiresInSeconds: int(comfreyrpc.Duration(reply.ExpiresMillis) / time.Second),
	}
	w.Header().Set(HeaderOrderState, reply.State)
	w.Header().Set(HeaderVerdict, e.Verdict.String())
	writeJSON(w, status, b)
}

// callError returns the verdict on a unary call that failed. The client says
// not-run if no connection was made.
func callError(err error) comfreyverdict.Error {
	var e comfreyverdict.Error
	if errors.As(err, &e) {
		return e
	}
	return comfreyverdict.MayHaveRun(comfreyverdict.ReasonConnectionLost, err.Error())
}

// remaining returns the milliseconds until ctx ends.
func remaining(ctx context.Context, now time.Time) uint64 {
	d, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return comfreyrpc.Millis(d.Sub(now))
}
