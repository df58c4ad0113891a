package comfreyforward

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"comfreyridge.example/comfreyridge/comfreycall"
	"comfreyridge.example/comfreyridge/comfreyconnection"
	"comfreyridge.example/comfreyridge/comfreydecision"
	"comfreyridge.example/comfreyridge/comfreyquarantine"
	"comfreyridge.example/comfreyridge/comfreyreplica"
	"comfreyridge.example/comfreyridge/comfreyroute"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

const (
	// defaultMaxBodyBytes bounds a request's body if the configuration does
	// not.
	defaultMaxBodyBytes = 4 << 20
	// defaultTimeout is the timeout of a request that sets none.
	defaultTimeout = 60 * time.Second
	// maxStoreAge is the store age up to which the gateway trusts its
	// configuration enough to deny a request. With an older one it asks the
	// caller to retry.
	maxStoreAge = 4 * time.Second
	// startupRetryAfter is the retry-after of requests that arrive before the
	// first configuration; a first listing takes a fraction of a second.
	startupRetryAfter = 500 * time.Millisecond
)

// exchange is one caller's request while it is being handled.
type exchange struct {
	w        http.ResponseWriter
	r        *http.Request
	body     []byte
	call     comfreycall.Request
	table    *comfreyroute.Table
	route    comfreyroute.Route
	service  comfreyroute.Service
	customer comfreyroute.Customer
	// homes are the regions in which the request may be served.
	homes   comfreyroute.Homes
	started time.Time
	// deadline is when the caller must have a response.
	deadline time.Time
	// sent counts the attempts that may have run: they may have reached a
	// replica, which did not refuse them as not run.
	sent int
	// offered counts all attempts, including those that were refused.
	offered int
	// tried holds the replicas that must not be chosen again.
	tried map[string]bool
	// generation is the one that the request runs; nil if its response is no stream.
	generation *generation
	// permit is for the next call to a replica with a rate limit, and permitRequests
	// counts how often permits were asked for.
	permit         comfreyreplica.Permit
	permitRequests int
	// isReturn means that the request was refused before, and that its caller has
	// returned. queuedAt is when it entered the queue, and queueTimeout how long it may
	// be there.
	isReturn     bool
	queuedAt     time.Time
	queueTimeout time.Duration
	// features are those that may make the request crash replicas, and execution is
	// the current attempt.
	features  []comfreyquarantine.Fingerprint
	execution comfreyquarantine.ExecutionID
	// cancel ends the request.
	cancel context.CancelCauseFunc
	// response tells whether the response of a replica has begun; see beginResponse.
	response atomic.Int32
	// replica is the one that received the latest attempt; nil if there is none.
	replica atomic.Pointer[string]
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{w: w, r: r, started: g.config.Now(), call: g.config.Protocol.ParseRequestHeaders(r.Header), tried: map[string]bool{}}
	g.open.add(x)
	defer g.open.remove(x)
	if !g.resolve(x) {
		return
	}
	x.features = featuresOf(x)
	if e := g.checkSuspect(x); e != nil {
		g.refuse(x, e.reason, e.retryAfter)
		return
	}
	defer g.abandonAttempt(x)
	ctx, stop := context.WithDeadline(r.Context(), x.deadline)
	defer stop()
	ctx, x.cancel = context.WithCancelCause(ctx)
	defer x.cancel(nil)
	x.response.Store(responsePending)
	defer context.AfterFunc(g.unanswered, x.endUnanswered)()
	if x.route.Kind == comfreyroute.KindStreaming {
		g.forwardStream(ctx, x)
		return
	}
	g.forwardUnary(ctx, x)
}

// resolve determines the route, customer and service of a request, and reads
// its body. It returns false if it has already responded to the request.
func (g *Gateway) resolve(x *exchange) bool {
	x.table = g.table.Load()
	if x.table == nil {
		g.refuse(x, comfreyverdict.ReasonNoConfiguration, startupRetryAfter)
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
	x.homes = route.Homes.With(x.customer.Homes)
	name, ok := route.Select(g.config.Rand())
	if !ok {
		g.refuse(x, comfreyverdict.ReasonNoUpstream, time.Second)
		return false
	}
	if x.service, ok = x.table.Service(name); !ok {
		x.service = comfreyroute.Service{Name: name}
	}
	timeout := defaultTimeout
	if x.call.HasTimeout {
		timeout = x.call.Timeout
	}
	if route.Timeout > 0 {
		timeout = min(timeout, route.Timeout)
	}
	x.deadline = x.started.Add(timeout)
	return g.readBody(x)
}

// readBody reads the complete body, so that it can be sent in several attempts.
// It returns false if it has already responded to the request.
func (g *Gateway) readBody(x *exchange) bool {
	limit := int64(x.table.Limits().BodySizeBytes)
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	b, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, limit))
	if err == nil {
		x.body = b
		return true
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		g.respond(x, http.StatusRequestEntityTooLarge, comfreyverdict.NotRun(comfreyverdict.ReasonBodyTooLarge, ""))
		return false
	}
	x.w.Header().Set("Connection", "close")
	g.respond(x, http.StatusBadRequest, comfreyverdict.NotRun(comfreyverdict.ReasonBadRequest, "request body truncated"))
	return false
}

