package comfreyroutesim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"comfreyridge.example/comfreyridge/comfreyfleet"
)

const (
	service         = "generations"
	nearDelay       = 300 * time.Microsecond
	farDelay        = 1500 * time.Microsecond
	dialTimeout     = 300 * time.Millisecond
	probeInterval   = 100 * time.Millisecond
	prefixExponent  = 1.1
	unhintedBackoff = time.Second
)

// request is one request of a caller.
type request struct {
	gateway  *gateway
	prefix   uint64
	service  time.Duration
	deadline time.Time
	queuedAt time.Time
	tries    int
	returns  int
	excluded []string
}

// model is the state of one run.
type model struct {
	config   Config
	clock    clock
	random   *rand.Rand
	lengths  distuv.LogNormal
	gateways []*gateway
	replicas []*replica
	byHost   map[string]*replica
	report   *Report
	start    time.Time
}

// Run runs the model and reports what it measured.
func Run(c Config) *Report {
	m := newModel(c)
	for _, g := range m.gateways {
		m.clock.after(m.interval(g), func() { m.arrive(g) })
		m.refresh(g)
		m.probe(g)
	}
	if c.FaultTo > c.FaultFrom {
		m.clock.after(c.FaultFrom, func() { m.setFault(true) })
		m.clock.after(c.FaultTo, func() { m.setFault(false) })
	}
	m.clock.run(m.start.Add(c.Warmup + c.Duration))
	return m.report
}

func newModel(c Config) *model {
	start := time.Unix(1_800_000_000, 0)
	s := rand.NewPCG(c.Seed, 1)
	mu := math.Log(c.ServiceMean.Seconds()) - c.ServiceSigma*c.ServiceSigma/2
	m := &model{
		config:  c,
		clock:   clock{now: start},
		random:  rand.New(s),
		lengths: distuv.LogNormal{Mu: mu, Sigma: c.ServiceSigma, Src: s},
		byHost:  map[string]*replica{},
		report:  newReport(start, c),
		start:   start,
	}
	var members []comfreyfleet.Member
	for i := range c.Replicas {
		h := fmt.Sprintf("upstream-%03d", i)
		r := &replica{model: m, member: comfreyfleet.Member{Host: h, DataCentre: centreName(i % c.DataCentres), Service: service}}
		m.replicas = append(m.replicas, r)
		m.byHost[h] = r
		members = append(members, r.member)
	}
	v := comfreyfleet.NewView(1, start, members)
	for i := range c.Gateways {
		m.gateways = append(m.gateways, newGateway(m, i, v))
	}
	return m
}

func centreName(i int) string {
	return fmt.Sprintf("centre-%d", i)
}

// interval draws the time to the next request of a gateway.
func (m *model) interval(g *gateway) time.Duration {
	c := m.config
	rate := c.Utilisation * float64(c.Slots*c.Replicas) / c.ServiceMean.Seconds() / float64(c.Gateways)
	if c.Skew > 0 {
		rest := (float64(c.DataCentres) - c.Skew) / float64(c.DataCentres-1)
		if g.centre == centreName(0) {
			rest = c.Skew
		}
		rate *= rest
	}
	return time.Duration(m.random.ExpFloat64() / rate * float64(time.Second))
}

// arrive makes a new request and schedules the next one.
func (m *model) arrive(g *gateway) {
	m.clock.after(m.interval(g), func() { m.arrive(g) })
	q := &request{gateway: g, service: time.Duration(m.lengths.Rand() * float64(time.Second)), prefix: m.random.Uint64() | 1}
	if m.config.Prefixes > 0 {
		rank := math.Pow(float64(m.config.Prefixes), math.Pow(m.random.Float64(), prefixExponent))
		q.prefix = uint64(rank) * 0x9e3779b97f4a7c15
	}
	m.send(q)
}

// send is the caller sending a request, for the first time or again.
func (m *model) send(q *request) {
	q.deadline = m.clock.now.Add(m.config.Patience)
	q.tries = 0
	q.excluded = nil
	m.report.sent(m.clock.now)
	q.gateway.budget.RecordRequest(m.clock.now)
	m.attempt(q)
}

// answered takes the end of a request back to its gateway, with a hint.
func (m *model) answered(r *replica, q *request) {
	m.report.answered(m.clock.now)
	m.hint(q.gateway, r)
}

// hint sends the load of a replica to a gateway, unless the gateways get all
// hints at each period.
func (m *model) hint(g *gateway, r *replica) {
	if m.config.HintPeriod >= 0 {
		return
	}
	h := r.hint(m.clock.now)
	m.clock.after(m.delay(g, r)+m.config.HintDelay, func() { g.observe(r, h) })
}

func (m *model) delay(g *gateway, r *replica) time.Duration {
	if g.centre == r.member.DataCentre {
		return nearDelay
	}
	return farDelay
}

// expired ends a request whose caller stopped waiting.
func (m *model) expired(q *request) {
	m.report.expired(m.clock.now)
	m.comeBack(q, 0)
}

// comeBack makes a refused caller send its request again.
func (m *model) comeBack(q *request, told time.Duration) {
	if q.returns >= m.config.Returns {
		m.report.gaveUp++
		return
	}
	q.returns++
	w := callerBackoff.Delay(q.returns, told, m.random.Float64())
	m.clock.after(w, func() { m.send(q) })
}

// setFault fails or restores the upstreams of the first data centre.
func (m *model) setFault(down bool) {
	for _, r := range m.replicas {
		if r.member.DataCentre != centreName(0) {
			continue
		}
		if down {
			r.fail()
		}
		r.down = down
	}
}
