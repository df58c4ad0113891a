package comfreycell_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreycell"
)

// fleet returns n gateways, spread evenly over data centres.
func fleet(n, dataCentres int) []comfreycell.Gateway {
	var l []comfreycell.Gateway
	for i := range n {
		l = append(l, comfreycell.Gateway{Address: fmt.Sprintf("10.%d.%d.%d:8740", i%dataCentres, i/256, i%256), DataCentre: fmt.Sprint("data-centre-", i%dataCentres)})
	}
	return l
}

// layoutOf returns the layout as gateway i of a fleet sees it.
func layoutOf(l []comfreycell.Gateway, i int) comfreycell.Layout {
	return comfreycell.New(l[i], slices.Concat(l[:i], l[i+1:]), nil)
}

func ExampleLayout() {
	l := layoutOf(fleet(100, 5), 0)
	fmt.Println(l.Own(), len(l.Members()))
	fmt.Println(l.IsHome("replica-1", "data-centre-0"), l.IsHome("replica-1", "data-centre-1"))
	// Output:
	// data-centre-0 19
	// true false
}

func TestSmallFleetIsOneCell(t *testing.T) {
	for _, n := range []int{1, 3, 4, 31, comfreycell.MaxMembers} {
		g := fleet(n, 4)
		l := layoutOf(g, n-1)
		if l.Own() != "" || len(l.Members()) != n-1 || len(l.LiveMembers()) != n-1 || len(l.RelayTargets()) != 0 || l.FleetSize() != n {
			t.Errorf("%d gateways: got cell %q with %d other members, %d relay targets", n, l.Own(), len(l.Members()), len(l.RelayTargets()))
		}
		for _, c := range []string{"data-centre-0", "data-centre-9", ""} {
			if !l.IsHome("replica", c) {
				t.Errorf("%d gateways: a replica in %q is not used", n, c)
			}
		}
	}
}

// TestGatewaysAgreeOnCells checks for fleets of several sizes that each gateway
// is in one cell, that its members consider it a member, that each pair of cells
// is connected by its relays, and that each replica has one home.
func TestGatewaysAgreeOnCells(t *testing.T) {
	for _, n := range []int{41, 100, 300, 1000} {
		g := fleet(n, 5)
		layouts := map[string]comfreycell.Layout{}
		sizes := map[comfreycell.ID]int{}
		for i := range g {
			l := layoutOf(g, i)
			layouts[g[i].Address] = l
			sizes[l.Own()]++
		}
		relays, firsts := map[comfreycell.ID]int{}, 0
		connected := map[[2]comfreycell.ID]bool{}
		for a, l := range layouts {
			if sizes[l.Own()] != len(l.Members())+1 || sizes[l.Own()] > 2*comfreycell.MaxMembers {
				t.Fatalf("%d gateways: %s has %d members, the cell %s has %d gateways", n, a, len(l.Members()), l.Own(), sizes[l.Own()])
			}
			for _, m := range l.Members() {
				if layouts[m].Own() != l.Own() {
					t.Fatalf("%d gateways: %s counts %s of the cell %s as a member of %s", n, a, m, layouts[m].Own(), l.Own())
				}
			}
			for _, target := range l.RelayTargets() {
				if layouts[target.Address].Own() != target.Cell || !layouts[target.Address].IsRelay() {
					t.Errorf("%d gateways: %s sends to %s, which is not a relay of %s", n, a, target.Address, target.Cell)
				}
				connected[[2]comfreycell.ID{l.Own(), target.Cell}] = true
			}
			if l.IsRelay() {
				relays[l.Own()]++
				// The other cells of the data centre, and one in each other one.
				if want := len(sizes)/5 - 1 + 4; len(l.RelayTargets()) != want {
					t.Errorf("%d gateways: a relay sends to %d of %d other cells, want %d", n, len(l.RelayTargets()), len(sizes)-1, want)
				}
			}
			if l.FleetRank() < 2 {
				firsts++
			}
		}
		for c := range sizes {
			if relays[c] != comfreycell.Relays {
				t.Errorf("%d gateways: %d relays in %s, want %d", n, relays[c], c, comfreycell.Relays)
			}
		}
		for c := range connected {
			if !connected[[2]comfreycell.ID{c[1], c[0]}] {
				t.Errorf("%d gateways: %s sends to %s, which does not send back", n, c[0], c[1])
			}
		}
		if firsts != 2 {
			t.Errorf("%d gateways: %d are among the first two of the fleet", n, firsts)
		}
		for i := range 50 {
			replica, dataCentre := fmt.Sprint("replica-", i), fmt.Sprint("data-centre-", i%5)
			home := layouts[g[0].Address].Home(replica, dataCentre)
			for a, l := range layouts {
				if l.Home(replica, dataCentre) != home {
					t.Fatalf("%d gateways: %s has another home for %s", n, a, replica)
				}
			}
		}
	}
}

