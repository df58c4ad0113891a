// Package comfreysidecar implements the process beside each upstream. All work
// reaches the upstream through its sidecar, which makes the final decision on
// what runs there.
package comfreysidecar

import (
	"context"
	"net/http"
	"strings"
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
	"comfreyridge.example/comfreyridge/comfreyserver"
	"comfreyridge.example/comfreyridge/comfreystream"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// Sidecar serves one upstream. Create it with New and call Run once.
type Sidecar struct {
	config     Config
	recorder   *comfreydecision.Recorder
	engine     *comfreyengine.Client
	upstream   *upstreamClient
	table      *generationTable
	admission  *admissionLoop
	requests   comfreystream.RequestTracker
	orders     *orders
	quarantine *quarantine
	peers      *comfreyrpc.Client
	metrics    *metrics
	group      *comfreygroup.Group
	server     *comfreyserver.Server

	// down reports whether the last health check of the upstream, or the last
	// generation that lost the engine, found the upstream unreachable.
	down atomic.Bool

	mu        sync.Mutex
	lifecycle *comfreyfleet.Lifecycle
}

// New returns a sidecar that is not running yet. The values of ctx are passed
// on to the goroutines of the sidecar; its cancellation is not.
func New(ctx context.Context, c Config) *Sidecar {
	c = c.withDefaults()
	s := &Sidecar{
		config:     c,
		recorder:   c.Recorder,
		engine:     comfreyengine.New(comfreyengine.Config{BaseURL: c.Upstream}),
		upstream:   newUpstreamClient(c.Upstream),
		table:      newGenerationTable(),
		quarantine: newQuarantine(c.Host, c.Incarnation, c.Now),
		peers:      comfreyrpc.NewClient(c.Key, c.Now),
		group:      comfreygroup.New(context.WithoutCancel(ctx)),
		lifecycle:  comfreyfleet.NewLifecycle(c.Host, c.Incarnation, comfreyfleet.LeaseConfig{}),
	}
	s.admission = newAdmissionLoop(c.admissionConfig(), s)
	s.orders = newOrders(comfreyorder.Config{Host: c.Host, Incarnation: uint64(c.Incarnation)}, c.Now)
	s.metrics = newMetrics(c.Registry, s)
	s.server = comfreyserver.New(c.Listener, comfreyserver.Config{
		Handler: s.Handler(), ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, EndsConnections: true,
	})
	return s
}

const (
	// readHeaderTimeout bounds how long reading the headers of a request takes.
	readHeaderTimeout = 10 * time.Second
	// readTimeout bounds how long reading a complete request takes. It does not
	// bound the response.
	readTimeout = 30 * time.Second
	// idleTimeout bounds the time between two requests on a connection. It
	// exceeds the time for which the fleet's clients keep an idle connection,
	// so that the client closes it first and no request is sent on a connection
	// that the server is closing.
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
)

// Handler returns the handler of the internal interface. Requests without a
// valid signature are refused.
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

// Incarnation returns the incarnation of this process.
func (s *Sidecar) Incarnation() comfreyfleet.Incarnation {
	return s.config.Incarnation
}

// Registry returns the registry that holds the sidecar's metrics.
func (s *Sidecar) Registry() *prometheus.Registry {
	return s.config.Registry
}

// Ready returns nil while new work is accepted, and a comfreyverdict.Error with
// verdict not-run otherwise.
func (s *Sidecar) Ready() error {
	if _, ok := s.config.service(); !ok {
		return comfreyverdict.NotRun(comfreyverdict.ReasonNoConfiguration, "the service is not configured")
	}
	if !s.isAccepting() {
		return comfreyverdict.NotRun(comfreyverdict.ReasonLeaving, "the sidecar is leaving")
	}
	if err := s.checkHostList(); err != nil {
		return err
	}
	return s.checkLifecycle()
}

// checkHostList returns a comfreyverdict.Error with verdict not-run if a host list
// is required and has not arrived.
func (s *Sidecar) checkHostList() error {
	if s.config.RequireHostList && len(s.quarantine.hosts()) == 0 {
		return comfreyverdict.NotRun(comfreyverdict.ReasonNoConfiguration, "the sidecar has no host list yet").WithRetryAfter(hostListRetryAfter)
	}
	return nil
}

// hostListRetryAfter is the retry-after of a request that arrives before the
// first host list; sidecars fetch it about once a second.
const hostListRetryAfter = time.Second

// Run serves until ctx is done, then drains and returns nil: it refuses new
// work and lets open work finish within the drain limit. When kill is done, it
// stops at once.
func (s *Sidecar) Run(ctx, kill context.Context) error {
	s.renewLifecycle()
	s.group.Go("admission", s.admission.run)
	s.group.Go("janitor", s.runMaintenance)
	s.group.Go("watch", s.runHealthCheck)
	s.group.Go("renew witnesses", s.renewWitnessLeases)
	if s.config.QueryLatestRevision != nil {
		s.group.Go("move", s.runReconciler)
	}
	s.group.Go("serve", func(context.Context) error { return s.server.Serve() })
	select {
	case <-ctx.Done():
		s.drain(kill)
		s.endConnections(kill)
	case <-kill.Done():
	case <-s.group.Context().Done():
	}
	_, _ = s.server.Close()
	s.group.Stop()
	err := s.group.Wait()
	s.engine.Close()
	s.peers.Close()
	return err
}

// Configure applies the active settings to the admission controller. It must be
// called after each change of the settings.
func (s *Sidecar) Configure() {
	s.admission.send(s.group.Context(), admissionEvent{kind: admissionConfigure, config: s.config.admissionConfig()})
}

// checkLifecycle returns nil if work may be sent to the upstream now.
func (s *Sidecar) checkLifecycle() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lifecycle.Begin(s.config.Now())
}

