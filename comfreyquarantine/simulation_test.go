package comfreyquarantine_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"comfreyridge.example/comfreyridge/comfreyquarantine"
)

// simulationConfig describes a fleet and the caller of one crashing request in
// it.
type simulationConfig struct {
	hosts, gateways int
	// hasWitness makes sidecars acquire a lease from the witness before they start
	// a request.
	hasWitness bool
	// lostCallRatio is the share of calls to the witness that get no response.
	lostCallRatio float64
	// isPartitioned separates the hosts and gateways with even numbers from the
	// others.
	isPartitioned bool
	// hostListsDiffer removes the first witness of the crashing request from the
	// host lists of the hosts with odd numbers.
	hostListsDiffer bool
	// otherCrashing is the number of other crashing requests that are sent at the
	// same time.
	otherCrashing int
	// copies is the number of copies of the crashing request that are sent at
	// once, and maxAttempts the maximum number of attempts for each.
	copies, maxAttempts int
	// retryInterval is the mean time before a caller sends a failed request again;
	// half of it is the minimum.
	retryInterval time.Duration
	// requestsPerUpstream is the number of harmless requests in flight at each
	// upstream.
	requestsPerUpstream int
}

const (
	networkDelay   = time.Millisecond
	gossipInterval = time.Second / 21
	restartTime    = time.Minute
	executionTime  = 2 * time.Second
	maxRefusals    = 3
	witnessCount   = 3
	simulationTime = 10 * time.Second
)

// callerRequest is a request that its caller sends again until it completes or
// has been refused often enough.
type callerRequest struct {
	fingerprint comfreyquarantine.Fingerprint
	isCrashing  bool
	attempts    int
	refusals    int
}

type upstream struct {
	index      int
	table      *comfreyquarantine.Table
	witness    *comfreyquarantine.Witness
	downUntil  time.Time
	executions map[comfreyquarantine.ExecutionID]execution
}

// execution is a request in flight at an upstream, with the gateway that relays
// it and the witness that granted its lease.
type execution struct {
	request *callerRequest
	gateway int
	witness *upstream
}

// simulation is a virtual fleet with a virtual clock.
type simulation struct {
	simulationConfig
	r               *rand.Rand
	now             time.Time
	end             time.Time
	events          events
	seq             uint64
	names           []string
	upstreams       []*upstream
	gateways        []*comfreyquarantine.Table
	crashes         int
	crashingEnded   int
	crashingRefused int
	refused         int
	recovered       int
	interrupted     int
	slowestRecovery time.Duration
	crashedAt       time.Time
}

func newSimulation(c simulationConfig, r *rand.Rand) *simulation {
	m := &simulation{simulationConfig: c, r: r, now: time.Unix(1764796800, 0)}
	m.end = m.now.Add(simulationTime)
	for i := range c.hosts {
		m.names = append(m.names, fmt.Sprint("host-", i))
		t := comfreyquarantine.NewTable(comfreyquarantine.Config{Host: m.names[i], Incarnation: 1})
		u := &upstream{
			index:      i,
			table:      t,
			witness:    comfreyquarantine.NewWitness(comfreyquarantine.WitnessConfig{LeaseDuration: time.Hour}, t),
			executions: map[comfreyquarantine.ExecutionID]execution{},
		}
		m.upstreams = append(m.upstreams, u)
	}
	for range c.gateways {
		m.gateways = append(m.gateways, comfreyquarantine.NewTable(comfreyquarantine.Config{}))
	}
	return m
}

// run sends the crashing requests and returns when no event is left, or when
// only one upstream has not crashed.
func (m *simulation) run() {
	for i, u := range m.upstreams {
		for j := range m.requestsPerUpstream {
			c := &callerRequest{fingerprint: comfreyquarantine.NewFingerprint("al-jabal", "report", fmt.Append(nil, i, " ", j)), attempts: 1}
			m.start(u, execution{request: c, gateway: m.r.IntN(len(m.gateways))}, comfreyquarantine.DecisionAllow)
		}
	}
	for i := range m.copies + m.otherCrashing {
		c := &callerRequest{fingerprint: crashingFingerprint(max(0, i-m.copies+1)), isCrashing: true}
		m.schedule(time.Duration(m.r.Int64N(int64(10*networkDelay))), func() { m.send(c) })
	}
	for g := range m.gateways {
		m.scheduleGossip(g)
	}
	for len(m.events) > 0 && m.crashes < m.hosts-1 {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.do()
	}
}

