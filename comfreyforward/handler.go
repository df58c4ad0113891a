package comfreyforward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"comfreyridge.example/comfreyridge/comfreycall"
	"comfreyridge.example/comfreyridge/comfreyconnection"
	"comfreyridge.example/comfreyridge/comfreydecision"
	"comfreyridge.example/comfreyridge/comfreyroute"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

const (
	// defaultBodySize bounds a request's body if the configuration does not.
	defaultBodySize = 4 << 20
	// defaultBudget is how long a caller waits that does not say.
	defaultBudget = 60 * time.Second
	// staleTime is how old the last contact with the store may be for the
	// gateway to deny a request for good.
	staleTime = 4 * time.Second
	// startingRetry is when callers return that met a gateway without a
	// configuration; a first listing takes a fraction of a second.
	startingRetry = 500 * time.Millisecond
)

// exchange is one caller's request on its way.
type exchange struct {
	w        http.ResponseWriter
	r        *http.Request
	body     []byte
	call     comfreycall.Request
	table    *comfreyroute.Table
	route    comfreyroute.Route
	service  comfreyroute.Service
	customer comfreyroute.Customer
	started  time.Time
	// deadline is when the caller must have an answer.
	deadline time.Time
	// sent counts the attempts that may have arrived at a replica and were not
	// refused as not run.
	sent int
	// offered counts all attempts that reached a replica.
	offered int
	// replica is the one that was offered the request last.
	replica string
	tried   map[string]bool
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{w: w, r: r, started: g.config.Now(), call: g.config.Protocol.ParseRequestHeaders(r.Header), tried: map[string]bool{}}
	if g.isStopping.Load() {
		w.Header().Set("Connection", "close")
	}
	if !g.resolve(x) {
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), x.deadline)
	defer cancel()
	if x.route.Kind == comfreyroute.KindStreaming {
		g.forwardStream(ctx, x)
		return
	}
	g.forwardPlain(ctx, x)
}

// resolve finds the route, the customer and the service of a request, and
// reads its body. It reports false if it has answered the request.
func (g *Gateway) resolve(x *exchange) bool {
	x.table = g.table.Load()
	if x.table == nil {
		g.refuse(x, comfreyverdict.ReasonNoConfiguration, startingRetry)
		return false
	}
	path, _, _ := strings.Cut(x.r.RequestURI, "?")
	route, ok := x.table.Match(x.r.Host, path)
	if !ok {
		g.deny(x, http.StatusNotFound, comfreyverdict.ReasonUnknownService)
		return false
	}
	x.route = route
	if x.table.RequiresKey(route) {
		x.customer, ok = x.table.Customer(x.call.Key)
		if !ok {
			g.deny(x, http.StatusUnauthorized, comfreyverdict.ReasonUnauthorized)
			return false
		}
	} else if c, known := x.table.Customer(x.call.Key); known {
		x.customer = c
	}
	name, ok := route.Select(g.config.Rand())
	if !ok {
		g.refuse(x, comfreyverdict.ReasonNoUpstream, time.Second)
		return false
	}
	if x.service, ok = x.table.Service(name); !ok {
		x.service = comfreyroute.Service{Name: name}
	}
	budget := defaultBudget
	if x.call.HasTimeout {
		budget = x.call.Timeout
	}
	if route.Timeout > 0 {
		budget = min(budget, route.Timeout)
	}
	x.deadline = x.started.Add(budget)
	return g.readBody(x)
}

// readBody reads the whole request, so that it can be offered again.
func (g *Gateway) readBody(x *exchange) bool {
	limit := int64(x.table.Limits().BodySizeBytes)
	if limit <= 0 {
		limit = defaultBodySize
	}
	b, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, limit))
	if err == nil {
		x.body = b
		return true
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		g.answer(x, http.StatusRequestEntityTooLarge, comfreyverdict.NotRun(comfreyverdict.ReasonBodyTooLarge, ""))
		return false
	}
	x.w.Header().Set("Connection", "close")
	g.answer(x, http.StatusBadRequest, comfreyverdict.NotRun(comfreyverdict.ReasonBadRequest, "the body ended early"))
	return false
}

