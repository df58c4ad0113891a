package comfreyforward

import (
	"context"
	"errors"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"comfreyridge.example/comfreyridge/comfreycall"
	"comfreyridge.example/comfreyridge/comfreydecision"
	"comfreyridge.example/comfreyridge/comfreygroup"
	"comfreyridge.example/comfreyridge/comfreylength"
	"comfreyridge.example/comfreyridge/comfreyoccupancy"
	"comfreyridge.example/comfreyridge/comfreypace"
	"comfreyridge.example/comfreyridge/comfreyplacement"
	"comfreyridge.example/comfreyridge/comfreyquarantine"
	"comfreyridge.example/comfreyridge/comfreyratelimit"
	"comfreyridge.example/comfreyridge/comfreyreplica"
	"comfreyridge.example/comfreyridge/comfreyreturn"
	"comfreyridge.example/comfreyridge/comfreyroute"
	"comfreyridge.example/comfreyridge/comfreyrouter"
	"comfreyridge.example/comfreyridge/comfreystorecache"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// The periods of the gateway's background tasks.
const (
	// noEnginesPause is the delay before engines are looked for again if there are
	// none.
	noEnginesPause = time.Second
	// minReportSpacing bounds the calls of one gateway to 50 a second, for any
	// number of engines.
	minReportSpacing = 20 * time.Millisecond
	// reportTimeout bounds one call for a load report; it takes a few
	// milliseconds.
	reportTimeout = 700 * time.Millisecond
	// expiryInterval is how often the states of replicas are checked for
	// expiry.
	expiryInterval = 100 * time.Millisecond
	// sweepInterval is how often idle connections, load estimates and failure
	// rates are checked for expiry.
	sweepInterval = time.Second
	// minGateways is the least number of gateways among which the retry limit
	// of a service is divided, in case a gateway does not know all peers: a
	// deployment runs 4 to 8 on its entry hosts, spare ones included.
	minGateways = 8
	// maxInitialRetries bounds the retries that a gateway may send before requests
	// have added any. After a restart of the whole fleet, each gateway knows only
	// a few others.
	maxInitialRetries = 2
)

// Gateway forwards requests. It is safe for concurrent use.
type Gateway struct {
	config Config
	table  atomic.Pointer[comfreyroute.Table]
	// isDraining is set when a planned stop begins.
	isDraining atomic.Bool
	// stopTimes are those of the planned stop; nil if there is none.
	stopTimes atomic.Pointer[stopTimes]
	// unanswered ends when the requests without a response get a final one, because
	// their connections are about to be closed.
	unanswered    context.Context
	endUnanswered context.CancelFunc
	metrics       *metrics
	// open are the requests in the handler.
	open openRequests

	mu           sync.Mutex
	storeCache   *comfreystorecache.Cache
	replicas     *comfreyreplica.Set
	health       *comfreyreplica.Health
	estimator    *comfreyoccupancy.Estimator
	lengths      *comfreylength.Model
	retryBudgets map[string]*comfreyrouter.RetryBudget
	unaryLoads   map[string]*unaryLoad
	// paces are those of the services whose replicas state them.
	paces       map[string]*comfreypace.Tracker
	generations map[*generation]struct{}
	quarantine  *comfreyquarantine.Table
	observer    *comfreyquarantine.Observer
	// cancels end the requests of the attempts in flight.
	cancels map[comfreyquarantine.ExecutionID]context.CancelCauseFunc
	// crashCheckedAt is when replicas were last dialed because a connection broke.
	crashCheckedAt  map[comfreyquarantine.Upstream]time.Time
	division        *comfreyratelimit.Division
	capacityChanges changeNotifier
	// generationTimes are those of each service, and responseTimes how long the requests
	// of each take that do not stream.
	generationTimes map[string]*comfreyplacement.GenerationTimes
	responseTimes   map[string]*comfreyplacement.TimeEstimate
	queues          map[queueKey]*comfreyplacement.Queue
	// peerQueues are the queues of other gateways, and returns the refused requests
	// of all. departures holds how many replicas of each service leave at once.
	peerQueues map[string]peerQueue
	returns    *comfreyreturn.Ledger
	departures map[string]*comfreyplacement.Departures
	// storeCurrentAt is when the store cache was last known to be current, and
	// storeReachedAt when the store last responded to this gateway itself.
	storeCurrentAt time.Time
	storeReachedAt time.Time
}

// New returns a gateway that has no configuration and no replicas until it is
// started.
func New(c Config) *Gateway {
	g := &Gateway{
		config:          c.withDefaults(),
		storeCache:      comfreystorecache.New(),
		replicas:        comfreyreplica.NewSet(c.Replicas),
		health:          comfreyreplica.NewHealth(),
		lengths:         comfreylength.New(comfreylength.Config{}),
		retryBudgets:    map[string]*comfreyrouter.RetryBudget{},
		unaryLoads:      map[string]*unaryLoad{},
		paces:           map[string]*comfreypace.Tracker{},
		generations:     map[*generation]struct{}{},
		quarantine:      newQuarantine(c),
		observer:        comfreyquarantine.NewObserver(0),
		cancels:         map[comfreyquarantine.ExecutionID]context.CancelCauseFunc{},
		crashCheckedAt:  map[comfreyquarantine.Upstream]time.Time{},
		generationTimes: map[string]*comfreyplacement.GenerationTimes{},
		responseTimes:   map[string]*comfreyplacement.TimeEstimate{},
		queues:          map[queueKey]*comfreyplacement.Queue{},
		peerQueues:      map[string]peerQueue{},
		returns:         comfreyreturn.NewLedger(),
		departures:      map[string]*comfreyplacement.Departures{},
		division:        comfreyratelimit.NewDivision(c.Address),
	}
	g.unanswered, g.endUnanswered = context.WithCancel(context.Background())
	g.metrics = newMetrics(g)
	fleet := g.lengths.Distribution(comfreylength.Key{})
	g.estimator = comfreyoccupancy.NewEstimator(comfreyoccupancy.Config{RemainingTokens: fleet.RemainingTokens})
	return g
}

// Start runs the gateway's background tasks in its group.
func (g *Gateway) Start() {
	g.config.Group.Go("store", g.syncStore)
	g.config.Group.Go("tick", g.expire)
	g.config.Group.Go("reports", g.fetchReports)
	g.config.Group.Go("relieve", g.rebalance)
}

// Configure applies a changed retry limit, and changed periods of replicas.
func (g *Gateway) Configure(r RetryLimit, c comfreyreplica.Config) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.replicas.Configure(c)
	if g.config.Retry != r {
		g.config.Retry = r
		clear(g.retryBudgets)
	}
}

