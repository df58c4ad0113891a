package comfreyforward

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/prometheus/client_golang/prometheus"

	"comfreyridge.example/comfreyridge/comfreyadmin"
	"comfreyridge.example/comfreyridge/comfreydecision"
	"comfreyridge.example/comfreyridge/comfreygroup"
	"comfreyridge.example/comfreyridge/comfreyroute"
	"comfreyridge.example/comfreyridge/comfreyserver"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

const (
	// configurationTimeout is how long a starting gateway waits for its first
	// configuration before it accepts connections without one.
	configurationTimeout = time.Second
	// configurationPollInterval is how often a starting gateway checks for its
	// first configuration.
	configurationPollInterval = 10 * time.Millisecond
	// The limits of callers that apply if the configuration sets none.
	defaultMaxHeaderBytes = 16 << 10
	defaultHeaderTimeout  = 3 * time.Second
	defaultIdleTimeout    = 15 * time.Second
	// idleTimeoutMargin is how much longer than the configured timeout an idle
	// connection is kept, so that a request that was sent in time does not meet
	// a closed connection.
	idleTimeoutMargin = 2 * time.Second
	// deregistrationDelay is how long new connections may still arrive after a
	// planned stop began: the load balancer checks readiness once a second, and
	// removes a gateway after two failures.
	deregistrationDelay = 2500 * time.Millisecond
	// gracePeriodMargin is how long before the end of the grace period, when
	// the process is killed, the gateway stops by itself.
	gracePeriodMargin = 400 * time.Millisecond
	// exitMargin is how long before the end of the grace period a gateway exits whose
	// final responses are still being written.
	exitMargin = 150 * time.Millisecond
	// finalResponseInterval is how often a stopping gateway checks whether the requests
	// without a response have to get a final one.
	finalResponseInterval = 50 * time.Millisecond
)

// ServerConfig holds the addresses and limits of a Server.
type ServerConfig struct {
	// The listen addresses. Readiness and metrics are not served if theirs is
	// empty.
	CallerAddress, ReadyAddress, MetricsAddress string
	// PeerHandler serves the other gateways at PeerAddress; they are not served
	// if it is empty.
	PeerAddress string
	PeerHandler http.Handler
	// ReadyPath is the path of the load balancer's readiness check.
	ReadyPath string
	// GracePeriod is how long a planned stop may take.
	GracePeriod time.Duration
	// MemoryBytes is the memory above which the process is killed, and
	// MaxFileDescriptors bounds sockets and files; zero means no bound.
	MemoryBytes        int64
	MaxFileDescriptors int
	// Registry holds the metrics.
	Registry *prometheus.Registry
	// Listen opens a listener; comfreyserver.Listen by default.
	Listen func(address string) (net.Listener, error)
}

// Server runs the listeners of a gateway.
type Server struct {
	gateway *Gateway
	config  ServerConfig
}

// NewServer returns a server for a gateway that has not been started.
func NewServer(g *Gateway, c ServerConfig) *Server {
	if c.Listen == nil {
		c.Listen = comfreyserver.Listen
	}
	return &Server{gateway: g, config: c}
}

// Run starts the gateway and serves until stop ends. It then finishes open
// requests, for at most the grace period.
func (s *Server) Run(stop context.Context) error {
	g := s.gateway
	setMemoryLimit(s.config.MemoryBytes)
	g.Start()
	if err := s.serveInternal("ready", s.config.ReadyAddress, s.readyHandler()); err != nil {
		return err
	}
	if err := s.serveInternal("metrics", s.config.MetricsAddress, s.adminHandler()); err != nil {
		return err
	}
	if err := s.serveInternal("peers", s.config.PeerAddress, s.config.PeerHandler); err != nil {
		return err
	}
	s.awaitConfiguration(stop)
	callers, err := s.serveCallers()
	if err != nil {
		return err
	}
	g.record("", comfreydecision.KindUpstream, comfreyverdict.ReasonAccepted, map[string]any{"state": "started", "callers": s.config.CallerAddress, "configured": g.table.Load() != nil})
	select {
	case <-stop.Done():
	case <-g.config.Group.Context().Done():
		return g.config.Group.Wait()
	}
	return s.drain(callers)
}

