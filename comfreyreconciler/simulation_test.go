package comfreyreconciler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyreconciler"
)

const (
	leaseTime      = 5 * time.Second
	commandTimeout = 3 * time.Second
	loadTime       = 2 * time.Second
	tick           = 100 * time.Millisecond
)

// fakeEngine is an upstream that enforces fencing numbers or ignores them.
type fakeEngine struct {
	isEnforced           bool
	reportsFencingNumber bool
	state                comfreyreconciler.State
	highestFencingNumber comfreyreconciler.FencingNumber
	applied              []comfreyreconciler.FencingNumber
	busyUntil            time.Time
}

func (e *fakeEngine) apply(t *testing.T, now time.Time, c comfreyreconciler.Command) comfreyreconciler.Result {
	if e.isEnforced && c.FencingNumber.Compare(e.highestFencingNumber) <= 0 {
		return comfreyreconciler.ResultFenced
	}
	if n := len(e.applied); e.isEnforced && n > 0 && isOlder(c.FencingNumber, e.applied[n-1]) {
		t.Fatalf("command %s takes effect after %s", c.FencingNumber, e.applied[n-1])
	}
	if c.FencingNumber.Compare(e.highestFencingNumber) > 0 {
		e.highestFencingNumber = c.FencingNumber
	}
	e.state = c.Apply(e.state)
	e.applied = append(e.applied, c.FencingNumber)
	if c.LoadsWeights() {
		e.busyUntil = now.Add(loadTime)
	}
	return comfreyreconciler.ResultAccepted
}

// isOlder compares fencing numbers as the design defines it, independently of
// FencingNumber.Compare.
func isOlder(f, g comfreyreconciler.FencingNumber) bool {
	if f.Revision != g.Revision {
		return f.Revision < g.Revision
	}
	if f.Incarnation != g.Incarnation {
		return f.Incarnation < g.Incarnation
	}
	return f.Counter < g.Counter
}

func (e *fakeEngine) read(now time.Time) comfreyreconciler.Observation {
	o := comfreyreconciler.Observation{State: e.state, IsBusy: now.Before(e.busyUntil)}
	if e.reportsFencingNumber {
		o.FencingNumber = e.highestFencingNumber
	}
	return o
}

// delivery is a command in flight to the engine. Its sender gives up at the
// timeout, and the engine may still receive the command if it was not cancelled
// in time.
type delivery struct {
	command comfreyreconciler.Command
	from    *sidecar
	at      time.Time
}

// sidecar is one incarnation of the sidecar.
type sidecar struct {
	reconciler *comfreyreconciler.Reconciler
	isPaused   bool
	leaseEnd   time.Time
	// unsent is a command between BeginSend and its first byte.
	unsent *comfreyreconciler.Command
	// exitsAfterSend means that the process exits once it has sent its unsent
	// command.
	exitsAfterSend bool
}

// simulation is one upstream with its sidecars and the configuration.
type simulation struct {
	t               *testing.T
	r               *rand.Rand
	now             time.Time
	engine          fakeEngine
	sidecars        []*sidecar
	network         []delivery
	revision        uint64
	desired         comfreyreconciler.State
	isFaultFree     bool
	staleDeliveries int
}

func newSimulation(t *testing.T, r *rand.Rand, isEnforced bool) *simulation {
	m := &simulation{t: t, r: r, now: time.Unix(1764796800, 0)}
	m.engine = fakeEngine{isEnforced: isEnforced, reportsFencingNumber: r.IntN(2) == 0}
	m.publish()
	m.replaceSidecar()
	return m
}

func (m *simulation) publish() {
	m.revision++
	m.desired = comfreyreconciler.State{
		Model:   fmt.Sprint("model-", m.r.IntN(2)),
		Version: fmt.Sprint(m.r.IntN(2)),
		Adapter: fmt.Sprint("adapter-", m.r.IntN(2)),
		Role:    fmt.Sprint("role-", m.r.IntN(2)),
	}
}

// replaceSidecar starts a new sidecar. The previous ones are paused at whatever
// point they have reached and may resume later.
func (m *simulation) replaceSidecar() {
	for _, s := range m.sidecars {
		s.isPaused = true
	}
	n := uint64(len(m.sidecars) + 1)
	m.sidecars = append(m.sidecars, &sidecar{reconciler: comfreyreconciler.NewReconciler(comfreyreconciler.Config{
		Incarnation:       n,
		Start:             m.now,
		TakeoverDelay:     commandTimeout + leaseTime,
		IsFencingEnforced: m.engine.isEnforced,
		CommandTimeout:    commandTimeout,
		ResyncInterval:    5 * time.Second,
	})})
}

