package comfreyplacement_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyoccupancy"
	"comfreyridge.example/comfreyridge/comfreyplacement"
)

const capacity = 34371

func noRandom() float64 { return 0 }

func candidate(id string, used int) comfreyplacement.Candidate {
	return comfreyplacement.Candidate{ID: id, IsSameDataCentre: true, Slots: 24, Load: comfreyoccupancy.Load{UsedTokens: used, CapacityTokens: capacity}}
}

func ExampleChooseForGeneration() {
	l := []comfreyplacement.Candidate{candidate("busy", 20000), candidate("idle", 3000)}
	n := comfreyplacement.Demand{PromptTokens: 3000, ExpectedTokens: 900}
	fmt.Println(l[comfreyplacement.ChooseForGeneration(l, n, noRandom)].ID)
	// Output: idle
}

// A burst arrives while one replica is new. Guards against sending all prompts
// to the new replica, which has the most free capacity but prefills one after
// another.
func TestBurstIsNotSentToOneNewReplica(t *testing.T) {
	l := []comfreyplacement.Candidate{candidate("new", 0), candidate("a", 14000), candidate("b", 15000), candidate("c", 16000)}
	for i := 1; i < 4; i++ {
		l[i].Load.Running = 4
	}
	n := comfreyplacement.Demand{PromptTokens: 3000, ExpectedTokens: 900}
	for range 8 {
		i := comfreyplacement.ChooseForGeneration(l, n, noRandom)
		l[i].Load.PendingPrefillTokens += n.PromptTokens
		l[i].Load.UsedTokens += n.PromptTokens
		l[i].Load.Running++
	}
	if u := l[0].Load.PendingPrefillTokens; u > 12000 {
		t.Errorf("%d pending prefill tokens at the new replica, which take more than 1.7 s", u)
	}
}

func TestGenerationThatFitsNowhereIsNotPlaced(t *testing.T) {
	l := []comfreyplacement.Candidate{candidate("a", 33000), candidate("b", 34000)}
	if i := comfreyplacement.ChooseForGeneration(l, comfreyplacement.Demand{PromptTokens: 3000}, noRandom); i != -1 {
		t.Errorf("placed at %s, want no placement", l[i].ID)
	}
	l[0].Load.CapacityTokens = 0
	if i := comfreyplacement.ChooseForGeneration(l, comfreyplacement.Demand{PromptTokens: 3000}, noRandom); i != 0 {
		t.Error("a replica of unknown capacity was not chosen")
	}
}

func TestFailingReplicaIsAvoided(t *testing.T) {
	grey, sound := candidate("grey", 0), candidate("sound", 20000)
	grey.FailureRate = 0.6
	l := []comfreyplacement.Candidate{grey, sound}
	if i := comfreyplacement.ChooseForGeneration(l, comfreyplacement.Demand{PromptTokens: 1000}, noRandom); l[i].ID != "sound" {
		t.Error("the failing replica was chosen for a generation")
	}
	if i := comfreyplacement.ChooseForUnary(l, noRandom); l[i].ID != "sound" {
		t.Error("the failing replica was chosen for a unary request")
	}
}

// Six generations of a leaving replica move. Guards against sending all copies
// over one link, or most of them to the other data centre.
func TestCopiesAreSpreadOverDestinations(t *testing.T) {
	l := []comfreyplacement.Candidate{candidate("near-1", 12000), candidate("near-2", 12000), candidate("far", 4000)}
	l[2].IsSameDataCentre = false
	n := comfreyplacement.Demand{PromptTokens: 3500, ExpectedTokens: 500, CopyTokensPerSecond: 18_310}
	count := map[string]int{}
	for range 6 {
		i := comfreyplacement.ChooseMoveDestination(l, n, noRandom)
		count[l[i].ID]++
		l[i].Load.CopyTokens += n.PromptTokens
		l[i].Load.UsedTokens += n.PromptTokens
	}
	if count["near-1"] == 0 || count["near-2"] == 0 || count["near-1"]+count["near-2"] < count["far"] {
		t.Errorf("copies by destination: %v", count)
	}
}

func TestDestinationMustHaveFreeCapacity(t *testing.T) {
	l := []comfreyplacement.Candidate{candidate("full", 32000)}
	if i := comfreyplacement.ChooseMoveDestination(l, comfreyplacement.Demand{PromptTokens: 3500}, noRandom); i != -1 {
		t.Error("the full replica was chosen as destination")
	}
}

