// Package comfreygateway is the process on an entry host. It authenticates
// callers, chooses upstreams and relays their responses. All its state is soft
// and may be lost.
package comfreygateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"

	"comfreyridge.example/comfreyridge/comfreyadmin"
	"comfreyridge.example/comfreyridge/comfreydecision"
	"comfreyridge.example/comfreyridge/comfreyfleet"
	"comfreyridge.example/comfreyridge/comfreygroup"
	"comfreyridge.example/comfreyridge/comfreyrpc"
	"comfreyridge.example/comfreyridge/comfreyserver"
	"comfreyridge.example/comfreyridge/comfreystream"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// Gateway serves callers. Create it with New and run it once.
type Gateway struct {
	config         Config
	recorder       *comfreydecision.Recorder
	client         *comfreyrpc.Client
	fleet          *fleet
	limits         *customerLimits
	retriers       *retriers
	sessions       *sessions
	crashRecords   *crashRecords
	requestTracker comfreystream.RequestTracker
	metrics        *metrics
	group          *comfreygroup.Group
	server         *comfreyserver.Server
	draining       atomic.Bool
	// stopped is cancelled when the drain limit passes or the gateway stops. Its
	// cause is the error that open requests fail with.
	stopped context.Context
	stop    context.CancelCauseFunc
}

const (
	// readHeaderTimeout bounds the time in which a connection sends its request
	// headers.
	readHeaderTimeout = 10 * time.Second
	// readTimeout bounds the time in which a connection sends a complete request.
	// It does not bound the response.
	readTimeout = 30 * time.Second
	// idleTimeout bounds the time between two requests on a connection. It exceeds
	// the time for which the clients of the fleet keep idle connections, so that
	// the client closes first and no request is sent on a connection that the
	// server is closing.
	idleTimeout = 2 * time.Minute
)

// New returns a gateway that does not serve until Run.
func New(ctx context.Context, c Config) *Gateway {
	c = c.withDefaults()
	g := &Gateway{
		config:       c,
		recorder:     c.Recorder,
		client:       comfreyrpc.NewClient(c.Key, c.Now),
		fleet:        newFleet(c.Router, c.Now),
		limits:       newCustomerLimits(),
		retriers:     newRetriers(),
		sessions:     newSessions(),
		crashRecords: newCrashRecords(c.Host, c.Now),
		group:        comfreygroup.New(context.WithoutCancel(ctx)),
	}
	g.stopped, g.stop = context.WithCancelCause(context.Background())
	g.metrics = newMetrics(c.Registry, g)
	g.server = comfreyserver.New(c.Listener, comfreyserver.Config{
		Handler: g.Handler(), ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: defaultMaxHeaderBytes, EndsConnections: true, OnUnanswered: g.observeUnanswered,
	})
	return g
}

// Handler returns the HTTP interface for callers.
func (g *Gateway) Handler() http.Handler {
	m := chi.NewRouter()
	m.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	m.Get("/readyz", func(w http.ResponseWriter, _ *http.Request) { comfreyadmin.ServeReady(w, g.Ready) })
	m.Post("/v1/completions", g.serveGeneration)
	m.Post("/v1/chat/completions", g.serveGeneration)
	m.Get("/v1/models", g.serveModels)
	m.Get("/v1/streams/{id}", g.serveStream)
	m.Delete("/v1/streams/{id}", g.serveCancel)
	m.Post("/v1/services/{service}/orders", g.serveMint)
	m.Put("/v1/services/{service}/orders/{ticket}", g.servePutOrder)
	m.Get("/v1/services/{service}/orders/{ticket}", g.serveGetOrder)
	m.Delete("/v1/services/{service}/orders/{ticket}", g.serveVoidOrder)
	m.HandleFunc("/v1/services/{service}/*", g.servePlain)
	m.NotFound(func(w http.ResponseWriter, r *http.Request) {
		e := comfreyverdict.NotRun(comfreyverdict.ReasonUnknownService, "no such path: "+r.URL.Path)
		writeRefusal(w, e, newRequestID())
	})
	return m
}