func crashingFingerprint(i int) comfreyquarantine.Fingerprint {
	return comfreyquarantine.NewFingerprint("al-jabal", "report", fmt.Append(nil, "bad ", i))
}

// canReach reports whether two processes are in the same network partition.
func (m *simulation) canReach(i, j int) bool {
	return !m.isPartitioned || i%2 == j%2
}

// randomUpstream returns a random upstream that is up and that the gateway g
// can reach.
func (m *simulation) randomUpstream(g int) *upstream {
	for {
		u := m.upstreams[m.r.IntN(len(m.upstreams))]
		if m.canReach(g, u.index) && !m.now.Before(u.downUntil) {
			return u
		}
	}
}

// send sends a request through a random gateway to a random upstream.
func (m *simulation) send(c *callerRequest) {
	if c.isCrashing && c.attempts >= m.maxAttempts {
		m.crashingEnded++
		return
	}
	c.attempts++
	g := m.r.IntN(len(m.gateways))
	if m.gateways[g].Decide(m.now, c.fingerprint) == comfreyquarantine.DecisionRefuse {
		m.refuse(c)
		return
	}
	u := m.randomUpstream(g)
	m.schedule(networkDelay, func() { m.arrive(u, c, g) })
}

func (m *simulation) arrive(u *upstream, c *callerRequest, g int) {
	d := u.table.Decide(m.now, c.fingerprint)
	if !m.hasWitness || d >= comfreyquarantine.DecisionWait {
		m.applyDecision(u, c, g, nil, d)
		return
	}
	for i, w := range m.witnesses(c.fingerprint) {
		isHidden := m.hostListsDiffer && i == 0 && u.index%2 == 1
		if !isHidden && m.canReach(u.index, w.index) && m.r.Float64() >= m.lostCallRatio {
			m.schedule(networkDelay, func() { m.acquire(u, c, g, w) })
			return
		}
	}
	m.applyDecision(u, c, g, nil, d)
}

func (m *simulation) acquire(u *upstream, c *callerRequest, g int, w *upstream) {
	w.table.Merge(m.now, u.table.RecordsFor(c.fingerprint))
	d := w.witness.Acquire(m.now, c.fingerprint, m.name(u))
	s := w.table.RecordsFor(c.fingerprint)
	m.schedule(networkDelay, func() {
		u.table.Merge(m.now, s)
		m.witnessDecided(u, c, g, w, d)
	})
}

// witnessDecided applies the decision of the witness, or a stricter one that
// the upstream has reached in the meantime.
func (m *simulation) witnessDecided(u *upstream, c *callerRequest, g int, w *upstream, d comfreyquarantine.Decision) {
	e := max(d, u.table.Decide(m.now, c.fingerprint))
	if e == comfreyquarantine.DecisionIsolate {
		e = u.table.DecideIsolation(m.now, c.fingerprint)
	}
	if m.now.Before(u.downUntil) {
		e = max(e, comfreyquarantine.DecisionWait)
	}
	if d <= comfreyquarantine.DecisionIsolate && e > comfreyquarantine.DecisionIsolate {
		m.release(u, execution{c, g, w}, false)
	}
	m.applyDecision(u, c, g, w, e)
}

func (m *simulation) applyDecision(u *upstream, c *callerRequest, g int, w *upstream, d comfreyquarantine.Decision) {
	switch {
	case d == comfreyquarantine.DecisionRefuse:
		m.gateways[g].Merge(m.now, u.table.RecordsFor(c.fingerprint))
		m.refuse(c)
	case d == comfreyquarantine.DecisionWait || m.now.Before(u.downUntil):
		c.attempts--
		m.schedule(m.exponential(200*time.Millisecond), func() { m.send(c) })
	default:
		m.start(u, execution{c, g, w}, d)
	}
}

