package comfreyreconciler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyreconciler"
)

const (
	leaseTime    = 5 * time.Second
	orderTimeout = 3 * time.Second
	loadTime     = 2 * time.Second
	tick         = 100 * time.Millisecond
)

// engine is an upstream that enforces fencing numbers or ignores them.
type engine struct {
	isEnforced bool
	reports    bool
	state      comfreyreconciler.State
	highest    comfreyreconciler.FencingNumber
	applied    []comfreyreconciler.FencingNumber
	busyUntil  time.Time
}

func (e *engine) take(t *testing.T, now time.Time, o comfreyreconciler.Command) comfreyreconciler.Result {
	if e.isEnforced && o.FencingNumber.Compare(e.highest) <= 0 {
		return comfreyreconciler.ResultFenced
	}
	if n := len(e.applied); e.isEnforced && n > 0 && isOlder(o.FencingNumber, e.applied[n-1]) {
		t.Fatalf("order %s takes effect after %s", o.FencingNumber, e.applied[n-1])
	}
	if o.FencingNumber.Compare(e.highest) > 0 {
		e.highest = o.FencingNumber
	}
	e.state = o.Apply(e.state)
	e.applied = append(e.applied, o.FencingNumber)
	if o.LoadsWeights() {
		e.busyUntil = now.Add(loadTime)
	}
	return comfreyreconciler.ResultAccepted
}

// isOlder is the order of fencing numbers as the design states it.
func isOlder(f, g comfreyreconciler.FencingNumber) bool {
	if f.Revision != g.Revision {
		return f.Revision < g.Revision
	}
	if f.Incarnation != g.Incarnation {
		return f.Incarnation < g.Incarnation
	}
	return f.Counter < g.Counter
}

func (e *engine) read(now time.Time) comfreyreconciler.Observation {
	o := comfreyreconciler.Observation{State: e.state, IsBusy: now.Before(e.busyUntil)}
	if e.reports {
		o.FencingNumber = e.highest
	}
	return o
}

// delivery is an order on its way to the engine. Its sender gives up at the
// timeout, and the engine may still get it if it was not cut off in time.
type delivery struct {
	order comfreyreconciler.Command
	from  *sidecar
	at    time.Time
}

type sidecar struct {
	mover    *comfreyreconciler.Reconciler
	isPaused bool
	leaseEnd time.Time
	// held is an order between Confirm and its first byte.
	held *comfreyreconciler.Command
	// isDoomed means that the process ends once it has sent what it holds.
	isDoomed bool
}

// world is one upstream, its sidecars and the configuration.
type world struct {
	t        *testing.T
	r        *rand.Rand
	now      time.Time
	engine   engine
	sidecars []*sidecar
	network  []delivery
	revision uint64
	target   comfreyreconciler.State
	isQuiet  bool
	late     int
}

func newWorld(t *testing.T, r *rand.Rand, isEnforced bool) *world {
	w := &world{t: t, r: r, now: time.Unix(1764796800, 0)}
	w.engine = engine{isEnforced: isEnforced, reports: r.IntN(2) == 0}
	w.publish()
	w.replace()
	return w
}

func (w *world) publish() {
	w.revision++
	w.target = comfreyreconciler.State{
		Model:   fmt.Sprint("model-", w.r.IntN(2)),
		Version: fmt.Sprint(w.r.IntN(2)),
		Adapter: fmt.Sprint("adapter-", w.r.IntN(2)),
		Role:    fmt.Sprint("role-", w.r.IntN(2)),
	}
}

// replace starts a new sidecar. The former one is paused at any point and may
// wake up later.
func (w *world) replace() {
	for _, s := range w.sidecars {
		s.isPaused = true
	}
	n := uint64(len(w.sidecars) + 1)
	w.sidecars = append(w.sidecars, &sidecar{mover: comfreyreconciler.NewReconciler(comfreyreconciler.Config{
		Incarnation:       n,
		Start:             w.now,
		TakeoverDelay:     orderTimeout + leaseTime,
		IsFencingEnforced: w.engine.isEnforced,
		CommandTimeout:    orderTimeout,
		ResyncInterval:    5 * time.Second,
	})})
}