func TestRebalancingMovesFromFullToNewReplica(t *testing.T) {
	l := []comfreyplacement.Candidate{candidate("full", 30000), candidate("new", 0)}
	m := []comfreyplacement.Movable{{From: 0, Tokens: 3500, RemainingTokens: 20}, {From: 0, Tokens: 4000, RemainingTokens: 600}}
	if g, d := comfreyplacement.ChooseRebalancingMove(l, m); g != 1 || d != 1 {
		t.Errorf("generation %d moves to %d, want the one with the most remaining tokens (1) to the new replica (1)", g, d)
	}
	l[1].Load.CopyTokens = 3000
	if g, _ := comfreyplacement.ChooseRebalancingMove(l, m); g != -1 {
		t.Error("a replica that is receiving a copy was chosen")
	}
}

// Moves generations until no move gains anything. Guards against generations
// that move back and forth.
func TestRebalancingConverges(t *testing.T) {
	l := []comfreyplacement.Candidate{candidate("a", 32000), candidate("b", 8000), candidate("c", 0)}
	m := []comfreyplacement.Movable{}
	for range 8 {
		m = append(m, comfreyplacement.Movable{From: 0, Tokens: 4000, RemainingTokens: 600})
	}
	moves := 0
	for ; moves < 100; moves++ {
		g, d := comfreyplacement.ChooseRebalancingMove(l, m)
		if g < 0 {
			break
		}
		l[m[g].From].Load.UsedTokens -= m[g].Tokens
		l[d].Load.UsedTokens += m[g].Tokens
		m[g].From = d
	}
	if moves == 0 || moves > 6 {
		t.Errorf("%d moves, want 1 to 6", moves)
	}
}

// Load exceeds the memory. A new request may wait for a quarter of its target
// latency; guards against a wait that leaves no time for the prefill.
func TestQueueTimeoutIsAShareOfTheTargetLatency(t *testing.T) {
	const target = 1800 * time.Millisecond
	if p := comfreyplacement.QueueTimeout(target, 0, 3000); p != target/4 {
		t.Errorf("a new request waits %v, want a quarter of the target latency", p)
	}
	if p := comfreyplacement.QueueTimeout(target, 900*time.Millisecond, 3000); p <= 250*time.Millisecond || p >= 400*time.Millisecond {
		t.Errorf("a request with little spare time waits %v, want 250ms to 400ms", p)
	}
	if p := comfreyplacement.QueueTimeout(target, 5*time.Second, 3000); p <= 0 || p > time.Second {
		t.Errorf("a late request waits %v, want more than 0 and at most 1s", p)
	}
}

func TestMoveOrder(t *testing.T) {
	l := []comfreyplacement.Movable{{Tokens: 100}, {Tokens: 4000, IsDecoding: true}, {Tokens: 3000, IsDecoding: true}}
	slices.SortFunc(l, comfreyplacement.MoveOrder)
	if l[0].Tokens != 3000 || l[1].Tokens != 4000 || l[2].IsDecoding {
		t.Errorf("got order %+v", l)
	}
}

// Thirty gateways with the same view see memory become free at the same time.
// Guards against placements beyond a replica's memory: a gateway without a
// reservation tries another replica or waits.
func TestReservationsPreventOvercommitment(t *testing.T) {
	l := []comfreyplacement.Candidate{candidate("a", 20000), candidate("b", 26000), candidate("c", 27000)}
	free := map[string]int{"a": 14371, "b": 8371, "c": 7371}
	n := comfreyplacement.Demand{PromptTokens: 3000, ExpectedTokens: 800}
	placed := 0
	for range 30 {
		own := slices.Clone(l)
		for range 3 {
			i := comfreyplacement.ChooseForGeneration(own, n, noRandom)
			if i < 0 {
				break
			}
			tokens := comfreyplacement.ReservationTokens(own[i], n)
			if tokens < n.PromptTokens {
				t.Fatalf("%d tokens reserved at %s", tokens, own[i].ID)
			}
			if tokens <= free[own[i].ID] {
				free[own[i].ID] -= tokens
				placed++
				break
			}
			own[i].Load.IsRefusing = true
		}
	}
	if placed != 8 {
		t.Errorf("%d of 30 generations placed, want 8", placed)
	}
}

func TestEmptyReplicaNeedsNoReservation(t *testing.T) {
	if v := comfreyplacement.ReservationTokens(candidate("a", 3000), comfreyplacement.Demand{PromptTokens: 3000}); v != 0 {
		t.Errorf("%d tokens reserved at an empty replica, want 0", v)
	}
}