func (m *simulation) start(u *upstream, n execution, d comfreyquarantine.Decision) {
	id := u.table.Start(n.request.fingerprint, d)
	u.executions[id] = n
	if n.request.isCrashing {
		m.schedule(m.exponential(executionTime/4), func() { m.crash(u, id) })
		return
	}
	if n.request.attempts > 1 {
		m.schedule(m.exponential(executionTime), func() { m.complete(u, id) })
	}
}

func (m *simulation) complete(u *upstream, id comfreyquarantine.ExecutionID) {
	n, ok := u.executions[id]
	if !ok {
		return
	}
	u.table.Finish(id, true)
	delete(u.executions, id)
	m.release(u, n, true)
	m.recovered++
	m.slowestRecovery = max(m.slowestRecovery, m.now.Sub(m.crashedAt))
}

// crash ends all executions at an upstream. It sends the crash record to the
// gateways that relayed the requests and to the witnesses of each request.
func (m *simulation) crash(u *upstream, id comfreyquarantine.ExecutionID) {
	if _, ok := u.executions[id]; !ok {
		return
	}
	m.crashes++
	m.crashedAt = m.now
	u.downUntil = m.now.Add(restartTime)
	r, _ := u.table.RecordCrash(m.now)
	s := []comfreyquarantine.CrashRecord{r}
	for _, id := range slices.Sorted(maps.Keys(u.executions)) {
		n := u.executions[id]
		m.schedule(networkDelay, func() { m.gateways[n.gateway].Merge(m.now, s) })
		if m.hasWitness {
			m.notifyWitnesses(u, n.request, s)
		}
		m.release(u, n, false)
		m.schedule(networkDelay+m.retryDelay(), func() { m.send(n.request) })
		if !n.request.isCrashing {
			m.interrupted++
		}
	}
	clear(u.executions)
}

func (m *simulation) notifyWitnesses(u *upstream, c *callerRequest, s []comfreyquarantine.CrashRecord) {
	for _, w := range m.witnesses(c.fingerprint) {
		if m.canReach(u.index, w.index) {
			m.schedule(networkDelay, func() { w.table.Merge(m.now, s) })
		}
	}
}

// release ends the lease of an execution, if a witness granted one.
func (m *simulation) release(u *upstream, n execution, hasCompleted bool) {
	if n.witness == nil {
		return
	}
	m.schedule(networkDelay, func() { n.witness.witness.Release(m.now, n.request.fingerprint, m.name(u), hasCompleted) })
}

func (m *simulation) refuse(c *callerRequest) {
	c.refusals++
	if !c.isCrashing {
		m.refused++
		return
	}
	if c.refusals < maxRefusals {
		m.schedule(m.retryDelay(), func() { m.send(c) })
		return
	}
	m.crashingRefused++
	m.crashingEnded++
}

// gossip exchanges records between a gateway and a random sidecar, as the
// messages of ordinary requests do.
func (m *simulation) gossip(g int) {
	u := m.upstreams[m.r.IntN(len(m.upstreams))]
	if !m.canReach(g, u.index) {
		m.scheduleGossip(g)
		return
	}
	m.gateways[g].Merge(m.now, u.table.GossipBatch(m.now, 2))
	u.table.Merge(m.now, m.gateways[g].GossipBatch(m.now, 2))
	if m.now.Before(m.end) || m.crashingEnded < m.copies+m.otherCrashing {
		m.scheduleGossip(g)
	}
}

func (m *simulation) scheduleGossip(g int) {
	m.schedule(m.exponential(gossipInterval), func() { m.gossip(g) })
}

func (m *simulation) witnesses(p comfreyquarantine.Fingerprint) []*upstream {
	var s []*upstream
	for _, h := range comfreyquarantine.WitnessHosts(p, m.names, witnessCount) {
		s = append(s, m.upstreams[slices.Index(m.names, h)])
	}
	return s
}

func (m *simulation) name(u *upstream) string {
	return m.names[u.index]
}

func (m *simulation) retryDelay() time.Duration {
	return m.retryInterval/2 + m.exponential(m.retryInterval/2)
}

func (m *simulation) exponential(mean time.Duration) time.Duration {
	return time.Duration(m.r.ExpFloat64() * float64(mean))
}