// StartDraining begins a planned stop: the gateway is no longer ready, and finishes
// open requests, but for those that it cannot serve before end, when their connections
// are closed. Until deregistered the load balancer may send new ones.
func (g *Gateway) StartDraining(deregistered, end time.Time) {
	g.stopTimes.Store(&stopTimes{deregistered: deregistered, end: end})
	g.isDraining.Store(true)
}

// EndUnanswered ends the requests whose response has not begun, at the end of a planned
// stop. Their callers get a final response: that a request has not run, if no replica can
// have received it, or that it may have run.
func (g *Gateway) EndUnanswered() {
	g.endUnanswered()
}

// Ready returns nil if the load balancer should send requests to this gateway,
// or the reason why not.
func (g *Gateway) Ready() error {
	switch {
	case g.isDraining.Load():
		return comfreyverdict.NotRun(comfreyverdict.ReasonLeaving, "")
	case g.table.Load() == nil:
		return comfreyverdict.NotRun(comfreyverdict.ReasonNoConfiguration, "")
	case g.ReplicaCount() == 0:
		return comfreyverdict.NotRun(comfreyverdict.ReasonNoUpstream, "")
	default:
		return nil
	}
}

// expire removes expired state until ctx ends.
func (g *Gateway) expire(ctx context.Context) error {
	swept := g.config.Now()
	for comfreygroup.Sleep(ctx, expiryInterval) {
		now := g.config.Now()
		g.mu.Lock()
		changes := g.replicas.Expire(now)
		if now.Sub(swept) >= sweepInterval {
			g.estimator.Expire(now)
			g.health.Expire(now)
			g.observer.Expire(now)
			g.division.Expire(now)
			g.returns.Expire(now)
			maps.DeleteFunc(g.peerQueues, func(_ string, q peerQueue) bool { return now.Sub(q.at) > peerQueueTimeout })
			for _, t := range g.paces {
				t.Expire(now)
			}
			maps.DeleteFunc(g.crashCheckedAt, func(_ comfreyquarantine.Upstream, at time.Time) bool { return now.Sub(at) > sweepInterval })
			g.expireUnaryLoads()
		}
		g.mu.Unlock()
		g.handleReplicaChanges(changes)
		g.addSilentCrashes()
		if now.Sub(swept) >= sweepInterval {
			swept = now
			g.config.Pool.Sweep()
		}
	}
	return nil
}

