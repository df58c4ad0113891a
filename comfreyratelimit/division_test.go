package comfreyratelimit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyratelimit"
)

const (
	// The bound of the users: in each span of 4 s, from 3 s after the limit was first
	// named, a replica gets at most 1.5 times the requests that its limit allows, and 5.
	boundGrace  = 3 * time.Second
	boundWindow = 4 * time.Second
)

// simulatedFleet is a fleet of gateways with views of their own, before one replica
// with a rate limit.
type simulatedFleet struct {
	random    *rand.Rand
	now       time.Time
	perSecond float64
	gateways  []*simulatedGateway
	// hears reports whether messages of one gateway reach another.
	hears   func(from, to int) bool
	permits []time.Time
}

type simulatedGateway struct {
	address   string
	division  *comfreyratelimit.Division
	startedAt time.Time
	isDown    bool
	// heardAt is when each other gateway was last heard, and firstHeardAt when it
	// was first.
	heardAt, firstHeardAt map[int]time.Time
}

func newSimulatedFleet(seed uint64, gateways int, perSecond float64) *simulatedFleet {
	f := &simulatedFleet{random: rand.New(rand.NewPCG(seed, 0)), now: start, perSecond: perSecond, hears: func(int, int) bool { return true }}
	for range gateways {
		f.start()
	}
	return f
}

// start starts a new gateway.
func (f *simulatedFleet) start() {
	a := fmt.Sprintf("10.0.0.%d:1", len(f.gateways))
	f.gateways = append(f.gateways, &simulatedGateway{
		address: a, division: comfreyratelimit.NewDivision(a), startedAt: f.now, heardAt: map[int]time.Time{}, firstHeardAt: map[int]time.Time{},
	})
}

func (f *simulatedFleet) view(i int) comfreyratelimit.View {
	g := f.gateways[i]
	v := comfreyratelimit.View{Members: 1}
	if f.now.Sub(g.startedAt) >= comfreyratelimit.SettlingPeriod {
		v.Settled = append(v.Settled, g.address)
	}
	for k, at := range g.heardAt {
		silence := f.now.Sub(at)
		if silence < comfreyratelimit.MemberTimeout {
			v.Members++
		}
		if silence < 700*time.Millisecond && f.now.Sub(g.firstHeardAt[k]) >= comfreyratelimit.SettlingPeriod {
			v.Settled = append(v.Settled, f.gateways[k].address)
		}
	}
	return v
}

// announce sends the datagrams of the gateways, of which one in twenty is lost.
func (f *simulatedFleet) announce() {
	for i, g := range f.gateways {
		if g.isDown {
			continue
		}
		names := g.division.HolderNames(f.now, []string{"app"}, func(string) comfreyratelimit.View { return f.view(i) })
		for k, o := range f.gateways {
			if k == i || o.isDown || !f.hears(i, k) || f.random.IntN(20) == 0 {
				continue
			}
			if o.heardAt[i].IsZero() {
				o.firstHeardAt[i] = f.now
			}
			o.heardAt[i] = f.now
			o.division.SetHolderNames(f.now, g.address, names)
		}
		g.division.Expire(f.now)
	}
}

// ask requests a permit as a gateway does.
func (f *simulatedFleet) ask(i, hops int) bool {
	g := f.gateways[i]
	for ; hops <= 2; hops++ {
		v := f.view(i)
		holder := g.division.Holder(f.now, "app", v)
		if holder == g.address {
			return g.division.Allocate(f.now, comfreyratelimit.Request{Service: "app", Offers: offers(f.perSecond, "a")}, v).Replica != ""
		}
		k := f.indexOf(holder)
		if k < 0 {
			return false
		}
		if !f.gateways[k].isDown && f.hears(i, k) && f.hears(k, i) {
			return f.ask(k, hops+1)
		}
		g.division.Avoid(f.now, holder)
	}
	return false
}

func (f *simulatedFleet) indexOf(address string) int {
	for i, g := range f.gateways {
		if g.address == address {
			return i
		}
	}
	return -1
}

// run lets gateways ask for permits for a time, many more than the limit allows.
func (f *simulatedFleet) run(d time.Duration, callersAt func() int) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(10 * time.Millisecond) {
		if f.now.Sub(start)%(250*time.Millisecond) == 0 {
			f.announce()
		}
		for range 2 + int(f.perSecond/20) {
			if i := callersAt(); !f.gateways[i].isDown && f.ask(i, 0) {
				f.permits = append(f.permits, f.now)
			}
		}
	}
}

// anyGateway returns a random gateway.
func (f *simulatedFleet) anyGateway() int {
	return f.random.IntN(len(f.gateways))
}

