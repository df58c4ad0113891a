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
	seeds = flag.Uint64("seeds", 2000, "how many seeds the random tests run")
	seed  = flag.Uint64("seed", 1, "first seed of the random tests")
)

const (
	step      = 100 * time.Millisecond
	runLength = 60 * time.Second
	maxLag    = 30 * time.Second
	grace     = 5 * time.Second
)

// upstream is a sidecar with the truth about its host.
type upstream struct {
	host      string
	life      *comfreyfleet.Lifecycle
	toldAt    time.Time // when the platform told the host to stop
	leavingAt time.Time // when the list began to name the host
	knownAt   time.Time // since when a running gateway has held that list
	paused    time.Time
}

// entry is a gateway: its belief, its lag, and a request on the way.
type entry struct {
	tracker *comfreyfleet.Tracker
	lag     time.Duration
	paused  time.Time
	target  *upstream
	arrives time.Time
}

// leaving is one random run of three gateways, four upstreams and a host list.
type leaving struct {
	random    *rand.Rand
	now       time.Time
	upstreams []*upstream
	entries   []*entry
	views     []comfreyfleet.View
	outage    time.Time
	late      int
	started   int
}

func newLeaving(seed uint64) *leaving {
	l := &leaving{random: rand.New(rand.NewPCG(seed, 4)), now: time.Unix(1_800_000_000, 0)}
	for i := range 4 {
		h := fmt.Sprintf("upstream-%d", i)
		n := comfreyfleet.NewIncarnation(l.now.Add(-time.Hour), l.random.Uint64())
		l.upstreams = append(l.upstreams, &upstream{host: h, life: comfreyfleet.NewLifecycle(h, n, comfreyfleet.LeaseConfig{})})
	}
	l.publish()
	for range 3 {
		g := &entry{tracker: comfreyfleet.NewTracker(comfreyfleet.TrackerConfig{}), lag: time.Duration(l.random.Int64N(int64(maxLag)))}
		g.tracker.Update(l.views[0])
		l.entries = append(l.entries, g)
	}
	return l
}

// publish adds the list that names the hosts that were told to stop.
func (l *leaving) publish() {
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
func (l *leaving) visible(lag time.Duration) comfreyfleet.View {
	v := l.views[0]
	for _, w := range l.views {
		if l.now.Sub(w.At()) >= lag && !l.now.Before(l.outage) {
			v = w
		}
	}
	return v
}

func (l *leaving) chance(p float64) bool { return l.random.Float64() < p }

// disturb makes hosts leave, pauses processes and takes the platform down.
func (l *leaving) disturb() {
	if l.chance(0.005) {
		l.outage = l.now.Add(time.Duration(l.random.Int64N(int64(40 * time.Second))))
	}
	for _, u := range l.upstreams {
		if u.leavingAt.IsZero() && l.chance(0.002) {
			u.leavingAt = l.now
			if l.chance(0.5) {
				u.toldAt = l.now
			}
			l.publish()
		}
		if l.chance(0.005) {
			u.paused = l.now.Add(time.Duration(l.random.Int64N(int64(20 * time.Second))))
		}
	}
	for _, g := range l.entries {
		if l.chance(0.01) {
			g.paused = l.now.Add(time.Duration(l.random.Int64N(int64(20 * time.Second))))
		}
	}
}

// duty is the periodic work of a sidecar, its own look at the list included.
func (l *leaving) duty(u *upstream) {
	if !u.toldAt.IsZero() {
		u.life.Leave(l.now)
	}
	u.life.Observe(l.now, l.visible(maxLag))
	u.life.Renew(l.now)
}

// gateway reads the list, tells the unaware and sends requests, each of them
// chosen before a pause that may come in between.
func (l *leaving) gateway(g *entry) {
	v := l.visible(g.lag)
	g.tracker.Update(v)
	for _, m := range g.tracker.UnconfirmedLeaving() {
		u := l.find(m.Host)
		if !l.now.Before(u.paused) {
			u.life.Observe(l.now, g.tracker.View())
			g.tracker.Observe(l.now, m.Host, u.life.Status())
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

func (l *leaving) find(host string) *upstream {
	for _, u := range l.upstreams {
		if u.host == host {
			return u
		}
	}
	return nil
}

// arrive is a request reaching a sidecar, which may just have woken up.
func (l *leaving) arrive(g *entry, u *upstream) {
	err := u.life.Begin(l.now)
	g.tracker.Observe(l.now, u.host, u.life.Status())
	if err != nil {
		return
	}
	l.started++
	for _, known := range []time.Time{u.toldAt, u.knownAt} {
		if !known.IsZero() && l.now.Sub(known) > grace {
			l.late++
		}
	}
}

// learn notes since when at least one running gateway has known of each
// leaving host.
func (l *leaving) learn() {
	for _, u := range l.upstreams {
		known := false
		for _, g := range l.entries {
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

func (l *leaving) run() {
	for end := l.now.Add(runLength); l.now.Before(end); l.now = l.now.Add(step) {
		l.disturb()
		l.learn()
		order := l.random.Perm(len(l.upstreams) + len(l.entries))
		for _, i := range order {
			if i < len(l.upstreams) {
				if u := l.upstreams[i]; !l.now.Before(u.paused) {
					l.duty(u)
				}
			} else if g := l.entries[i-len(l.upstreams)]; !l.now.Before(g.paused) {
				l.gateway(g)
			}
		}
	}
}

func TestNoNewWorkWhileLeaving(t *testing.T) {
	started := 0
	for i := range *seeds {
		l := newLeaving(*seed + i)
		l.run()
		started += l.started
		if l.late > 0 {
			t.Fatalf("seed %d: %d requests began more than %s after the host began to leave; rerun with -seed %d -seeds 1", *seed+i, l.late, grace, *seed+i)
		}
	}
	t.Logf("%d requests began in %d runs, none late", started, *seeds)
}