// expireUnaryLoads removes the loads of replicas that are no longer known. The
// mutex must be held.
func (g *Gateway) expireUnaryLoads() {
	maps.DeleteFunc(g.unaryLoads, func(id string, l *unaryLoad) bool {
		_, ok := g.replicas.Get(id)
		return !ok && l.inFlight == 0
	})
}

// fetchReports fetches the load reports of all engines, evenly spread over the
// interval, until ctx ends.
func (g *Gateway) fetchReports(ctx context.Context) error {
	for {
		l := g.engineReplicas()
		pause := noEnginesPause
		for _, r := range l {
			pause = max(g.currentReportInterval()/time.Duration(len(l)), minReportSpacing)
			if !comfreygroup.Sleep(ctx, pause) {
				return nil
			}
			if !g.mayFetchReport(r.ID) {
				continue
			}
			g.config.Group.Go("report", func(ctx context.Context) error {
				g.fetchReport(ctx, r)
				return nil
			})
		}
		if len(l) == 0 && !comfreygroup.Sleep(ctx, pause) {
			return nil
		}
	}
}

// currentReportInterval returns how often this gateway fetches each engine's
// report, in the current state of the store and number of gateways in the cell.
func (g *Gateway) currentReportInterval() time.Duration {
	age, _ := g.StoreAge()
	return comfreyoccupancy.ReportInterval(g.cellSize(), age)
}

// engineReplicas returns the replicas with engines that accept new work and are
// used by this gateway's cell.
func (g *Gateway) engineReplicas() []comfreyreplica.Replica {
	t := g.table.Load()
	if t == nil {
		return nil
	}
	layout := g.config.Layout()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Now()
	var l []comfreyreplica.Replica
	for _, r := range g.replicas.All() {
		if s, ok := t.Service(r.Service); ok && s.HasEngine && g.replicas.Accepts(r) && layout.IsHome(r.ID, r.DataCentre) && !errors.Is(g.replicas.MayCall(now, r.ID, comfreyreplica.PurposeControl), comfreyreplica.ErrPaused) {
			l = append(l, r)
		}
	}
	return l
}