// attemptRequest returns the request for one attempt at a replica.
func (g *Gateway) attemptRequest(x *exchange, a comfreycall.Attempt) comfreyconnection.Request {
	h := withoutHopByHopHeaders(x.r.Header)
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

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// withoutHopByHopHeaders returns a copy of headers without the hop-by-hop ones,
// including those that the Connection header lists.
func withoutHopByHopHeaders(h http.Header) http.Header {
	c := h.Clone()
	for _, v := range h["Connection"] {
		for _, f := range strings.Split(v, ",") {
			c.Del(strings.TrimSpace(f))
		}
	}
	for _, n := range hopByHopHeaders {
		c.Del(n)
	}
	return c
}

// deny responds to a request that the configuration does not allow. If the
// store age is too high, the gateway may lack a new route or key; it then
// refuses the request so that the caller retries, perhaps at another gateway.
func (g *Gateway) deny(x *exchange, status int, reason comfreyverdict.Reason) {
	if age, ok := g.StoreAge(); !ok || age > maxStoreAge {
		g.refuse(x, comfreyverdict.ReasonConfigStale, startupRetryAfter)
		return
	}
	g.respond(x, status, comfreyverdict.NotRun(reason, ""))
}

// refuse responds to a request that has not run and will not run, and sets the
// delay after which the caller should retry.
func (g *Gateway) refuse(x *exchange, reason comfreyverdict.Reason, after time.Duration) {
	g.respond(x, http.StatusServiceUnavailable, comfreyverdict.NotRun(reason, "").WithRetryAfter(after))
}

// fail responds to a request that may have run.
func (g *Gateway) fail(x *exchange, status int, reason comfreyverdict.Reason, cause error) {
	e := comfreyverdict.MayHaveRun(reason, "")
	if cause != nil {
		e.Detail = cause.Error()
	}
	g.respond(x, status, e)
}

// respond sends a final response that does not come from a replica.
func (g *Gateway) respond(x *exchange, status int, e comfreyverdict.Error) {
	f := x.logFields(g.config.Now())
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
	g.observeResponse(x, status)
	g.setConnection(x)
	x.w.WriteHeader(status)
	// The write fails only if the caller has disconnected.
	_, _ = io.WriteString(x.w, `{"verdict":"`+e.Verdict.String()+`","reason":"`+string(e.Reason)+`"}`)
}

// latestReplica returns the replica that received the latest attempt; empty if there is none.
func (x *exchange) latestReplica() string {
	if p := x.replica.Load(); p != nil {
		return *p
	}
	return ""
}

// logFields returns the fields that the log lines of all decisions on a request
// have in common.
func (x *exchange) logFields(now time.Time) map[string]any {
	f := map[string]any{"after-ms": now.Sub(x.started).Milliseconds(), "sent": x.sent, "offered": x.offered}
	if x.table != nil {
		f["route"], f["version"] = x.route.Name, x.table.Version()
	}
	if id := x.latestReplica(); id != "" {
		f["replica"] = id
	}
	return f
}

// copyHeader copies the headers of a replica's response to the response of the
// caller.
func (g *Gateway) copyHeader(x *exchange, a *comfreyconnection.Response) {
	h := withoutHopByHopHeaders(a.Header)
	g.config.Protocol.RemoveInternalHeaders(h)
	maps.Copy(x.w.Header(), h)
	g.setConnection(x)
}

// setConnection makes the response the last one of its connection if the gateway stops, so
// that the caller's next request reaches another gateway.
func (g *Gateway) setConnection(x *exchange) {
	if g.isDraining.Load() {
		x.w.Header().Set("Connection", "close")
	}
}
