package comfreyforward

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"comfreyridge.example/comfreyridge/comfreydecision"
	"comfreyridge.example/comfreyridge/comfreygroup"
	"comfreyridge.example/comfreyridge/comfreylength"
	"comfreyridge.example/comfreyridge/comfreyoccupancy"
	"comfreyridge.example/comfreyridge/comfreyplacement"
	"comfreyridge.example/comfreyridge/comfreyreplica"
	"comfreyridge.example/comfreyridge/comfreyroute"
	"comfreyridge.example/comfreyridge/comfreyrouter"
	"comfreyridge.example/comfreyridge/comfreystorecache"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// The periods of the gateway's own duties.
const (
	// reportInterval is how often each engine is asked for its load. Each
	// question has a price, and the answer is half a second old; what the
	// gateways run themselves they tell each other.
	reportInterval = 4 * time.Second
	// reportIntervalPerGateway bounds the questions of all gateways together to
	// two or three a second for each engine.
	reportIntervalPerGateway = 400 * time.Millisecond
	// minReportPause bounds the questions of one gateway to 50 a second, however
	// many engines there are.
	minReportPause = 20 * time.Millisecond
	// blindReportInterval is how often an engine is asked while the store does
	// not answer, since only its report tells then that it leaves.
	blindReportInterval = 400 * time.Millisecond
	// blindTime is how long the store may be silent before that.
	blindTime = watchTime + 600*time.Millisecond
	// reportTimeout bounds one question; an answer takes a few milliseconds.
	reportTimeout = 700 * time.Millisecond
	// tickInterval is how often beliefs are looked through for what expired.
	tickInterval = 100 * time.Millisecond
	// sweepInterval is how often idle connections are looked through.
	sweepInterval = time.Second
	// minGateways is how many gateways share the retry limit of a service at
	// least, as far as one of them knows: a deployment runs 4 to 8 on its entry
	// hosts, spare ones included.
	minGateways = 8
)

// Gateway forwards requests. It is safe for concurrent use.
type Gateway struct {
	config Config
	table  atomic.Pointer[comfreyroute.Table]
	// isStopping is set by a planned stop.
	isStopping atomic.Bool
	metrics    *metrics

	mu       sync.Mutex
	mirror   *comfreystorecache.Cache
	replicas *comfreyreplica.Set
	health   *comfreyreplica.Health
	board    *comfreyoccupancy.Estimator
	lengths  *comfreylength.Model
	budgets  map[string]*comfreyrouter.RetryBudget
	plain    map[string]*plainLoad
	streams  map[*generation]struct{}
	waiting  waitList
	lines    map[string]*comfreyplacement.Queue
	// contact is when the copy of the store was last known to be up to date, and
	// ownContact when the store itself said so to this gateway.
	contact    time.Time
	ownContact time.Time
}

// New returns a gateway that knows nothing yet.
func New(c Config) *Gateway {
	g := &Gateway{
		config:   c.withDefaults(),
		mirror:   comfreystorecache.New(),
		replicas: comfreyreplica.NewSet(comfreyreplica.Config{DrainPeriod: c.DrainPeriod}),
		health:   comfreyreplica.NewHealth(),
		lengths:  comfreylength.New(comfreylength.Config{}),
		budgets:  map[string]*comfreyrouter.RetryBudget{},
		plain:    map[string]*plainLoad{},
		streams:  map[*generation]struct{}{},
		lines:    map[string]*comfreyplacement.Queue{},
	}
	g.metrics = newMetrics(g)
	fleet := g.lengths.Distribution(comfreylength.Key{})
	g.board = comfreyoccupancy.NewEstimator(comfreyoccupancy.Config{RemainingTokens: fleet.RemainingTokens})
	return g
}

// Start runs the gateway's own duties in its group.
func (g *Gateway) Start() {
	g.config.Group.Go("store", g.followStore)
	g.config.Group.Go("tick", g.tick)
	g.config.Group.Go("reports", g.askReports)
	g.config.Group.Go("relieve", g.relieveAll)
}

// Configure takes changed limits of retries and a changed drain time.
func (g *Gateway) Configure(r RetryLimit, drain time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.replicas.Configure(comfreyreplica.Config{DrainPeriod: drain})
	if g.config.Retry != r {
		g.config.Retry = r
		clear(g.budgets)
	}
}

// StartDraining begins a planned stop: the gateway is no longer ready, and finishes
// what it has.
func (g *Gateway) StartDraining() {
	g.isStopping.Store(true)
}

// Ready returns nil if callers should be sent to this gateway, or the reason
// why not.
func (g *Gateway) Ready() error {
	switch {
	case g.isStopping.Load():
		return comfreyverdict.NotRun(comfreyverdict.ReasonLeaving, "")
	case g.table.Load() == nil:
		return comfreyverdict.NotRun(comfreyverdict.ReasonNoConfiguration, "")
	case g.ReplicaCount() == 0:
		return comfreyverdict.NotRun(comfreyverdict.ReasonNoUpstream, "")
	default:
		return nil
	}
}

