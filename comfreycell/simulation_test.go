package comfreycell_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreycell"
)

// checkViews asserts that every gateway knows the members of its cell, has
// recent placements of them, recent states of the other cells and a current
// store cache.
func (f *simulatedFleet) checkViews(t *testing.T) {
	t.Helper()
	var gateways []comfreycell.Gateway
	for _, g := range f.gateways {
		gateways = append(gateways, g.Gateway)
	}
	targets := map[comfreycell.ID][]comfreycell.RelayTarget{}
	for i := range gateways {
		if l := layoutOf(gateways, i); l.IsRelay() {
			targets[l.Own()] = l.RelayTargets()
		}
	}
	n := len(f.gateways)
	stalePlacements, placements, staleStates, states, staleStores := 0, 0, 0, 0, 0
	for i, g := range f.gateways {
		want := layoutOf(gateways, i)
		if got, all := g.layout.Members(), want.Members(); g.layout.Own() != want.Own() || !slices.Equal(got, all) {
			t.Fatalf("%d gateways: %s is in cell %q with %d members, want %q with %d", n, g.Address, g.layout.Own(), len(got), want.Own(), len(all))
		}
		for _, a := range want.Members() {
			placements++
			if f.now-g.seen[f.index[a]] > 3*simulationStep {
				stalePlacements++
			}
		}
		for _, target := range targets[want.Own()] {
			states++
			if f.now-g.states[target.Cell] > 2*want.StateInterval() {
				staleStates++
			}
		}
		if f.now-g.storeAt > 2500*time.Millisecond {
			staleStores++
		}
	}
	if stalePlacements*100 > placements || staleStates*100 > states || staleStores > 0 {
		t.Errorf("%d gateways: %d of %d placements are older than 750 ms, %d of %d states of other cells than two intervals, %d store caches than 2.5 s", n, stalePlacements, placements, staleStates, states, staleStores)
	}
}

// TestCostDoesNotGrowWithFleet simulates fleets of 30 to 1,000 gateways, a third
// of which the store refuses, with lost datagrams. Half of the gateways restart
// at once. What a host sends and the calls to the store must not grow with the
// fleet.
func TestCostDoesNotGrowWithFleet(t *testing.T) {
	const settling, measured = 5 * time.Second, 3 * time.Second
	sent := map[int]float64{}
	for _, n := range []int{30, 100, 300, 1000} {
		f := newSimulatedFleet(n, 1)
		f.run(settling)
		f.checkViews(t)
		f.bytes, f.bytesBetween, f.storeCalls = 0, 0, 0
		f.run(measured)
		f.checkViews(t)
		perHost := func(bytes int) float64 { return float64(bytes) / float64(n) / measured.Seconds() }
		sent[n] = perHost(f.bytes)
		t.Logf("%d gateways: %.0f B/s sent by a host, %.0f B/s of them between data centres, %.1f store calls/s", n, sent[n], perHost(f.bytesBetween), float64(f.storeCalls)/measured.Seconds())
		// 600 calls a day of 48 s.
		if c := float64(f.storeCalls) / measured.Seconds(); c > 12.5 {
			t.Errorf("%d gateways: %.1f calls a second to the store, want at most 12.5", n, c)
		}
		for i := range f.gateways {
			if i%2 == 0 {
				f.restart(i)
			}
		}
		f.run(settling)
		f.checkViews(t)
	}
	if sent[1000] > 1.5*sent[100] {
		t.Errorf("a host sends %.0f B/s among 1,000 gateways, and %.0f B/s among 100", sent[1000], sent[100])
	}
}

// TestGatewaysFindEachOtherAfterRestarts starts fleets whose gateways know three
// others each, and restarts half of them, with several seeds.
func TestGatewaysFindEachOtherAfterRestarts(t *testing.T) {
	for seed := uint64(1); seed <= 10; seed++ {
		f := newSimulatedFleet(100, seed)
		f.run(5 * time.Second)
		f.checkViews(t)
		for i := range f.gateways {
			if i%2 == 0 {
				f.restart(i)
			}
		}
		f.run(5 * time.Second)
		f.checkViews(t)
	}
}

// TestOneWayCutBetweenDataCentres cuts the messages from one data centre to
// another, but not those back. The receiving side must share out the replicas of
// the silent data centre with the others, whose gateways go on to use them, and
// agree with them again soon after the cut.
func TestOneWayCutBetweenDataCentres(t *testing.T) {
	f := newSimulatedFleet(100, 2)
	f.run(5 * time.Second)
	f.checkViews(t)
	f.isCut = func(from, to string) bool { return from == "data-centre-1" && to == "data-centre-2" }
	f.run(6 * time.Second)
	homes := map[string]map[comfreycell.ID]bool{}
	for _, g := range f.gateways {
		if homes[g.DataCentre] == nil {
			homes[g.DataCentre] = map[comfreycell.ID]bool{}
		}
		for i := range 20 {
			homes[g.DataCentre][g.layout.Home(fmt.Sprint("replica-", i), "data-centre-1")] = true
		}
		if f.now-g.storeAt > 2500*time.Millisecond {
			t.Errorf("%s: the store cache is %v old", g.Address, f.now-g.storeAt)
		}
	}
	if h := homes["data-centre-1"]; len(h) != 1 || !h["data-centre-1"] {
		t.Errorf("the gateways of the silent data centre use its replicas as those of %v", h)
	}
	if h := homes["data-centre-2"]; len(h) != 4 || h["data-centre-1"] {
		t.Errorf("the gateways that do not hear the others share out their replicas among %v, want the four other cells", h)
	}
	f.isCut = func(string, string) bool { return false }
	f.run(5 * time.Second)
	f.checkViews(t)
}

// ExampleLayout_RelayTargets shows the gateways of other cells to which the
// relays of a cell send its state.
func ExampleLayout_RelayTargets() {
	g := fleet(60, 3)
	for i := range g {
		l := layoutOf(g, i)
		if l.Own() == "data-centre-1" && l.IsRelay() {
			fmt.Println(g[i].Address, len(l.RelayTargets()))
		}
	}
	// Output:
	// 10.1.0.4:8740 2
	// 10.1.0.19:8740 2
}
