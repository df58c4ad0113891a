// Package comfreysidecar is the process beside each upstream. It is the only
// way to that upstream and has the last word on what runs there.
package comfreysidecar

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"comfreyridge.example/comfreyridge/comfreyadmission"
	"comfreyridge.example/comfreyridge/comfreydecision"
	"comfreyridge.example/comfreyridge/comfreyengine"
	"comfreyridge.example/comfreyridge/comfreyfleet"
	"comfreyridge.example/comfreyridge/comfreygroup"
	"comfreyridge.example/comfreyridge/comfreyorder"
	"comfreyridge.example/comfreyridge/comfreyproto"
	"comfreyridge.example/comfreyridge/comfreyrpc"
	"comfreyridge.example/comfreyridge/comfreystream"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// Sidecar serves one upstream. Create it with New and run it once.
type Sidecar struct {
	config       Config
	recorder     *comfreydecision.Recorder
	engine       *comfreyengine.Client
	upstream     *upstreamClient
	table        *table
	admission    *admission
	conservation comfreystream.RequestTracker
	orders       *orders
	quarantine   *quarantine
	peers        *comfreyrpc.Client
	metrics      *metrics
	group        *comfreygroup.Group
	server       *http.Server

	// down says that the upstream did not answer when it was looked at last.
	down atomic.Bool

	mu        sync.Mutex
	lifecycle *comfreyfleet.Lifecycle
}

// New returns a sidecar that is not running yet. The context bounds everything
// that it starts.
func New(ctx context.Context, c Config) *Sidecar {
	c = c.withDefaults()
	s := &Sidecar{
		config:     c,
		recorder:   c.Recorder,
		engine:     comfreyengine.New(comfreyengine.Config{BaseURL: c.Upstream}),
		upstream:   newUpstreamClient(c.Upstream),
		table:      newTable(),
		quarantine: newQuarantine(c.Host, c.Incarnation, c.Now),
		peers:      comfreyrpc.NewClient(c.Key, c.Now),
		group:      comfreygroup.New(context.WithoutCancel(ctx)),
		lifecycle:  comfreyfleet.NewLifecycle(c.Host, c.Incarnation, comfreyfleet.LeaseConfig{}),
	}
	s.admission = newAdmission(c.admissionConfig(), s)
	s.orders = newOrders(comfreyorder.Config{Host: c.Host, Incarnation: uint64(c.Incarnation)}, c.Now)
	s.metrics = newMetrics(c.Registry, s)
	s.server = &http.Server{Handler: s.Handler(), ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	return s
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
	// maxHeaderBytes bounds the headers of a request.
	maxHeaderBytes = 64 << 10
)

// Handler returns the signed internal interface.
func (s *Sidecar) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST "+comfreyrpc.PathStart, s.serveStart)
	m.HandleFunc("POST "+comfreyrpc.PathResume, s.serveResume)
	m.Handle(comfreyproto.SidecarPathPrefix, comfreyproto.NewSidecarServer(s))
	if s.config.Peer != nil {
		m.Handle(comfreyproto.PeerPathPrefix, comfreyproto.NewPeerServer(s.config.Peer))
	}
	v := comfreyrpc.NewVerifier(s.config.Key, s.config.Now)
	return v.Middleware(m, func(err error) {
		s.recorder.Record("", comfreydecision.KindRefuse, comfreyverdict.ReasonUnauthorized, map[string]any{"detail": err.Error()})
	})
}

// Incarnation returns the life of this process.
func (s *Sidecar) Incarnation() comfreyfleet.Incarnation {
	return s.config.Incarnation
}

// Registry returns the metrics.
func (s *Sidecar) Registry() *prometheus.Registry {
	return s.config.Registry
}

// Ready returns nil while new work is accepted.
func (s *Sidecar) Ready() error {
	if _, ok := s.config.service(); !ok {
		return comfreyverdict.NotRun(comfreyverdict.ReasonNoConfiguration, "the service is not configured")
	}
	if !s.accepts() {
		return comfreyverdict.NotRun(comfreyverdict.ReasonLeaving, "the sidecar is leaving")
	}
	return s.begin()
}

// Run serves until ctx ends, and then stops gracefully: it refuses new work,
// lets what runs end within the drain limit, and returns nil. A second
// context, ended by kill, makes it stop at once.
func (s *Sidecar) Run(ctx, kill context.Context) error {
	s.renew()
	s.group.Go("admission", s.admission.run)
	s.group.Go("janitor", s.runJanitor)
	s.group.Go("watch", s.runWatch)
	s.group.Go("renew witnesses", s.renewWitnesses)
	if s.config.Confirm != nil {
		s.group.Go("move", s.runMover)
	}
	s.group.Go("serve", func(context.Context) error {
		err := s.server.Serve(s.config.Listener)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	})
	select {
	case <-ctx.Done():
		s.drain(kill)
	case <-kill.Done():
	case <-s.group.Context().Done():
	}
	_ = s.server.Close()
	s.group.Stop()
	err := s.group.Wait()
	s.engine.Close()
	s.peers.Close()
	return err
}