// renewLifecycle renews the lease of the process, which bounds how long it may
// start work after it last checked for a reason to stop.
func (s *Sidecar) renewLifecycle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Now()
	s.lifecycle.DetectPause(now)
	s.lifecycle.Renew(now)
}

// observeListedState applies the state of this host that a gateway copied from
// its host list.
func (s *Sidecar) observeListedState(l *comfreyproto.ListedState) {
	if l == nil {
		return
	}
	m := comfreyfleet.Member{Host: s.config.Host}
	if l.Leaving {
		m.State = comfreyfleet.StateLeaving
	}
	s.observeLifecycle(comfreyfleet.NewView(l.Version, time.UnixMilli(l.AtUnixMillis), []comfreyfleet.Member{m}))
}

// ObserveView applies a host list. A list that names this host as leaving makes
// the sidecar refuse new work. ObserveView is safe for concurrent use.
func (s *Sidecar) ObserveView(v comfreyfleet.View) {
	if s.quarantine.setHosts(v, s.config.Service) {
		s.recorder.Record("", comfreydecision.KindRevision, comfreyverdict.ReasonAccepted, map[string]any{"witness-candidates": strings.Join(s.quarantine.hosts(), ",")})
	}
	s.observeLifecycle(v)
}

// observeLifecycle applies the state of this host in a host list.
func (s *Sidecar) observeLifecycle(v comfreyfleet.View) {
	s.mu.Lock()
	was := s.lifecycle.IsRefusing()
	s.lifecycle.Observe(s.config.Now(), v)
	now := s.lifecycle.IsRefusing()
	s.mu.Unlock()
	if now && !was {
		s.leave("the host list names this host as leaving")
	}
}

// leave makes the sidecar refuse all new work for good, voids the orders that
// have not been forwarded, and refuses the queued generations.
func (s *Sidecar) leave(reason string) {
	s.mu.Lock()
	s.lifecycle.Leave(s.config.Now())
	s.mu.Unlock()
	voided := s.orders.leave()
	s.recorder.Record("", comfreydecision.KindDrain, comfreyverdict.ReasonLeaving, map[string]any{"detail": reason, "orders-voided": voided})
	for _, g := range s.table.all() {
		if !g.isRunning() && !g.isEnded() {
			s.refuseQueued(g, comfreyverdict.NotRun(comfreyverdict.ReasonLeaving, "the sidecar is leaving"))
		}
	}
}

// Load returns the load report for gateways.
func (s *Sidecar) Load() *comfreyproto.Load {
	l := s.admission.load.Load()
	wait := l.ExpectedWait
	if s.down.Load() {
		wait = max(wait, downExpectedWait)
	}
	return &comfreyproto.Load{
		Incarnation:         uint64(s.config.Incarnation),
		Accepting:           s.isAccepting(),
		Unready:             s.Ready() != nil,
		Running:             uint32(l.Running),
		Queued:              uint32(l.Queued),
		UsedTokens:          uint64(l.UsedTokens),
		CapacityTokens:      uint64(l.CapacityTokens),
		PredictedPeakTokens: uint64(l.PeakTokens),
		ExpectedWaitMillis:  comfreyrpc.Millis(wait),
	}
}

// apply performs one action of the admission controller. The admission loop
// calls it.
func (s *Sidecar) apply(a comfreyadmission.Action) {
	g := s.table.findAttempt(a.ID)
	if g == nil {
		return
	}
	fields := snapshotFields(a)
	switch a.Kind {
	case comfreyadmission.ActionAdmit:
		s.recorder.Record(g.request.RequestId, comfreydecision.KindAdmit, a.Reason, fields)
		s.group.Go("generation", func(ctx context.Context) error {
			s.runGeneration(ctx, g)
			return nil
		})
	case comfreyadmission.ActionQueue:
		s.recorder.Record(g.request.RequestId, comfreydecision.KindQueue, a.Reason, fields)
	case comfreyadmission.ActionRefuse:
		e := comfreyverdict.NotRun(a.Reason, "the upstream has no room").WithRetryAfter(a.RetryAfter)
		s.finish(g, refusedFrame(e), comfreystream.OutcomeFailed)
	case comfreyadmission.ActionPreempt:
		s.recorder.Record(g.request.RequestId, comfreydecision.KindPreempt, a.Reason, fields)
	}
}

func snapshotFields(a comfreyadmission.Action) map[string]any {
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