func (w *world) step() {
	w.now = w.now.Add(time.Duration(w.r.ExpFloat64() * float64(tick)))
	w.deliver()
	for _, s := range w.sidecars {
		if !s.isPaused {
			w.act(s)
		}
	}
	if w.isQuiet {
		return
	}
	switch n := w.r.IntN(400); {
	case n < 4:
		w.publish()
	case n < 8:
		s := w.sidecars[w.r.IntN(len(w.sidecars))]
		s.isPaused = !s.isPaused
	case n < 10 && len(w.sidecars) < 4:
		w.replace()
	case n < 11:
		w.now = w.now.Add(time.Duration(w.r.Int64N(int64(20 * time.Second))))
	}
}

// stepUntilSettled lets the newest sidecar reach the newest target while the
// replaced ones stay as they are.
func (w *world) stepUntilSettled() {
	w.isQuiet = true
	for _, s := range w.sidecars {
		s.isPaused = true
	}
	w.sidecars[len(w.sidecars)-1].isPaused = false
	for end := w.now.Add(time.Minute); w.now.Before(end); {
		w.step()
	}
}

// settle ends the faults. Every process wakes up, and some of the replaced ones
// end after they have sent the order that they held while they were paused.
func (w *world) settle() {
	w.isQuiet = true
	for i, s := range w.sidecars {
		s.isPaused = false
		s.isDoomed = i < len(w.sidecars)-1 && w.r.IntN(2) == 0
	}
}

// act carries out one action of a sidecar that runs.
func (w *world) act(s *sidecar) {
	if s.held != nil {
		w.network = append(w.network, delivery{*s.held, s, w.now.Add(time.Duration(w.r.Int64N(int64(orderTimeout))))})
		s.mover.RecordSent(w.now, s.held.FencingNumber)
		s.held = nil
		return
	}
	if s.isDoomed {
		s.isPaused = true
		return
	}
	switch a := s.mover.Next(w.now); a.Kind {
	case comfreyreconciler.ActionRevalidate:
		if w.r.IntN(4) > 0 {
			s.mover.SetDesiredState(w.revision, w.target)
			s.leaseEnd = w.now.Add(leaseTime)
			s.mover.RenewLease(w.revision, s.leaseEnd)
		}
	case comfreyreconciler.ActionReadBack:
		if w.r.IntN(4) > 0 {
			s.mover.Observe(w.now, w.engine.read(w.now))
		}
	case comfreyreconciler.ActionSend:
		w.send(s, a.Command)
	}
}

// send confirms an order, before which the sidecar may be paused.
func (w *world) send(s *sidecar, o comfreyreconciler.Command) {
	at := w.now
	if !w.isQuiet && w.r.IntN(3) == 0 {
		at = at.Add(time.Duration(w.r.Int64N(int64(10 * time.Second))))
		w.now = at
	}
	if !s.mover.BeginSend(at, o) {
		return
	}
	if !at.Before(s.leaseEnd) {
		w.t.Fatalf("order %s is sent %s after the lease has ended", o.FencingNumber, at.Sub(s.leaseEnd))
	}
	for _, d := range w.network {
		if d.from == s && d.at.After(w.now) && d.at.Before(w.now.Add(orderTimeout)) {
			w.t.Fatalf("order %s is sent while %s is on its way", o.FencingNumber, d.order.FencingNumber)
		}
	}
	s.held = &o
}

func (w *world) deliver() {
	var s []delivery
	for _, d := range w.network {
		if d.at.After(w.now) {
			s = append(s, d)
			continue
		}
		if len(w.engine.applied) > 0 && d.order.FencingNumber.Compare(w.engine.highest) < 0 {
			w.late++
		}
		r := w.engine.take(w.t, w.now, d.order)
		if w.r.IntN(5) == 0 {
			r = comfreyreconciler.ResultUnknown
		}
		d.from.mover.RecordResult(d.order.FencingNumber, r, w.engine.highest)
	}
	w.network = s
}