// Configure makes the admission follow the settings in force. It is called
// after each change of them.
func (s *Sidecar) Configure() {
	s.admission.send(s.group.Context(), admissionEvent{kind: admissionConfigure, config: s.config.admissionConfig()})
}

// begin returns nil if work may be handed to the upstream now.
func (s *Sidecar) begin() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lifecycle.Begin(s.config.Now())
}

// renew records that the process is awake and has looked for orders to stop.
func (s *Sidecar) renew() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Now()
	s.lifecycle.DetectPause(now)
	s.lifecycle.Renew(now)
}

// observe takes what a gateway's host list says about this host.
func (s *Sidecar) observe(l *comfreyproto.ListedState) {
	if l == nil {
		return
	}
	m := comfreyfleet.Member{Host: s.config.Host}
	if l.Leaving {
		m.State = comfreyfleet.StateLeaving
	}
	s.observeState(comfreyfleet.NewView(l.Version, time.UnixMilli(l.AtUnixMillis), []comfreyfleet.Member{m}))
}

// ObserveView takes a host list. A list that names this host as leaving makes
// the sidecar refuse new work.
func (s *Sidecar) ObserveView(v comfreyfleet.View) {
	s.quarantine.list(v, s.config.Service)
	s.observeState(v)
}

// observeState takes what a host list says about this host.
func (s *Sidecar) observeState(v comfreyfleet.View) {
	s.mu.Lock()
	was := s.lifecycle.IsRefusing()
	s.lifecycle.Observe(s.config.Now(), v)
	now := s.lifecycle.IsRefusing()
	s.mu.Unlock()
	if now && !was {
		s.leave("the host list names this host as leaving")
	}
}

// leave refuses all new work from now on, and what has not begun.
func (s *Sidecar) leave(why string) {
	s.mu.Lock()
	s.lifecycle.Leave(s.config.Now())
	s.mu.Unlock()
	voided := s.orders.leave()
	s.recorder.Record("", comfreydecision.KindDrain, comfreyverdict.ReasonLeaving, map[string]any{"detail": why, "orders-voided": voided})
	for _, g := range s.table.all() {
		if !g.isRunning() && !g.isEnded() {
			s.refuseQueued(g, comfreyverdict.NotRun(comfreyverdict.ReasonLeaving, "the sidecar is leaving"))
		}
	}
}

// Load returns what the sidecar tells gateways about its upstream.
func (s *Sidecar) Load() *comfreyproto.Load {
	l := s.admission.load.Load()
	wait := l.ExpectedWait
	if s.down.Load() {
		wait = max(wait, downWait)
	}
	return &comfreyproto.Load{
		Incarnation:         uint64(s.config.Incarnation),
		Accepting:           s.accepts(),
		Unready:             s.Ready() != nil,
		Running:             uint32(l.Running),
		Queued:              uint32(l.Queued),
		UsedTokens:          uint64(l.UsedTokens),
		CapacityTokens:      uint64(l.CapacityTokens),
		PredictedPeakTokens: uint64(l.PeakTokens),
		ExpectedWaitMillis:  comfreyrpc.Millis(wait),
	}
}

// apply carries out one action of the admission. The admission duty calls it.
func (s *Sidecar) apply(a comfreyadmission.Action) {
	g := s.table.findKey(a.ID)
	if g == nil {
		return
	}
	figures := admissionFigures(a)
	switch a.Kind {
	case comfreyadmission.ActionAdmit:
		s.recorder.Record(g.request.RequestId, comfreydecision.KindAdmit, a.Reason, figures)
		s.group.Go("generation", func(ctx context.Context) error {
			s.runGeneration(ctx, g)
			return nil
		})
	case comfreyadmission.ActionQueue:
		s.recorder.Record(g.request.RequestId, comfreydecision.KindQueue, a.Reason, figures)
	case comfreyadmission.ActionRefuse:
		e := comfreyverdict.NotRun(a.Reason, "the upstream has no room").WithRetryAfter(a.RetryAfter)
		s.finish(g, refusedFrame(e), comfreystream.OutcomeFailed)
	case comfreyadmission.ActionPreempt:
		s.recorder.Record(g.request.RequestId, comfreydecision.KindPreempt, a.Reason, figures)
	}
}

func admissionFigures(a comfreyadmission.Action) map[string]any {
	f := a.Snapshot
	return map[string]any{
		"running":         f.Running,
		"queued":          f.Queued,
		"used-tokens":     f.UsedTokens,
		"peak-tokens":     f.PeakTokens,
		"capacity-tokens": f.CapacityTokens,
		"waited":          f.Waited,
	}
}