// request returns the request for one attempt at a replica.
func (g *Gateway) request(x *exchange, a comfreycall.Attempt) comfreyconnection.Request {
	h := forwardable(x.r.Header)
	a.Customer = x.customer.Name
	if x.call.HasTimeout || x.route.Timeout > 0 {
		a.HasTimeout, a.Timeout = true, x.deadline.Sub(g.config.Now())
	}
	g.config.Protocol.SetAttemptHeaders(h, a)
	return comfreyconnection.Request{
		Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host, Header: h, Body: x.body,
		IDHeader: g.config.Protocol.IDHeader,
	}
}

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// forwardable returns a copy of headers without those of one connection.
func forwardable(h http.Header) http.Header {
	c := h.Clone()
	for _, v := range h["Connection"] {
		for _, f := range strings.Split(v, ",") {
			c.Del(strings.TrimSpace(f))
		}
	}
	for _, n := range hopHeaders {
		c.Del(n)
	}
	return c
}

// deny ends a request that the configuration does not allow. A gateway that
// has not heard from the platform for a while may lack a new route or key, so
// it sends the caller elsewhere instead.
func (g *Gateway) deny(x *exchange, status int, reason comfreyverdict.Reason) {
	if age, ok := g.StoreAge(); !ok || age > staleTime {
		g.refuse(x, comfreyverdict.ReasonConfigStale, startingRetry)
		return
	}
	g.answer(x, status, comfreyverdict.NotRun(reason, ""))
}

// refuse ends a request that has not run and will not run, and tells the
// caller when to return.
func (g *Gateway) refuse(x *exchange, reason comfreyverdict.Reason, after time.Duration) {
	g.answer(x, http.StatusServiceUnavailable, comfreyverdict.NotRun(reason, "").WithRetryAfter(after))
}

// fail ends a request that may have run.
func (g *Gateway) fail(x *exchange, status int, reason comfreyverdict.Reason, cause error) {
	e := comfreyverdict.MayHaveRun(reason, "")
	if cause != nil {
		e.Detail = cause.Error()
	}
	g.answer(x, status, e)
}

// answer sends a final answer of the gateway's own.
func (g *Gateway) answer(x *exchange, status int, e comfreyverdict.Error) {
	f := x.figures(g.config.Now())
	f["status"], f["verdict"] = status, e.Verdict.String()
	if age, ok := g.StoreAge(); ok {
		f["store-age-ms"] = age.Milliseconds()
	}
	if e.Detail != "" {
		f["detail"] = e.Detail
	}
	h := x.w.Header()
	h.Set(g.config.Protocol.IDHeader, x.call.ID)
	h.Set("Content-Type", "application/json")
	if e.RetryAfter > 0 {
		h.Set("Retry-After", g.config.Protocol.RetryAfter(e.RetryAfter))
		f["retry-after"] = e.RetryAfter.String()
	}
	g.record(x.call.ID, comfreydecision.KindRefuse, e.Reason, f)
	g.observe(x, status)
	x.w.WriteHeader(status)
	// A caller that left does not read the answer.
	_, _ = io.WriteString(x.w, `{"verdict":"`+e.Verdict.String()+`","reason":"`+string(e.Reason)+`"}`)
}

// figures returns what every decision on a request is logged with.
func (x *exchange) figures(now time.Time) map[string]any {
	f := map[string]any{"after-ms": now.Sub(x.started).Milliseconds(), "sent": x.sent, "offered": x.offered}
	if x.table != nil {
		f["route"], f["version"] = x.route.Name, x.table.Version()
	}
	if x.replica != "" {
		f["replica"] = x.replica
	}
	return f
}

// copyHead copies the head of a replica's answer to the caller.
func (g *Gateway) copyHead(x *exchange, a *comfreyconnection.Response) {
	h := forwardable(a.Header)
	g.config.Protocol.RemoveInternalHeaders(h)
	out := x.w.Header()
	isStopping := out.Get("Connection") != ""
	for n, v := range h {
		out[n] = v
	}
	if isStopping {
		out.Set("Connection", "close")
	}
}
