package comfreygateway

import (
	"context"
	"net/http"
	"strings"

	"github.com/go-chi/chi/v5"

	"comfreyridge.example/comfreyridge/comfreyconfig"
	"comfreyridge.example/comfreyridge/comfreydecision"
	"comfreyridge.example/comfreyridge/comfreyfleet"
	"comfreyridge.example/comfreyridge/comfreyproto"
	"comfreyridge.example/comfreyridge/comfreyrouter"
	"comfreyridge.example/comfreyridge/comfreyrpc"
	"comfreyridge.example/comfreyridge/comfreystream"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// plainRequest is a caller's request to a plain service.
type plainRequest struct {
	id       string
	customer comfreyconfig.Customer
	service  comfreyconfig.Service
	route    comfreyconfig.Route
	method   string
	path     string
	headers  []*comfreyproto.Header
	body     []byte
	// idempotent means that executing the request twice does no harm.
	idempotent bool
}

// servePlain serves every path of a plain service except for its orders.
func (g *Gateway) servePlain(w http.ResponseWriter, r *http.Request) {
	g.handlePlain(w, r, func(ctx context.Context, q plainRequest) error {
		reply, err := g.forward(ctx, q)
		if err != nil {
			return err
		}
		writeUpstreamResponse(w, reply.Status, reply.Headers, reply.Body)
		return nil
	})
}

// handlePlain authenticates and reads a request to a plain service, tracks it
// until it ends, and writes a refusal if serve returns an error.
func (g *Gateway) handlePlain(w http.ResponseWriter, r *http.Request, serve func(ctx context.Context, q plainRequest) error) {
	id := newRequestID()
	w.Header().Set(HeaderRequestID, id)
	q, err := g.parsePlain(w, r, id)
	if err != nil {
		g.refuse(w, id, err)
		return
	}
	release, err := g.limits.acquire(q.customer)
	if err != nil {
		g.refuse(w, id, err)
		return
	}
	defer release()
	deadline, err := g.deadline(r, q.service)
	if err != nil {
		g.refuse(w, id, err)
		return
	}
	ctx, cancel := g.requestContext(r.Context(), deadline)
	defer cancel()
	g.requestTracker.Accept(id, deadline)
	if err := serve(ctx, q); err != nil {
		g.requestTracker.End(id, comfreystream.OutcomeFailed)
		g.refuse(w, id, err)
		return
	}
	g.requestTracker.End(id, comfreystream.OutcomeEnded)
	g.recorder.Record(id, comfreydecision.KindFinish, comfreyverdict.ReasonAccepted, map[string]any{"customer": q.customer.Name, "service": q.service.Name, "method": q.method})
}

func (g *Gateway) parsePlain(w http.ResponseWriter, r *http.Request, id string) (plainRequest, error) {
	q := plainRequest{id: id, method: r.Method}
	c, err := g.authenticate(r)
	if err != nil {
		return q, err
	}
	route, ok := g.config.Settings().Route(c.Name, chi.URLParam(r, "service"), r.URL.Path)
	if !ok || route.Service.Kind != comfreyconfig.ServiceKindPlain {
		return q, comfreyverdict.NotRun(comfreyverdict.ReasonUnknownService, "no plain service "+chi.URLParam(r, "service"))
	}
	b, err := readBody(w, r, route.Service.MaxBodyBytes)
	if err != nil {
		return q, err
	}
	q.customer, q.service, q.route, q.body = c, route.Service, route, b
	q.path = upstreamPath(r)
	q.headers = comfreyrpc.HeadersOf(r.Header)
	q.idempotent = r.Method == http.MethodGet || r.Method == http.MethodHead || route.Service.Idempotent
	return q, nil
}

// upstreamPath returns the path and query that follow the name of the service.
func upstreamPath(r *http.Request) string {
	_, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), "/v1/services/"), "/")
	if r.URL.RawQuery != "" {
		rest += "?" + r.URL.RawQuery
	}
	return "/" + rest
}

func writeUpstreamResponse(w http.ResponseWriter, status uint32, headers []*comfreyproto.Header, body []byte) {
	for _, h := range headers {
		w.Header().Add(h.Name, h.Value)
	}
	w.Header().Set(HeaderVerdict, comfreyverdict.VerdictRan.String())
	w.WriteHeader(int(status))
	_, _ = w.Write(body)
}

// forward sends a request to upstreams until one has responded. A request that
// is not idempotent goes to another upstream only if it did not run.
func (g *Gateway) forward(ctx context.Context, q plainRequest) (*comfreyproto.ForwardReply, error) {
	var reply *comfreyproto.ForwardReply
	err := g.tryUpstreams(ctx, q, func(m comfreyfleet.Member) error {
		var err error
		reply, err = g.client.Sidecar(m.Address).Forward(ctx, &comfreyproto.ForwardRequest{
			RequestId:     q.id,
			Customer:      q.customer.Name,
			Service:       q.service.Name,
			Method:        q.method,
			Path:          q.path,
			Headers:       q.headers,
			Body:          q.body,
			TimeoutMillis: remainingMillis(ctx, g.config.Now()),
			Listed:        g.fleet.listedState(m.Host),
			Digest:        g.config.Digest(),
		})
		if err != nil {
			return callError(err)
		}
		g.fleet.observe(m.Host, reply.Load)
		if reply.Outcome != nil {
			return comfreyrpc.ErrorOf(reply.Outcome)
		}
		return nil
	})
	return reply, err
}

// tryUpstreams makes a call to one upstream after another until it succeeds or
// must not be retried. The verdict of an error covers every attempt.
func (g *Gateway) tryUpstreams(ctx context.Context, q plainRequest, call func(m comfreyfleet.Member) error) error {
	g.retrier(q.service).Budget().RecordRequest(g.config.Now())
	var excluded []string
	var a attemptErrors
	for attempt := 1; ; attempt++ {
		host, err := g.tryUpstream(q, excluded, attempt, call)
		if err == nil {
			return nil
		}
		e := comfreyverdict.From(err)
		a.add(e)
		if !g.awaitRetry(ctx, q.id, q.service, host, comfreyrouter.FailedAttempt{Attempts: attempt, Idempotent: q.idempotent, Err: e}) {
			return a.final()
		}
		excluded = append(excluded, host)
	}
}

// tryUpstream makes the call to one upstream and returns its host.
func (g *Gateway) tryUpstream(q plainRequest, excluded []string, attempt int, call func(m comfreyfleet.Member) error) (host string, err error) {
	c, err := g.fleet.router.Choose(g.config.Now(), comfreyrouter.Query{
		Service:         q.service.Name,
		DataCentres:     q.route.DataCentres,
		IsSpillDisabled: !q.route.Spill,
		ExcludedHosts:   excluded,
	})
	if err != nil {
		return "", err
	}
	g.recorder.Record(q.id, comfreydecision.KindRoute, c.Reason, routeFields(c, uint32(attempt-1)))
	err = call(comfreyfleet.Member{Host: c.Host, Address: c.Address})
	if err != nil && comfreyverdict.From(err).Reason == comfreyverdict.ReasonDialFailed {
		g.fleet.suspect(c.Host, comfreyfleet.EvidenceDialFailed)
	}
	return c.Host, err
}