// Ready returns nil if the load balancer should send callers to this gateway.
// It returns an error while the gateway is draining, has no active
// configuration or has not received a host list.
func (g *Gateway) Ready() error {
	if g.draining.Load() {
		return comfreyverdict.NotRun(comfreyverdict.ReasonLeaving, "the gateway is stopping")
	}
	if len(g.config.Settings().Services()) == 0 {
		return comfreyverdict.NotRun(comfreyverdict.ReasonNoConfiguration, "no configuration is in force")
	}
	if !g.fleet.isListed() {
		return comfreyverdict.NotRun(comfreyverdict.ReasonNoUpstream, "no host list is known")
	}
	return nil
}

// OpenRequests returns the number of accepted requests that have not ended.
func (g *Gateway) OpenRequests() int {
	return int(g.requestTracker.Totals().Open)
}

// ObserveView applies a host list if it is newer than the current one.
func (g *Gateway) ObserveView(v comfreyfleet.View) {
	g.fleet.update(v)
}

// Run serves until ctx is cancelled and then drains: it fails the readiness
// check, waits until the load balancer has noticed, and lets open requests end
// within the drain limit. Cancelling kill stops it at once.
func (g *Gateway) Run(ctx, kill context.Context) error {
	g.group.Go("serve", func(context.Context) error { return g.server.Serve() })
	g.startReporting()
	select {
	case <-ctx.Done():
		g.drain(kill)
	case <-kill.Done():
	case <-g.group.Context().Done():
	}
	g.stop(comfreyverdict.MayHaveRun(comfreyverdict.ReasonDrainLimit, "the gateway stopped"))
	if cut, _ := g.server.Close(); cut > 0 {
		g.recorder.Record("", comfreydecision.KindDrain, comfreyverdict.ReasonConnectionLost, map[string]any{"state": "stopped", "cut": cut})
	}
	g.group.Stop()
	err := g.group.Wait()
	g.client.Close()
	return err
}

// errorDeliveryTimeout bounds the time for sending final errors to callers
// after the drain limit has passed.
const errorDeliveryTimeout = 5 * time.Second

// drain performs a planned stop. Requests that are still open after the drain
// limit fail with ReasonDrainLimit.
func (g *Gateway) drain(kill context.Context) {
	g.draining.Store(true)
	g.recorder.Record("", comfreydecision.KindDrain, comfreyverdict.ReasonLeaving, map[string]any{"open": g.requestTracker.Totals().Open})
	comfreygroup.Sleep(kill, g.config.DrainDelay)
	ctx, cancel := context.WithTimeout(kill, g.config.DrainLimit)
	defer cancel()
	if err := g.server.StopListening(ctx); err != nil {
		g.recorder.Record("", comfreydecision.KindDrain, comfreyverdict.ReasonLeaving, map[string]any{"state": "accepting-until-closed", "error": err.Error()})
	}
	if g.server.Drain(ctx) == nil {
		g.recorder.Record("", comfreydecision.KindDrain, comfreyverdict.ReasonAccepted, map[string]any{"detail": "all requests have ended"})
		return
	}
	g.recorder.Record("", comfreydecision.KindDrain, comfreyverdict.ReasonDrainLimit, map[string]any{"open": g.requestTracker.Totals().Open})
	g.stop(comfreyverdict.MayHaveRun(comfreyverdict.ReasonDrainLimit, "the gateway stops and the answer has not ended"))
	ctx, cancel = context.WithTimeout(kill, errorDeliveryTimeout)
	defer cancel()
	g.server.EndUnused()
	_ = g.server.Drain(ctx) // What is left is closed.
}

// observeUnanswered records a request that was read at least in part, and whose connection
// ended before the handler got it, unless its caller ended it.
func (g *Gateway) observeUnanswered(u comfreyserver.Unanswered) {
	if u.Cause != comfreyserver.CauseCaller {
		g.recorder.Record("", comfreydecision.KindFinish, comfreyverdict.ReasonAnswerCut, map[string]any{
			"detail": "connection ended before its request was handled", "cause": u.Cause, "read-bytes": u.Bytes, "after-ms": u.After.Milliseconds(), "age-ms": u.Age.Milliseconds(),
		})
	}
}
