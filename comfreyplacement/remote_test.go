package comfreyplacement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"comfreyridge.example/comfreyridge/comfreyoccupancy"
	"comfreyridge.example/comfreyridge/comfreyplacement"
)

// TestGatewaysOfFullCellSpreadOverOtherCells replays a cell whose replicas are
// all full. Its 21 gateways see the same eight replicas of another cell, whose
// loads are half a second old, and place a generation each within that time.
func TestGatewaysOfFullCellSpreadOverOtherCells(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	received := map[string]int{}
	for range 21 {
		var remote []comfreyplacement.Candidate
		for i := range 8 {
			remote = append(remote, comfreyplacement.Candidate{ID: fmt.Sprint("replica-", i), Load: comfreyoccupancy.Load{Running: 1, UsedTokens: 3000 + 200*i, CapacityTokens: 33_000}})
		}
		l := comfreyplacement.SampleRemote(remote, r.Float64)
		received[l[comfreyplacement.ChooseForGeneration(l, comfreyplacement.Demand{PromptTokens: 3000}, r.Float64)].ID]++
	}
	for id, n := range received {
		if n > 21/2 {
			t.Errorf("%s received %d of 21 generations", id, n)
		}
	}
	if len(received) < 4 {
		t.Errorf("the generations went to %d replicas, want at least 4 of 8", len(received))
	}
}

func TestSampleRemoteReturnsDistinctCandidates(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for n := range 6 {
		var l []comfreyplacement.Candidate
		for i := range n {
			l = append(l, comfreyplacement.Candidate{ID: fmt.Sprint(i)})
		}
		ids := map[string]bool{}
		s := comfreyplacement.SampleRemote(l, r.Float64)
		for _, c := range s {
			ids[c.ID] = true
		}
		if len(ids) != len(s) || len(s) != min(n, 3) {
			t.Errorf("of %d candidates: got %v", n, s)
		}
	}
}

func TestLeastLoaded(t *testing.T) {
	l := []comfreyplacement.Candidate{
		{ID: "full", Load: comfreyoccupancy.Load{Running: 9, UsedTokens: 30_000, CapacityTokens: 33_000}},
		{ID: "empty", Load: comfreyoccupancy.Load{CapacityTokens: 33_000}},
		{ID: "busy", Load: comfreyoccupancy.Load{Running: 3, UsedTokens: 9000, CapacityTokens: 33_000}},
	}
	if s := comfreyplacement.LeastLoaded(l, 2); len(s) != 2 || s[0].ID != "empty" || s[1].ID != "busy" {
		t.Errorf("got %v, want the empty and the busy one", s)
	}
	if s := comfreyplacement.LeastLoaded(l, 9); len(s) != 3 {
		t.Errorf("got %d candidates, want all three", len(s))
	}
}