// check checks the bound of the users, and that the part used of what the limit
// allows is large enough.
func (f *simulatedFleet) check(t *testing.T, from time.Time, minUse float64) {
	t.Helper()
	bound := 1.5*f.perSecond*boundWindow.Seconds() + 5
	n := 0
	for i, at := range f.permits {
		if at.Before(from) {
			continue
		}
		n++
		k := 0
		for k <= i && at.Sub(f.permits[i-k]) < boundWindow {
			k++
		}
		if float64(k) > bound {
			t.Errorf("%d permits in %v at a limit of %v a second, want at most %v", k, boundWindow, f.perSecond, bound)
			return
		}
	}
	if allowed := f.perSecond * f.now.Sub(from).Seconds(); float64(n) < minUse*allowed-1 {
		t.Errorf("%d permits, want at least %.2f of the %.1f that the limit allows", n, minUse, allowed)
	}
}

// forFleets runs a test for fleets of several sizes and limits from far below one
// request a second for each gateway up.
func forFleets(t *testing.T, test func(t *testing.T, f *simulatedFleet)) {
	for _, n := range []int{1, 3, 5, 31, 100} {
		for _, l := range []float64{0.5, 3.4, 60} {
			t.Run(fmt.Sprintf("%d gateways, %v a second", n, l), func(t *testing.T) {
				t.Parallel()
				f := newSimulatedFleet(uint64(n), n, l)
				f.run(comfreyratelimit.SettlingPeriod+boundGrace, f.anyGateway)
				test(t, f)
			})
		}
	}
}

// TestGatewaysTogetherKeepTheLimit checks callers at all gateways, at one of them, and
// at one after the other.
func TestGatewaysTogetherKeepTheLimit(t *testing.T) {
	forFleets(t, func(t *testing.T, f *simulatedFleet) {
		f.run(8*time.Second, f.anyGateway)
		f.check(t, start.Add(comfreyratelimit.SettlingPeriod+boundGrace), 0.9)
		from := f.now
		f.run(8*time.Second, func() int { return 0 })
		f.check(t, from, 0.9)
		from = f.now
		f.run(8*time.Second, func() int { return int(f.now.Sub(from)/time.Second) % len(f.gateways) })
		f.check(t, from, 0.9)
	})
}

// TestLimitHoldsWhileHoldersEndAndGatewaysStart checks that no more is permitted when
// holders end one after the other and others start, and soon as much as before.
func TestLimitHoldsWhileHoldersEndAndGatewaysStart(t *testing.T) {
	forFleets(t, func(t *testing.T, f *simulatedFleet) {
		from := f.now
		for range 3 {
			holder := f.indexOf(f.gateways[0].division.Holder(f.now, "app", f.view(0)))
			f.gateways[holder].isDown = true
			f.start()
			f.start()
			f.run(3*time.Second, f.anyGateway)
			f.gateways[holder].isDown = false
		}
		f.check(t, from, 0)
		f.run(4*time.Second, f.anyGateway)
		from = f.now
		f.run(8*time.Second, f.anyGateway)
		f.check(t, from, 0.9)
	})
}

// TestLimitHoldsWithDifferingViews checks gateways that do not agree on the holder: a
// tenth of the pairs of gateways do not hear each other, or one way only, or some hear
// nobody.
func TestLimitHoldsWithDifferingViews(t *testing.T) {
	cuts := map[string]func(from, to int) bool{
		"both ways": func(from, to int) bool { return (min(from, to)*31+max(from, to)*17)%10 == 0 },
		"one way":   func(from, to int) bool { return (from*31+to*17)%10 == 0 },
		"to one":    func(_, to int) bool { return to == 0 },
		"from one":  func(from, _ int) bool { return from == 0 },
	}
	for name, isCut := range cuts {
		t.Run(name, func(t *testing.T) {
			forFleets(t, func(t *testing.T, f *simulatedFleet) {
				f.hears = func(from, to int) bool { return !isCut(from, to) }
				from := f.now
				f.run(15*time.Second, f.anyGateway)
				f.check(t, from, 0.5)
			})
		})
	}
}

// TestLimitHoldsInHalves checks that the halves of a divided fleet share the limit for
// a time.
func TestLimitHoldsInHalves(t *testing.T) {
	forFleets(t, func(t *testing.T, f *simulatedFleet) {
		f.hears = func(from, to int) bool { return from%2 == to%2 }
		from := f.now
		f.run(comfreyratelimit.SplitTimeout-2*time.Second, f.anyGateway)
		f.check(t, from, 0.7)
	})
}

// TestGatewaysThatAllStartHaveNoHolderYet checks that gateways which have just started,
// and do not know of each other, permit nothing.
func TestGatewaysThatAllStartHaveNoHolderYet(t *testing.T) {
	f := newSimulatedFleet(1, 31, 3.4)
	f.run(comfreyratelimit.SettlingPeriod-50*time.Millisecond, f.anyGateway)
	if n := len(f.permits); n != 0 {
		t.Errorf("expected no permits, got %d", n)
	}
}