// drain marks the gateway as not ready and finishes open requests. Of those that are
// open near the end of the grace period, the ones whose response has not begun get a
// final one, and the others are aborted. A slow host goes on writing final responses after
// that until the process is about to be killed.
func (s *Server) drain(callers *comfreyserver.Server) error {
	g := s.gateway
	began := g.config.Now()
	limit := s.config.GracePeriod - gracePeriodMargin
	g.StartDraining(began.Add(deregistrationDelay), began.Add(limit))
	g.record("", comfreydecision.KindDrain, comfreyverdict.ReasonLeaving, map[string]any{"state": "stopping", "streams": g.streamCount()})
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	comfreygroup.Sleep(ctx, deregistrationDelay)
	g.config.Group.Go("final responses", func(context.Context) error {
		g.endUnansweredInTime(ctx, began, s.config.GracePeriod)
		return nil
	})
	if err := callers.StopListening(ctx); err != nil {
		g.record("", comfreydecision.KindDrain, comfreyverdict.ReasonLeaving, map[string]any{"state": "accepting-until-closed", "error": err.Error()})
	}
	if callers.Drain(ctx) != nil {
		callers.EndUnused()
		g.EndUnanswered()
		g.cutResponses()
		exiting, cancelExiting := context.WithTimeout(context.Background(), began.Add(s.config.GracePeriod-exitMargin).Sub(g.config.Now()))
		defer cancelExiting()
		_ = callers.Drain(exiting) // What is left is closed.
	}
	g.shareSilentLosses()
	cut, err := callers.Close()
	g.record("", comfreydecision.KindDrain, comfreyverdict.ReasonAccepted, map[string]any{"state": "stopped", "streams": g.streamCount(), "cut": cut, "after-ms": g.config.Now().Sub(began).Milliseconds()})
	return err
}

func (g *Gateway) streamCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.generations)
}

// awaitConfiguration waits for the first configuration until
// configurationTimeout.
func (s *Server) awaitConfiguration(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, configurationTimeout)
	defer cancel()
	for s.gateway.table.Load() == nil {
		if !comfreygroup.Sleep(ctx, configurationPollInterval) {
			return
		}
	}
}

// serveCallers serves callers within the limits of the configuration.
func (s *Server) serveCallers() (*comfreyserver.Server, error) {
	var l comfreyroute.Limits
	if t := s.gateway.table.Load(); t != nil {
		l = t.Limits()
	}
	k, err := s.config.Listen(s.config.CallerAddress)
	if err != nil {
		return nil, fmt.Errorf("comfreyforward: listening for callers: %w", err)
	}
	h := comfreyserver.New(k, comfreyserver.Config{
		Handler:           s.gateway,
		MaxHeaderBytes:    positiveOr(l.HeaderSizeBytes, defaultMaxHeaderBytes),
		ReadHeaderTimeout: positiveOr(l.HeaderTimeout, defaultHeaderTimeout),
		IdleTimeout:       positiveOr(l.IdleTimeout, defaultIdleTimeout) + idleTimeoutMargin,
		MaxConnections:    maxCallerConnections(s.config.MaxFileDescriptors),
		OnUnanswered:      s.gateway.observeUnanswered,
		OnCut:             s.gateway.observeCut,
	})
	s.gateway.config.Group.Go("callers", func(context.Context) error {
		if err := h.Serve(); err != nil {
			return fmt.Errorf("comfreyforward: serving callers: %w", err)
		}
		return nil
	})
	s.gateway.config.Group.Go("callers end", func(ctx context.Context) error {
		<-ctx.Done()
		_, err := h.Close()
		return err
	})
	return h, nil
}

// positiveOr returns v if it is positive, else the default d.
func positiveOr[T int | time.Duration](v, d T) T {
	if v > 0 {
		return v
	}
	return d
}

// serveInternal serves the platform, operators or other gateways, with the
// default limits and any number of connections. It does nothing for an empty
// address.
func (s *Server) serveInternal(name, address string, h http.Handler) error {
	if address == "" {
		return nil
	}
	l, err := s.config.Listen(address)
	if err != nil {
		return fmt.Errorf("comfreyforward: listening for %s: %w", name, err)
	}
	s.serve(name, l, &http.Server{Handler: h, ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout})
	return nil
}

// serve serves the connections of a listener until the group ends.
func (s *Server) serve(name string, l net.Listener, h *http.Server) {
	s.gateway.config.Group.Go(name, func(context.Context) error {
		if err := h.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("comfreyforward: serving %s: %w", name, err)
		}
		return nil
	})
	s.gateway.config.Group.Go(name+" end", func(ctx context.Context) error {
		<-ctx.Done()
		return h.Close()
	})
}

func (s *Server) readyHandler() http.Handler {
	r := chi.NewRouter()
	r.Get(s.config.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		comfreyadmin.ServeReady(w, s.gateway.Ready)
	})
	return r
}

// adminHandler returns the handler of the metrics and debug endpoints.
func (s *Server) adminHandler() http.Handler {
	return comfreyadmin.NewHandler(comfreyadmin.Config{
		Recorder: s.gateway.config.Recorder, Registry: s.config.Registry, Ready: s.gateway.Ready,
	})
}
