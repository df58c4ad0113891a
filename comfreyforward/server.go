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
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

const (
	// firstConfiguration is how long a starting gateway waits for its first
	// configuration before it takes connections without one.
	firstConfiguration = time.Second
	// startPoll is how often a starting gateway looks for its configuration.
	startPoll = 10 * time.Millisecond
	// The limits of callers until a configuration says otherwise.
	defaultHeaderSize    = 16 << 10
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	// idleMargin is how much longer than announced an idle connection is kept,
	// so that a request that was sent in time does not cross its end.
	idleMargin = 2 * time.Second
	// rotationTime is how long new connections may still arrive after a planned
	// stop began: the balancer asks once a second and wants two refusals.
	rotationTime = 2500 * time.Millisecond
	// endMargin is how long before its end by force a process ends by itself.
	endMargin = 400 * time.Millisecond
)

// ServerConfig holds the addresses and limits of a Server.
type ServerConfig struct {
	CallerAddress, ReadyAddress, MetricsAddress string
	// Peers serves the other gateways at PeerAddress.
	PeerAddress string
	PeerHandler http.Handler
	// ReadyPath is the path of the load balancer's question.
	ReadyPath string
	// GracePeriod is the time that a planned stop may take.
	GracePeriod time.Duration
	// MemoryBytes is the memory above which the process is killed, and
	// MaxDescriptors bounds sockets and files; zero means no bound.
	MemoryBytes        int64
	MaxFileDescriptors int
	// Registry holds the metrics.
	Registry *prometheus.Registry
	// Listen opens a listener; net.Listen on TCP by default.
	Listen func(address string) (net.Listener, error)
}

// Server runs a gateway's listeners.
type Server struct {
	gateway *Gateway
	config  ServerConfig
}

// NewServer returns a server for a gateway that has not been started.
func NewServer(g *Gateway, c ServerConfig) *Server {
	if c.Listen == nil {
		c.Listen = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	return &Server{gateway: g, config: c}
}

// Run serves until stop ends, and then finishes what runs, for at most the
// grace time.
func (s *Server) Run(stop context.Context) error {
	g := s.gateway
	limitMemory(s.config.MemoryBytes)
	g.Start()
	if err := s.serveSmall("ready", s.config.ReadyAddress, s.readyHandler()); err != nil {
		return err
	}
	if err := s.serveSmall("metrics", s.config.MetricsAddress, s.adminHandler()); err != nil {
		return err
	}
	if err := s.serveSmall("peers", s.config.PeerAddress, s.config.PeerHandler); err != nil {
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
	return s.stop(callers)
}

// stop finishes what runs.
func (s *Server) stop(callers *http.Server) error {
	g := s.gateway
	began := g.config.Now()
	g.StartDraining()
	g.record("", comfreydecision.KindDrain, comfreyverdict.ReasonLeaving, map[string]any{"state": "stopping", "streams": g.streamCount()})
	ctx, cancel := context.WithTimeout(context.Background(), s.config.GracePeriod-endMargin)
	defer cancel()
	comfreygroup.Sleep(ctx, rotationTime)
	err := callers.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		err = callers.Close()
	}
	g.record("", comfreydecision.KindDrain, comfreyverdict.ReasonAccepted, map[string]any{"state": "stopped", "streams": g.streamCount(), "after-ms": g.config.Now().Sub(began).Milliseconds()})
	return err
}

func (g *Gateway) streamCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.streams)
}

// awaitConfiguration waits a short time for the first configuration.
func (s *Server) awaitConfiguration(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, firstConfiguration)
	defer cancel()
	for s.gateway.table.Load() == nil {
		if !comfreygroup.Sleep(ctx, startPoll) {
			return
		}
	}
}

// serveCallers serves callers within the limits of the configuration.
func (s *Server) serveCallers() (*http.Server, error) {
	var l comfreyroute.Limits
	if t := s.gateway.table.Load(); t != nil {
		l = t.Limits()
	}
	h := &http.Server{
		Handler:           s.gateway,
		MaxHeaderBytes:    positive(l.HeaderSizeBytes, defaultHeaderSize),
		ReadHeaderTimeout: positive(l.HeaderTimeout, defaultHeaderTimeout),
		IdleTimeout:       positive(l.IdleTimeout, defaultIdleTimeout) + idleMargin,
	}
	return h, s.serveLimited("callers", s.config.CallerAddress, h, callerConnections(s.config.MaxFileDescriptors))
}

func positive[T int | time.Duration](v, d T) T {
	if v > 0 {
		return v
	}
	return d
}

// serveSmall serves a handler for the platform or the operators.
func (s *Server) serveSmall(name, address string, h http.Handler) error {
	if address == "" {
		return nil
	}
	return s.serveLimited(name, address, &http.Server{Handler: h, ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout}, 0)
}

// serveLimited serves at most a number of connections at a time; zero means no
// bound.
func (s *Server) serveLimited(name, address string, h *http.Server, most int) error {
	l, err := s.config.Listen(address)
	if err != nil {
		return fmt.Errorf("comfreyforward: listening for %s: %w", name, err)
	}
	if most > 0 {
		l = newLimitedListener(l, most)
	}
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
	return nil
}

func (s *Server) readyHandler() http.Handler {
	r := chi.NewRouter()
	r.Get(s.config.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		comfreyadmin.ServeReady(w, s.gateway.Ready)
	})
	return r
}

// adminHandler serves operators what every process serves them.
func (s *Server) adminHandler() http.Handler {
	return comfreyadmin.NewHandler(comfreyadmin.Config{
		Recorder: s.gateway.config.Recorder, Registry: s.config.Registry, Ready: s.gateway.Ready,
	})
}