func (m *simulation) step() {
	m.now = m.now.Add(time.Duration(m.r.ExpFloat64() * float64(tick)))
	m.deliver()
	for _, s := range m.sidecars {
		if !s.isPaused {
			m.perform(s)
		}
	}
	if m.isFaultFree {
		return
	}
	switch n := m.r.IntN(400); {
	case n < 4:
		m.publish()
	case n < 8:
		s := m.sidecars[m.r.IntN(len(m.sidecars))]
		s.isPaused = !s.isPaused
	case n < 10 && len(m.sidecars) < 4:
		m.replaceSidecar()
	case n < 11:
		m.now = m.now.Add(time.Duration(m.r.Int64N(int64(20 * time.Second))))
	}
}

// stepUntilSettled lets the newest sidecar reach the newest desired state while
// the replaced ones stay paused.
func (m *simulation) stepUntilSettled() {
	m.isFaultFree = true
	for _, s := range m.sidecars {
		s.isPaused = true
	}
	m.sidecars[len(m.sidecars)-1].isPaused = false
	for end := m.now.Add(time.Minute); m.now.Before(end); {
		m.step()
	}
}

// endFaults ends the faults. Every process resumes, and some of the replaced
// ones exit after they have sent the command that was unsent while they were
// paused.
func (m *simulation) endFaults() {
	m.isFaultFree = true
	for i, s := range m.sidecars {
		s.isPaused = false
		s.exitsAfterSend = i < len(m.sidecars)-1 && m.r.IntN(2) == 0
	}
}

// perform carries out the next action of a sidecar that is not paused.
func (m *simulation) perform(s *sidecar) {
	if s.unsent != nil {
		m.network = append(m.network, delivery{*s.unsent, s, m.now.Add(time.Duration(m.r.Int64N(int64(commandTimeout))))})
		s.reconciler.RecordSent(m.now, s.unsent.FencingNumber)
		s.unsent = nil
		return
	}
	if s.exitsAfterSend {
		s.isPaused = true
		return
	}
	switch a := s.reconciler.Next(m.now); a.Kind {
	case comfreyreconciler.ActionRevalidate:
		if m.r.IntN(4) > 0 {
			s.reconciler.SetDesiredState(m.revision, m.desired)
			s.leaseEnd = m.now.Add(leaseTime)
			s.reconciler.RenewLease(m.revision, s.leaseEnd)
		}
	case comfreyreconciler.ActionReadBack:
		if m.r.IntN(4) > 0 {
			s.reconciler.Observe(m.now, m.engine.read(m.now))
		}
	case comfreyreconciler.ActionSend:
		m.send(s, a.Command)
	}
}

// send calls BeginSend, before which the sidecar may be paused, and checks that
// the lease is valid and that no other command of the sidecar is in flight.
func (m *simulation) send(s *sidecar, c comfreyreconciler.Command) {
	at := m.now
	if !m.isFaultFree && m.r.IntN(3) == 0 {
		at = at.Add(time.Duration(m.r.Int64N(int64(10 * time.Second))))
		m.now = at
	}
	if !s.reconciler.BeginSend(at, c) {
		return
	}
	if !at.Before(s.leaseEnd) {
		m.t.Fatalf("command %s is sent %s after the end of the lease", c.FencingNumber, at.Sub(s.leaseEnd))
	}
	for _, d := range m.network {
		if d.from == s && d.at.After(m.now) && d.at.Before(m.now.Add(commandTimeout)) {
			m.t.Fatalf("command %s is sent while %s is in flight", c.FencingNumber, d.command.FencingNumber)
		}
	}
	s.unsent = &c
}

func (m *simulation) deliver() {
	var s []delivery
	for _, d := range m.network {
		if d.at.After(m.now) {
			s = append(s, d)
			continue
		}
		if len(m.engine.applied) > 0 && d.command.FencingNumber.Compare(m.engine.highestFencingNumber) < 0 {
			m.staleDeliveries++
		}
		r := m.engine.apply(m.t, m.now, d.command)
		if m.r.IntN(5) == 0 {
			r = comfreyreconciler.ResultUnknown
		}
		d.from.reconciler.RecordResult(d.command.FencingNumber, r, m.engine.highestFencingNumber)
	}
	m.network = s
}