// tick expires beliefs.
func (g *Gateway) tick(ctx context.Context) error {
	swept := g.config.Now()
	for comfreygroup.Sleep(ctx, tickInterval) {
		now := g.config.Now()
		g.mu.Lock()
		changes := g.replicas.Expire(now)
		if now.Sub(swept) >= sweepInterval {
			g.board.Expire(now)
			g.health.Expire(now)
		}
		g.mu.Unlock()
		g.noteChanges(changes)
		if now.Sub(swept) >= sweepInterval {
			swept = now
			g.config.Pool.Sweep()
		}
	}
	return nil
}

// askReports asks every engine for its load, spread over the interval.
func (g *Gateway) askReports(ctx context.Context) error {
	for {
		l := g.engineReplicas()
		pause := reportInterval
		for _, r := range l {
			pause = max(g.reportPause()/time.Duration(len(l)), minReportPause)
			if !comfreygroup.Sleep(ctx, pause) {
				return nil
			}
			g.config.Group.Go("report", func(ctx context.Context) error {
				g.askReport(ctx, r)
				return nil
			})
		}
		if len(l) == 0 && !comfreygroup.Sleep(ctx, pause) {
			return nil
		}
	}
}

// reportPause returns how often each engine is asked at present.
func (g *Gateway) reportPause() time.Duration {
	if age, ok := g.StoreAge(); ok && age > blindTime {
		return blindReportInterval
	}
	return max(reportInterval, time.Duration(g.fleetSize())*reportIntervalPerGateway)
}

// engineReplicas returns the replicas that generate text and take new work.
func (g *Gateway) engineReplicas() []comfreyreplica.Replica {
	t := g.table.Load()
	if t == nil {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	var l []comfreyreplica.Replica
	for _, r := range g.replicas.All() {
		if s, ok := t.Service(r.Service); ok && s.HasEngine && r.IsAccepting() {
			l = append(l, r)
		}
	}
	return l
}

// askReport asks one engine for its load.
func (g *Gateway) askReport(ctx context.Context, r comfreyreplica.Replica) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	p, err := g.config.Engines.FetchReport(ctx, r.Address)
	now := g.config.Now()
	if err != nil {
		if ctx.Err() == nil {
			g.record("", comfreydecision.KindUpstream, comfreyverdict.ReasonConnectionLost, map[string]any{"replica": r.ID, "error": err.Error()})
		}
		g.mu.Lock()
		g.health.Record(now, r.ID, true)
		g.mu.Unlock()
		return
	}
	g.mu.Lock()
	var changes []comfreyreplica.Change
	if p.StartMillis == 0 || r.StartMillis == 0 || p.StartMillis == r.StartMillis {
		g.board.SetReport(now, r.ID, p)
		if p.IsLeaving {
			changes = g.replicas.MarkLeaving(now, r.ID, p.LeavesIn)
		}
	}
	g.mu.Unlock()
	g.noteChanges(changes)
	g.waiting.wake()
}

// noteChanges records changed beliefs about replicas and starts what follows
// from them.
func (g *Gateway) noteChanges(changes []comfreyreplica.Change) {
	for _, c := range changes {
		r := c.Replica
		reason := comfreyverdict.ReasonAccepted
		if r.State == comfreyreplica.StateLeaving {
			reason = comfreyverdict.ReasonLeaving
		}
		g.record("", comfreydecision.KindUpstream, reason, map[string]any{
			"replica": r.ID, "service": r.Service, "address": r.Address, "state": r.State.String(), "new": c.IsNew, "born": r.StartMillis,
		})
		if r.State == comfreyreplica.StateLeaving {
			g.config.Pool.CloseIdle(r.Address)
			g.config.Announce()
			if g.moveAway(r) {
				g.config.Group.Go("end", func(ctx context.Context) error {
					g.askEnd(ctx, r)
					return nil
				})
			}
		}
	}
	if len(changes) > 0 {
		g.waiting.wake()
	}
}

func (g *Gateway) record(request string, k comfreydecision.Kind, r comfreyverdict.Reason, figures map[string]any) {
	g.config.Recorder.Record(request, k, r, figures)
}

// fleetSize returns how many gateways are known, this one included.
func (g *Gateway) fleetSize() int {
	return len(g.config.Peers()) + 1
}

// retryBudget returns the budget of a service.
func (g *Gateway) retryBudget(service string) *comfreyrouter.RetryBudget {
	g.mu.Lock()
	defer g.mu.Unlock()
	b, ok := g.budgets[service]
	if !ok {
		slack := g.config.Retry.Slack / float64(max(minGateways, g.fleetSize()))
		b = comfreyrouter.NewRetryBudget(comfreyrouter.RetryBudgetConfig{Ratio: g.config.Retry.Ratio * retryShare, Burst: max(slack, 1), Initial: slack})
		g.budgets[service] = b
	}
	return b
}

// retryShare is the part of the allowed ratio of retries that is used, so that
// requests that this gateway counts and the replicas do not count leave room.
const retryShare = 0.8

// ReplicaCount returns how many replicas take new work.
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
