// Package comfreygateway is the process on an entry host. It authenticates
// callers, chooses upstreams and relays answers. All that it knows may be lost.
package comfreygateway

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"

	"comfreyridge.example/comfreyridge/comfreyadmin"
	"comfreyridge.example/comfreyridge/comfreydecision"
	"comfreyridge.example/comfreyridge/comfreyfleet"
	"comfreyridge.example/comfreyridge/comfreygroup"
	"comfreyridge.example/comfreyridge/comfreyrpc"
	"comfreyridge.example/comfreyridge/comfreystream"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// Gateway serves callers. Create it with New and run it once.
type Gateway struct {
	config       Config
	recorder     *comfreydecision.Recorder
	client       *comfreyrpc.Client
	fleet        *fleet
	limits       *customerLimits
	retriers     *retriers
	sessions     *sessions
	crashes      *crashes
	conservation comfreystream.RequestTracker
	metrics      *metrics
	group        *comfreygroup.Group
	server       *http.Server
	leaving      atomic.Bool
	// stopped ends with the cause that open requests are given when the drain
	// limit passes.
	stopped context.Context
	stop    context.CancelCauseFunc
}

const (
	// readHeaderTimeout bounds the time in which a connection sends its
	// headers.
	readHeaderTimeout = 10 * time.Second
	// readTimeout bounds the time in which it sends a whole request. It does
	// not bound the answer.
	readTimeout = 30 * time.Second
	// idleTimeout bounds the time between two requests. It exceeds that for
	// which a client of the fleet keeps a connection, so that the client is the
	// one that closes it and no request meets a closing connection.
	idleTimeout = 2 * time.Minute
)

// New returns a gateway that is not running yet.
func New(ctx context.Context, c Config) *Gateway {
	c = c.withDefaults()
	g := &Gateway{
		config:   c,
		recorder: c.Recorder,
		client:   comfreyrpc.NewClient(c.Key, c.Now),
		fleet:    newFleet(c.Router, c.Now),
		limits:   newCustomerLimits(),
		retriers: newRetriers(),
		sessions: newSessions(),
		crashes:  newCrashes(c.Host, c.Now),
		group:    comfreygroup.New(context.WithoutCancel(ctx)),
	}
	g.stopped, g.stop = context.WithCancelCause(context.Background())
	g.metrics = newMetrics(c.Registry, g)
	g.server = &http.Server{Handler: g.Handler(), ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: defaultMaxHeaderBytes}
	return g
}

// Handler returns the callers' interface.
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

// Ready returns nil if the balancer should send callers here.
func (g *Gateway) Ready() error {
	if g.leaving.Load() {
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

// OpenRequests returns how many accepted requests have no outcome yet.
func (g *Gateway) OpenRequests() int {
	return int(g.conservation.Totals().Open)
}

// ObserveView takes a host list.
func (g *Gateway) ObserveView(v comfreyfleet.View) {
	g.fleet.update(v)
}

// Run serves until ctx ends, and then stops gracefully: it fails the readiness
// check, waits for the balancer, and lets open requests end within the drain
// limit. A second context, ended by kill, makes it stop at once.
func (g *Gateway) Run(ctx, kill context.Context) error {
	g.group.Go("serve", func(context.Context) error {
		err := g.server.Serve(g.config.Listener)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	})
	g.startReporters()
	select {
	case <-ctx.Done():
		g.drain(kill)
	case <-kill.Done():
	case <-g.group.Context().Done():
	}
	g.stop(comfreyverdict.MayHaveRun(comfreyverdict.ReasonDrainLimit, "the gateway stopped"))
	_ = g.server.Close()
	g.group.Stop()
	err := g.group.Wait()
	g.client.Close()
	return err
}

// deliveryLimit bounds the time to send typed endings after the drain limit.
const deliveryLimit = 5 * time.Second

// drain is a planned stop.
func (g *Gateway) drain(kill context.Context) {
	g.leaving.Store(true)
	g.recorder.Record("", comfreydecision.KindDrain, comfreyverdict.ReasonLeaving, map[string]any{"open": g.conservation.Totals().Open})
	comfreygroup.Sleep(kill, g.config.DrainDelay)
	ctx, cancel := context.WithTimeout(kill, g.config.DrainLimit)
	defer cancel()
	if g.server.Shutdown(ctx) == nil {
		g.recorder.Record("", comfreydecision.KindDrain, comfreyverdict.ReasonAccepted, map[string]any{"detail": "all requests have ended"})
		return
	}
	g.recorder.Record("", comfreydecision.KindDrain, comfreyverdict.ReasonDrainLimit, map[string]any{"open": g.conservation.Totals().Open})
	g.stop(comfreyverdict.MayHaveRun(comfreyverdict.ReasonDrainLimit, "the gateway stops and the answer has not ended"))
	ctx, cancel = context.WithTimeout(kill, deliveryLimit)
	defer cancel()
	_ = g.server.Shutdown(ctx)
}
