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

// HeaderOrderState is the response header that holds the state of an order.
const HeaderOrderState = "Comfrey-Order-State"

// orderBody is the JSON response for an order without an upstream response.
type orderBody struct {
	Ticket           string `json:"ticket"`
	State            string `json:"state"`
	Verdict          string `json:"verdict"`
	Reason           string `json:"reason,omitempty"`
	ExpiresInSeconds int    `json:"expires-in-seconds,omitempty"`
}

// serveMint serves POST /v1/services/{service}/orders: it mints a ticket for an
// order that has not begun.
func (g *Gateway) serveMint(w http.ResponseWriter, r *http.Request) {
	g.handlePlain(w, r, func(ctx context.Context, q plainRequest) error {
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
	// Minting executes nothing, so it may be retried at any upstream.
	q.idempotent = true
	var reply *comfreyproto.OrderReply
	err := g.tryUpstreams(ctx, q, func(m comfreyfleet.Member) error {
		var err error
		reply, err = g.client.Sidecar(m.Address).MintTicket(ctx, &comfreyproto.MintTicketRequest{
			RequestId: q.id,
			Customer:  q.customer.Name,
			Service:   q.service.Name,
			Listed:    g.fleet.listedState(m.Host),
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

// servePutOrder serves PUT on a ticket: it executes the order at most once.
func (g *Gateway) servePutOrder(w http.ResponseWriter, r *http.Request) {
	g.handleOrder(w, r, comfreyorder.OperationPut, func(ctx context.Context, q plainRequest, owner comfreyproto.Sidecar) (*comfreyproto.OrderReply, error) {
		return owner.PutOrder(ctx, &comfreyproto.PutOrderRequest{
			RequestId:     q.id,
			Customer:      q.customer.Name,
			Ticket:        chi.URLParam(r, "ticket"),
			Path:          "/orders",
			Headers:       q.headers,
			Body:          q.body,
			TimeoutMillis: remainingMillis(ctx, g.config.Now()),
			Service:       q.service.Name,
		})
	})
}

// serveGetOrder serves GET on a ticket: it returns the state of the order.
func (g *Gateway) serveGetOrder(w http.ResponseWriter, r *http.Request) {
	g.handleOrder(w, r, comfreyorder.OperationState, func(ctx context.Context, q plainRequest, owner comfreyproto.Sidecar) (*comfreyproto.OrderReply, error) {
		return owner.GetOrder(ctx, orderRequest(r, q))
	})
}

// serveVoidOrder serves DELETE on a ticket: an order that has not begun will
// never begin.
func (g *Gateway) serveVoidOrder(w http.ResponseWriter, r *http.Request) {
	g.handleOrder(w, r, comfreyorder.OperationVoid, func(ctx context.Context, q plainRequest, owner comfreyproto.Sidecar) (*comfreyproto.OrderReply, error) {
		return owner.VoidOrder(ctx, orderRequest(r, q))
	})
}

func orderRequest(r *http.Request, q plainRequest) *comfreyproto.OrderRequest {
	return &comfreyproto.OrderRequest{RequestId: q.id, Customer: q.customer.Name, Ticket: chi.URLParam(r, "ticket"), Service: q.service.Name}
}

// handleOrder calls the owner of a ticket and writes its reply. No other host
// has the order, so the call is not retried elsewhere.
func (g *Gateway) handleOrder(w http.ResponseWriter, r *http.Request, p comfreyorder.Operation, call func(ctx context.Context, q plainRequest, owner comfreyproto.Sidecar) (*comfreyproto.OrderReply, error)) {
	g.handlePlain(w, r, func(ctx context.Context, q plainRequest) error {
		m, err := g.owner(chi.URLParam(r, "ticket"))
		if err != nil {
			return err
		}
		reply, err := call(ctx, q, g.client.Sidecar(m.Address))
		if err != nil {
			return ownerCallError(ctx, p, err)
		}
		return writeOrderReply(w, reply)
	})
}

// owner returns the host that owns a ticket. The verdict of its error is
// may-have-run: it refers to the order, whose state this gateway does not know.
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

// ownerRetryAfter is the retry-after for an order whose owner did not respond.
// Repeating a PUT is safe at any time.
const ownerRetryAfter = 2 * time.Second

// ownerCallError returns the error for an order whose owner did not respond.
func ownerCallError(ctx context.Context, p comfreyorder.Operation, err error) comfreyverdict.Error {
	r := callError(err).Reason
	if ctx.Err() != nil {
		r = comfreyverdict.ReasonDeadline
	}
	e := comfreyorder.NoResponseError(p, r)
	e.Detail += ": " + callError(err).Detail
	return e.WithRetryAfter(ownerRetryAfter)
}

// writeOrderReply writes the response of the upstream if the order has
// completed and there is one. It returns the outcome as an error if the order
// completed without a response or is unknown. Otherwise it writes the state of
// the order.
func writeOrderReply(w http.ResponseWriter, reply *comfreyproto.OrderReply) error {
	w.Header().Set(HeaderOrderState, reply.State)
	e := comfreyrpc.ErrorOf(reply.Outcome)
	switch {
	case reply.State == comfreyorder.StateCompleted.String() && reply.Status > 0:
		writeUpstreamResponse(w, reply.Status, reply.Headers, reply.Body)
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

// callError returns the verdict of a failed unary call. The client reports
// not-run if no connection was made.
func callError(err error) comfreyverdict.Error {
	var e comfreyverdict.Error
	if errors.As(err, &e) {
		return e
	}
	return comfreyverdict.MayHaveRun(comfreyverdict.ReasonConnectionLost, err.Error())
}

// remainingMillis returns the time until the deadline of ctx in milliseconds, 0
// if it has none.
func remainingMillis(ctx context.Context, now time.Time) uint64 {
	d, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return comfreyrpc.Millis(d.Sub(now))
}
