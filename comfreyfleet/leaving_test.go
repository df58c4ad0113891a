package comfreyfleet_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyfleet"
)

var (
	seeds = flag.Uint64("seeds", 2000, "number of seeds that the random tests run")
	seed  = flag.Uint64("seed", 1, "first seed of the random tests")
)

const (
	step           = 100 * time.Millisecond
	simulationTime = 60 * time.Second
	maxLag         = 30 * time.Second
	grace          = 5 * time.Second
)

// upstream is a sidecar and the actual state of its host.
type upstream struct {
	host      string
	lifecycle *comfreyfleet.Lifecycle
	stopAt    time.Time // when the platform requested the stop on the host itself
	leavingAt time.Time // when the host list first named the host as leaving
	knownAt   time.Time // since when a running gateway has had that list
	paused    time.Time
}

// gateway is a simulated gateway: its local view, its lag, and a request in
// flight.
type gateway struct {
	tracker *comfreyfleet.Tracker
	lag     time.Duration
	paused  time.Time
	target  *upstream
	arrives time.Time
}

// simulation is a random simulation of three gateways, four upstreams and a host
// list.
type simulation struct {
	random    *rand.Rand
	now       time.Time
	upstreams []*upstream
	gateways  []*gateway
	views     []comfreyfleet.View
	outage    time.Time
	late      int
	started   int
}

func newSimulation(seed uint64) *simulation {
	l := &simulation{random: rand.New(rand.NewPCG(seed, 4)), now: time.Unix(1_800_000_000, 0)}
	for i := range 4 {
		h := fmt.Sprintf("upstream-%d", i)
		n := comfreyfleet.NewIncarnation(l.now.Add(-time.Hour), l.random.Uint64())
		l.upstreams = append(l.upstreams, &upstream{host: h, lifecycle: comfreyfleet.NewLifecycle(h, n, comfreyfleet.LeaseConfig{})})
	}
	l.publish()
	for range 3 {
		g := &gateway{tracker: comfreyfleet.NewTracker(comfreyfleet.TrackerConfig{}), lag: time.Duration(l.random.Int64N(int64(maxLag)))}
		g.tracker.Update(l.views[0])
		l.gateways = append(l.gateways, g)
	}
	return l
}

// publish adds a host list that names the hosts that are leaving by now.
func (l *simulation) publish() {
	var s []comfreyfleet.Member
	for _, u := range l.upstreams {
		m := comfreyfleet.Member{Host: u.host, Service: "generations"}
		if !u.leavingAt.IsZero() {
			m = m.WithState(comfreyfleet.StateLeaving)
		}
		s = append(s, m)
	}
	l.views = append(l.views, comfreyfleet.NewView(uint64(len(l.views)+1), l.now, s))
}

// visible returns the newest list that a reader with a lag sees.
func (l *simulation) visible(lag time.Duration) comfreyfleet.View {
	v := l.views[0]
	for _, w := range l.views {
		if l.now.Sub(w.At()) >= lag && !l.now.Before(l.outage) {
			v = w
		}
	}
	return v
}

func (l *simulation) chance(p float64) bool { return l.random.Float64() < p }

// disturb makes hosts leave, pauses processes and makes the platform unreachable.
func (l *simulation) disturb() {
	if l.chance(0.005) {
		l.outage = l.now.Add(time.Duration(l.random.Int64N(int64(40 * time.Second))))
	}
	for _, u := range l.upstreams {
		if u.leavingAt.IsZero() && l.chance(0.002) {
			u.leavingAt = l.now
			if l.chance(0.5) {
				u.stopAt = l.now
			}
			l.publish()
		}
		if l.chance(0.005) {
			u.paused = l.now.Add(time.Duration(l.random.Int64N(int64(20 * time.Second))))
		}
	}
	for _, g := range l.gateways {
		if l.chance(0.01) {
			g.paused = l.now.Add(time.Duration(l.random.Int64N(int64(20 * time.Second))))
		}
	}
}