// TestReplicaIsOfferedToOneCell checks that each replica has one guest among the
// cells that receive the state of its own, on which the gateways agree, and that
// each of these cells is offered a part of the replicas.
func TestReplicaIsOfferedToOneCell(t *testing.T) {
	for _, n := range []int{100, 300} {
		g := fleet(n, 5)
		byCell := map[comfreycell.ID]comfreycell.Layout{}
		for i := range g {
			l := layoutOf(g, i)
			if o, ok := byCell[l.Own()]; ok {
				for k := range 30 {
					a, _ := l.Guest(fmt.Sprint("replica-", k))
					if b, _ := o.Guest(fmt.Sprint("replica-", k)); a != b {
						t.Fatalf("%d gateways: guests %q and %q of a replica of %s", n, a, b, l.Own())
					}
				}
			}
			byCell[l.Own()] = l
			if !l.IsRelay() {
				continue
			}
			counts := map[comfreycell.ID]int{}
			for k := range 100 {
				id, _ := l.Guest(fmt.Sprint("replica-", k))
				counts[id]++
			}
			for _, x := range l.RelayTargets() {
				if counts[x.Cell] < 5 {
					t.Errorf("%d gateways: %s is offered %d of 100 replicas of %s", n, x.Cell, counts[x.Cell], l.Own())
				}
				delete(counts, x.Cell)
			}
			if len(counts) > 0 {
				t.Errorf("%d gateways: replicas of %s are offered to %v, which do not receive its state", n, l.Own(), counts)
			}
		}
	}
	if id, ok := layoutOf(fleet(30, 5), 0).Guest("replica"); ok {
		t.Errorf("a replica of a single cell is offered to %q", id)
	}
}

// TestReplicasOfSilentDataCentreAreShared replays the loss of all gateways of a
// data centre whose replicas still serve: the other cells share them out.
func TestReplicasOfSilentDataCentreAreShared(t *testing.T) {
	g := fleet(100, 5)
	for i := range g {
		if g[i].DataCentre == "data-centre-3" {
			g[i].SilentFor = 4 * time.Second
		}
	}
	homes := map[comfreycell.ID]int{}
	for i := range 40 {
		id := fmt.Sprint("replica-", i)
		home := layoutOf(g, 0).Home(id, "data-centre-3")
		if other := layoutOf(g, 1).Home(id, "data-centre-3"); other != home {
			t.Errorf("%s: homes %q and %q", id, home, other)
		}
		homes[home]++
	}
	if homes["data-centre-3"] != 0 || len(homes) != 4 {
		t.Errorf("homes of the replicas: got %v, want four other cells", homes)
	}
}

func TestSilentGatewaysDoNotLead(t *testing.T) {
	g := fleet(30, 3)
	first := slices.IndexFunc(g, func(x comfreycell.Gateway) bool {
		return layoutOf(g, slices.Index(g, x)).Rank() == 0
	})
	second := slices.IndexFunc(g, func(x comfreycell.Gateway) bool {
		return layoutOf(g, slices.Index(g, x)).Rank() == 1
	})
	g[first].SilentFor = time.Second
	l := layoutOf(g, second)
	if l.Rank() != 0 || l.FleetRank() != 0 || len(l.Members()) != 29 || len(l.LiveMembers()) != 28 {
		t.Errorf("after the first gateway fell silent: rank %d, fleet rank %d, %d members, %d live", l.Rank(), l.FleetRank(), len(l.Members()), len(l.LiveMembers()))
	}
}

// TestReportedSizeOfOtherDataCentre checks that a gateway that knows a few
// gateways of another data centre and its size divides it as these do.
func TestReportedSizeOfOtherDataCentre(t *testing.T) {
	g := fleet(1000, 5)
	var known []comfreycell.Gateway
	sizes := map[string]int{}
	for i, x := range g[1:] {
		if x.DataCentre == g[0].DataCentre || i < 60 {
			known = append(known, x)
		}
		sizes[x.DataCentre] = 200
	}
	few, all := comfreycell.New(g[0], known, sizes), layoutOf(g, 0)
	if few.Own() != all.Own() || few.FleetSize() != 1000 || few.Sizes()[g[0].DataCentre] != 200 {
		t.Errorf("got cell %q of %d gateways, %d in the data centre; want %q, 1000, 200", few.Own(), few.FleetSize(), few.Sizes()[g[0].DataCentre], all.Own())
	}
	for i := range 100 {
		id, c := fmt.Sprint("replica-", i), fmt.Sprint("data-centre-", i%5)
		if few.Home(id, c) != all.Home(id, c) {
			t.Errorf("%s in %s: homes %q and %q", id, c, few.Home(id, c), all.Home(id, c))
		}
	}
}

// TestGatewayOfOlderBuildIsMember checks that a gateway which does not send its
// data centre receives the placements of every cell.
func TestGatewayOfOlderBuildIsMember(t *testing.T) {
	g := append(fleet(100, 5), comfreycell.Gateway{Address: "10.9.9.9:8740"})
	for i := range 100 {
		l := layoutOf(g, i)
		if !slices.Contains(l.Members(), "10.9.9.9:8740") || slices.ContainsFunc(l.RelayTargets(), func(x comfreycell.RelayTarget) bool { return x.Address == "10.9.9.9:8740" }) {
			t.Fatalf("%s: the gateway of an unknown data centre is not a plain member", g[i].Address)
		}
		for k := range 30 {
			if guest, ok := l.Guest(fmt.Sprint("replica-", k)); !ok || guest == "" {
				t.Fatalf("%s: a replica is offered to the gateways of unknown data centres", g[i].Address)
			}
		}
	}
}
