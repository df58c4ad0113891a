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

func noDraw() float64 { return 0 }

func candidate(id string, used int) comfreyplacement.Candidate {
	return comfreyplacement.Candidate{ID: id, IsSameDataCentre: true, Slots: 24, Load: comfreyoccupancy.Load{UsedTokens: used, CapacityTokens: capacity}}
}

func ExampleChooseForGeneration() {
	l := []comfreyplacement.Candidate{candidate("busy", 20000), candidate("idle", 3000)}
	n := comfreyplacement.Demand{PromptTokens: 3000, ExpectedTokens: 900}
	fmt.Println(l[comfreyplacement.ChooseForGeneration(l, n, noDraw)].ID)
	// Output: idle
}

// Replays the pattern of a burst on replicas of which one is new: prompts must
// not all be read at the new one, although it has the most memory.
func TestBurstDoesNotPileUpAtANewReplica(t *testing.T) {
	l := []comfreyplacement.Candidate{candidate("new", 0), candidate("a", 14000), candidate("b", 15000), candidate("c", 16000)}
	for i := 1; i < 4; i++ {
		l[i].Load.Running = 4
	}
	n := comfreyplacement.Demand{PromptTokens: 3000, ExpectedTokens: 900}
	for range 8 {
		i := comfreyplacement.ChooseForGeneration(l, n, noDraw)
		l[i].Load.PendingPrefillTokens += n.PromptTokens
		l[i].Load.UsedTokens += n.PromptTokens
		l[i].Load.Running++
	}
	if u := l[0].Load.PendingPrefillTokens; u > 12000 {
		t.Errorf("%d unread tokens at the new replica, which it reads in more than 1.7 s", u)
	}
}

func TestGenerationWithoutRoomIsNotPlaced(t *testing.T) {
	l := []comfreyplacement.Candidate{candidate("a", 33000), candidate("b", 34000)}
	if i := comfreyplacement.ChooseForGeneration(l, comfreyplacement.Demand{PromptTokens: 3000}, noDraw); i != -1 {
		t.Errorf("placed at %s", l[i].ID)
	}
	l[0].Load.CapacityTokens = 0
	if i := comfreyplacement.ChooseForGeneration(l, comfreyplacement.Demand{PromptTokens: 3000}, noDraw); i != 0 {
		t.Error("a replica of unknown size is not tried")
	}
}

func TestFailingReplicaIsAvoided(t *testing.T) {
	grey, sound := candidate("grey", 0), candidate("sound", 20000)
	grey.FailureRate = 0.6
	l := []comfreyplacement.Candidate{grey, sound}
	if i := comfreyplacement.ChooseForGeneration(l, comfreyplacement.Demand{PromptTokens: 1000}, noDraw); l[i].ID != "sound" {
		t.Error("a generation went to the failing replica")
	}
	if i := comfreyplacement.ChooseForUnary(l, noDraw); l[i].ID != "sound" {
		t.Error("a request went to the failing replica")
	}
}

// Replays the departure of a replica with nine generations while another one
// leaves: copies spread over the destinations of the same data centre first.
func TestCopiesSpreadOverLinks(t *testing.T) {
	l := []comfreyplacement.Candidate{candidate("near-1", 12000), candidate("near-2", 12000), candidate("far", 4000)}
	l[2].IsSameDataCentre = false
	n := comfreyplacement.Demand{PromptTokens: 3500, ExpectedTokens: 500, CopyRate: 18_310}
	count := map[string]int{}
	for range 6 {
		i := comfreyplacement.ChooseMoveDestination(l, n, noDraw)
		count[l[i].ID]++
		l[i].Load.CopyTokens += n.PromptTokens
		l[i].Load.UsedTokens += n.PromptTokens
	}
	if count["near-1"] == 0 || count["near-2"] == 0 || count["near-1"]+count["near-2"] < count["far"] {
		t.Errorf("got %v", count)
	}
}

func TestDestinationMustHoldTheMemory(t *testing.T) {
	l := []comfreyplacement.Candidate{candidate("full", 32000)}
	if i := comfreyplacement.ChooseMoveDestination(l, comfreyplacement.Demand{PromptTokens: 3500}, noDraw); i != -1 {
		t.Error("a full replica was chosen")
	}
}

func TestReliefMovesFromFullToNew(t *testing.T) {
	l := []comfreyplacement.Candidate{candidate("full", 30000), candidate("new", 0)}
	m := []comfreyplacement.Movable{{From: 0, Tokens: 3500, RemainingTokens: 20}, {From: 0, Tokens: 4000, RemainingTokens: 600}}
	if g, d := comfreyplacement.ChooseRebalancingMove(l, m); g != 1 || d != 1 {
		t.Errorf("got %d, %d: the run that has most left should go to the new replica", g, d)
	}
	l[1].Load.CopyTokens = 3000
	if g, _ := comfreyplacement.ChooseRebalancingMove(l, m); g != -1 {
		t.Error("a replica whose link is busy was chosen")
	}
}

// Relief must come to rest: moving until nothing is gained ends, and no
// generation moves back.
func TestReliefComesToRest(t *testing.T) {
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
		t.Errorf("%d moves", moves)
	}
}

// Replays the pattern of a load beyond the memory: who would wait long is told
// so early, and nobody waits past the time that its prompt takes to read.
func TestPatienceIsAPartOfTheObjective(t *testing.T) {
	const objective = 1800 * time.Millisecond
	if p := comfreyplacement.QueueTimeout(objective, 0, 3000); p != objective/4 {
		t.Errorf("a fresh request waits %v", p)
	}
	if p := comfreyplacement.QueueTimeout(objective, 900*time.Millisecond, 3000); p <= 250*time.Millisecond || p >= 400*time.Millisecond {
		t.Errorf("a request with little time left waits %v", p)
	}
	if p := comfreyplacement.QueueTimeout(objective, 5*time.Second, 3000); p <= 0 || p > time.Second {
		t.Errorf("a late request waits %v", p)
	}
}

func TestMoveOrder(t *testing.T) {
	l := []comfreyplacement.Movable{{Tokens: 100}, {Tokens: 4000, HasBegun: true}, {Tokens: 3000, HasBegun: true}}
	slices.SortFunc(l, comfreyplacement.MoveOrder)
	if l[0].Tokens != 3000 || l[1].Tokens != 4000 || l[2].HasBegun {
		t.Errorf("got %+v", l)
	}
}

// Replays the pattern of thirty gateways that see memory come free at the same
// moment. Each chooses by the same view; what a replica grants in reservations
// never exceeds its memory, and the others look elsewhere or wait.
func TestReservationsKeepGatewaysFromFillingOneReplica(t *testing.T) {
	l := []comfreyplacement.Candidate{candidate("a", 20000), candidate("b", 26000), candidate("c", 27000)}
	free := map[string]int{"a": 14371, "b": 8371, "c": 7371}
	n := comfreyplacement.Demand{PromptTokens: 3000, ExpectedTokens: 800}
	placed := 0
	for range 30 {
		own := slices.Clone(l)
		for range 3 {
			i := comfreyplacement.ChooseForGeneration(own, n, noDraw)
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
		t.Errorf("%d placed, of 30; there is room for 8", placed)
	}
}

func TestEmptyReplicaIsUsedWithoutAReservation(t *testing.T) {
	if v := comfreyplacement.ReservationTokens(candidate("a", 3000), comfreyplacement.Demand{PromptTokens: 3000}); v != 0 {
		t.Errorf("%d tokens reserved at an empty replica", v)
	}
}