// runSidecar is the periodic task of a sidecar, which includes reading the host list
// itself.
func (l *simulation) runSidecar(u *upstream) {
	if !u.stopAt.IsZero() {
		u.lifecycle.Leave(l.now)
	}
	u.lifecycle.Observe(l.now, l.visible(maxLag))
	u.lifecycle.Renew(l.now)
}

// runGateway reads the list, sends it to the leaving upstreams that have not
// confirmed it, and sends requests. A request's target is chosen before a pause
// that may precede its arrival.
func (l *simulation) runGateway(g *gateway) {
	v := l.visible(g.lag)
	g.tracker.Update(v)
	for _, m := range g.tracker.UnconfirmedLeaving() {
		u := l.find(m.Host)
		if !l.now.Before(u.paused) {
			u.lifecycle.Observe(l.now, g.tracker.View())
			g.tracker.Observe(l.now, m.Host, u.lifecycle.Status())
		}
	}
	if g.target != nil {
		if !l.now.Before(g.arrives) && !l.now.Before(g.target.paused) {
			l.arrive(g, g.target)
			g.target = nil
		}
		return
	}
	s := g.tracker.Candidates(l.now, "generations")
	if len(s) > 0 {
		g.target = l.find(s[l.random.IntN(len(s))].Host)
		g.arrives = l.now.Add(time.Duration(l.random.IntN(3)) * step)
	}
}

func (l *simulation) find(host string) *upstream {
	for _, u := range l.upstreams {
		if u.host == host {
			return u
		}
	}
	return nil
}

// arrive delivers a request to a sidecar, which may just have resumed from a
// pause.
func (l *simulation) arrive(g *gateway, u *upstream) {
	err := u.lifecycle.Begin(l.now)
	g.tracker.Observe(l.now, u.host, u.lifecycle.Status())
	if err != nil {
		return
	}
	l.started++
	for _, known := range []time.Time{u.stopAt, u.knownAt} {
		if !known.IsZero() && l.now.Sub(known) > grace {
			l.late++
		}
	}
}

// recordKnown records for each leaving host since when at least one running
// gateway has had a list that names it.
func (l *simulation) recordKnown() {
	for _, u := range l.upstreams {
		known := false
		for _, g := range l.gateways {
			m, _ := g.tracker.View().Find(u.host)
			known = known || m.State == comfreyfleet.StateLeaving && !l.now.Before(g.paused)
		}
		if !known {
			u.knownAt = time.Time{}
		} else if u.knownAt.IsZero() {
			u.knownAt = l.now
		}
	}
}

func (l *simulation) run() {
	for end := l.now.Add(simulationTime); l.now.Before(end); l.now = l.now.Add(step) {
		l.disturb()
		l.recordKnown()
		order := l.random.Perm(len(l.upstreams) + len(l.gateways))
		for _, i := range order {
			if i < len(l.upstreams) {
				if u := l.upstreams[i]; !l.now.Before(u.paused) {
					l.runSidecar(u)
				}
			} else if g := l.gateways[i-len(l.upstreams)]; !l.now.Before(g.paused) {
				l.runGateway(g)
			}
		}
	}
}

// TestNoNewWorkWhileLeaving guards against work that begins more than the grace
// period after a stop was requested or a running gateway saw the host listed as
// leaving. Lagging lists, pauses and outages of the platform can cause this.
func TestNoNewWorkWhileLeaving(t *testing.T) {
	started := 0
	for i := range *seeds {
		l := newSimulation(*seed + i)
		l.run()
		started += l.started
		if l.late > 0 {
			t.Fatalf("seed %d: %d requests began more than %s after the host began to leave; rerun with -seed %d -seeds 1", *seed+i, l.late, grace, *seed+i)
		}
	}
	t.Logf("%d requests began in %d simulations, none late", started, *seeds)
}
