package comfreyroutesim

import (
	"fmt"
	"time"

	"comfreyridge.example/comfreyridge/comfreyfleet"
	"comfreyridge.example/comfreyridge/comfreyrouter"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// callerBackoff is how callers come back that were not told when.
var callerBackoff = comfreyrouter.Backoff{Base: unhintedBackoff}

// gateway is an entry host with the decision packages that serve.
type gateway struct {
	centre  string
	router  *comfreyrouter.Router
	tracker *comfreyfleet.Tracker
	retrier *comfreyrouter.Retrier
	budget  *comfreyrouter.RetryBudget
	members []comfreyfleet.Member
}

func newGateway(m *model, i int, v comfreyfleet.View) *gateway {
	c := m.config.Router
	c.Gateway = fmt.Sprintf("gateway-%03d", i)
	c.DataCentre = centreName(i % m.config.DataCentres)
	c.Seed = m.config.Seed
	b := comfreyrouter.NewRetryBudget(retryConfig(m.config))
	g := &gateway{
		centre:  c.DataCentre,
		router:  comfreyrouter.New(c),
		tracker: comfreyfleet.NewTracker(comfreyfleet.TrackerConfig{}),
		budget:  b,
		retrier: comfreyrouter.NewRetrier(comfreyrouter.RetrierConfig{Budget: b}),
	}
	g.tracker.Update(v)
	g.update(m.clock.now)
	return g
}

func retryConfig(c Config) comfreyrouter.RetryBudgetConfig {
	if c.NoBudget {
		return comfreyrouter.RetryBudgetConfig{Ratio: 1000, Burst: 1e9}
	}
	return comfreyrouter.RetryBudgetConfig{}
}

// update gives the router the upstreams that the tracker believes in.
func (g *gateway) update(now time.Time) {
	g.members = g.tracker.Candidates(now, service)
	g.router.Update(now, g.members)
}

// observe takes a hint, which also proves that the upstream answers.
func (g *gateway) observe(r *replica, h comfreyrouter.Hint) {
	g.router.Observe(h.At, r.member.Host, h)
	doubted := g.tracker.Suspicion(r.member.Host) != comfreyfleet.SuspicionNone
	g.tracker.Observe(h.At, r.member.Host, comfreyfleet.Status{Accepting: true})
	if doubted {
		g.update(r.model.clock.now)
	}
}

// attempt sends a request to the upstream that the router chooses.
func (m *model) attempt(q *request) {
	g := q.gateway
	if m.config.HintPeriod == 0 {
		m.refreshAll(g)
	}
	u := comfreyrouter.Query{Service: service, ExcludedHosts: q.excluded}
	if m.config.Affinity {
		u.PrefixHash = q.prefix
	}
	c, err := g.router.Choose(m.clock.now, u)
	if err != nil {
		m.failed(q, err)
		return
	}
	r := m.byHost[c.Host]
	q.tries++
	q.excluded = append(q.excluded, c.Host)
	m.report.chosen(m.clock.now, c)
	m.clock.after(m.delay(g, r), func() { m.reach(q, r) })
}

// reach is a request reaching the sidecar, or the silence of a dead host.
func (m *model) reach(q *request, r *replica) {
	if r.down {
		m.clock.after(dialTimeout, func() {
			q.gateway.tracker.Suspect(m.clock.now, r.member.Host, comfreyfleet.EvidenceDialFailed)
			q.gateway.update(m.clock.now)
			m.failed(q, comfreyverdict.NotRun(comfreyverdict.ReasonDialFailed, ""))
		})
		return
	}
	err := r.submit(q)
	m.hint(q.gateway, r)
	if err != nil {
		m.clock.after(m.delay(q.gateway, r), func() { m.failed(q, err) })
	}
}

// failed retries a request or gives the caller the final answer at once.
func (m *model) failed(q *request, err error) {
	e := comfreyverdict.From(err)
	a := comfreyrouter.FailedAttempt{Attempts: q.tries, Idempotent: true, Deadline: q.deadline, Err: e, Random: m.random.Float64()}
	n := q.gateway.retrier.Decide(m.clock.now, a)
	if n.ShouldRetry {
		m.report.retried(m.clock.now)
		m.clock.after(n.Delay, func() { m.attempt(q) })
		return
	}
	m.report.refused(m.clock.now)
	m.comeBack(q, e.RetryAfter)
}

// refresh gives a gateway the hints of all upstreams at each period.
func (m *model) refresh(g *gateway) {
	p := m.config.HintPeriod
	if p <= 0 {
		return
	}
	m.refreshAll(g)
	m.clock.after(time.Duration((0.5+m.random.Float64())*float64(p)), func() { m.refresh(g) })
}

func (m *model) refreshAll(g *gateway) {
	for _, b := range g.members {
		r := m.byHost[b.Host]
		g.router.Observe(m.clock.now, b.Host, r.hint(m.clock.now))
	}
}

// probe sends the probes of a gateway that are due, and looks at suspected
// upstreams whose back-off is over.
func (m *model) probe(g *gateway) {
	m.clock.after(probeInterval, func() { m.probe(g) })
	for _, b := range g.router.Probes(m.clock.now) {
		r := m.byHost[b.Host]
		if r.down {
			continue
		}
		m.report.probes++
		m.clock.after(m.delay(g, r), func() { m.hint(g, r) })
	}
	for _, b := range g.tracker.DueProbes(m.clock.now) {
		m.try(g, m.byHost[b.Host])
	}
}

// try probes a suspected upstream on a new connection.
func (m *model) try(g *gateway, r *replica) {
	if !r.down {
		m.clock.after(m.delay(g, r), func() { m.hint(g, r) })
		return
	}
	m.clock.after(dialTimeout, func() {
		g.tracker.Suspect(m.clock.now, r.member.Host, comfreyfleet.EvidenceDialFailed)
	})
}