// fetchReport fetches and applies the load report of one engine. That of another start is
// ignored; a later one shows that the engine has ended.
func (g *Gateway) fetchReport(ctx context.Context, r comfreyreplica.Replica) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	p, err := g.config.Engines.FetchReport(ctx, g.target(ctx, r.ID, r.Address, comfreyreplica.PurposeControl))
	now := g.config.Now()
	if _, ok := permitReason(err); ok || errors.Is(err, comfreycall.ErrOtherReplica) {
		return
	}
	if err != nil {
		if ctx.Err() == nil {
			g.record("", comfreydecision.KindUpstream, reasonOf(err, comfreyverdict.ReasonConnectionLost), map[string]any{"replica": r.ID, "error": err.Error()})
		}
		g.mu.Lock()
		g.health.Record(now, r.ID, true)
		g.mu.Unlock()
		return
	}
	if !p.IsOf(r) {
		g.record("", comfreydecision.KindUpstream, comfreyverdict.ReasonForeignReplica, map[string]any{"replica": r.ID, "born": r.StartMillis, "report-born": p.StartMillis})
		if p.ShowsReplacement(r) {
			g.observeReplaced(r.Start(), r.Address, "")
		}
		return
	}
	g.mu.Lock()
	var changes []comfreyreplica.Change
	g.estimator.SetReport(now, r.ID, p)
	if p.IsLeaving {
		changes = g.replicas.MarkLeaving(now, r.ID, p.LeavesIn)
	}
	g.mu.Unlock()
	g.handleReplicaChanges(changes)
	g.announceLeaving(changes)
	g.capacityChanges.notify()
}

// handleReplicaChanges records changed states of replicas, and moves the
// generations away from those that are leaving.
func (g *Gateway) handleReplicaChanges(changes []comfreyreplica.Change) {
	g.observeDepartures(changes)
	for _, c := range changes {
		r := c.Replica
		reason := comfreyverdict.ReasonAccepted
		if r.State == comfreyreplica.StateLeaving {
			reason = comfreyverdict.ReasonLeaving
		}
		g.record("", comfreydecision.KindUpstream, reason, map[string]any{
			"replica": r.ID, "service": r.Service, "address": r.Address, "state": r.State.String(), "new": c.IsNew, "born": r.StartMillis,
		})
		g.observeRegistration(c)
		if r.State == comfreyreplica.StateLeaving {
			g.config.Pool.CloseIdle(r.Address)
			if !r.IsReplaced && g.moveAway(r) {
				g.config.Group.Go("end", func(ctx context.Context) error {
					g.fetchLeaveTime(ctx, r)
					return nil
				})
			}
		}
	}
	if len(changes) > 0 {
		g.capacityChanges.notify()
	}
}

func (g *Gateway) record(request string, k comfreydecision.Kind, r comfreyverdict.Reason, fields map[string]any) {
	g.config.Recorder.Record(request, k, r, fields)
}

// gatewayCount returns the number of known gateways, including this one.
func (g *Gateway) gatewayCount() int {
	return g.config.Layout().FleetSize()
}

// cellSize returns the number of live gateways in this gateway's cell, including
// itself.
func (g *Gateway) cellSize() int {
	return len(g.config.Layout().LiveMembers()) + 1
}

// retryBudget returns the retry budget of a service. The gateways share out the
// slack of the service.
func (g *Gateway) retryBudget(service string) *comfreyrouter.RetryBudget {
	g.mu.Lock()
	defer g.mu.Unlock()
	slack := g.config.Retry.Slack / float64(max(minGateways, g.gatewayCount()))
	b, ok := g.retryBudgets[service]
	if !ok {
		b = comfreyrouter.NewRetryBudget(comfreyrouter.RetryBudgetConfig{Ratio: g.config.Retry.Ratio * retryRatioShare, Initial: min(slack, maxInitialRetries)})
		g.retryBudgets[service] = b
	}
	b.SetBurst(max(slack, 1))
	return b
}

// retryRatioShare is the part of the allowed retry ratio that is used. The rest
// is for requests that this gateway counts and the replicas do not count.
const retryRatioShare = 0.8

// ReplicaCount returns the number of replicas that accept new work.
func (g *Gateway) ReplicaCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, r := range g.replicas.All() {
		if r.IsAccepting() {
			n++
		}
	}
	return n
}
