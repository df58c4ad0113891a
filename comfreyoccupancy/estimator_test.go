package comfreyoccupancy_test

import (
	"fmt"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyoccupancy"
	"comfreyridge.example/comfreyridge/comfreyreplica"
)

var start = time.Unix(1_000_000, 0)

func TestGenerationsAreCountedOnce(t *testing.T) {
	e := comfreyoccupancy.NewEstimator(comfreyoccupancy.Config{RemainingTokens: func(int) float64 { return 500 }})
	e.Start(start, comfreyoccupancy.Generation{ID: "own", Replica: "a", PromptTokens: 3000, GeneratedTokens: 400, IsDecoding: true})
	e.Start(start, comfreyoccupancy.Generation{ID: "being read", Replica: "a", PromptTokens: 2000})
	e.SetPeer(start, "other gateway", []comfreyoccupancy.Generation{{ID: "peer", Replica: "a", PromptTokens: 1000, IsDecoding: true}})
	e.SetReport(start, "a", comfreyreplica.Report{
		UsedTokens: 6400 + 700, CapacityTokens: 34371, // 700 tokens belong to unknown generations.
		Generations: []comfreyreplica.Generation{{ID: "own", Tokens: 3400}, {ID: "peer", Tokens: 1000}},
	})
	l := e.Loads(start)("a")
	if l.UsedTokens != 7100 || l.Running != 3 || l.PendingPrefillTokens != 2000 {
		t.Errorf("got %+v, want 7100 tokens used by 3 generations, 2000 of them pending prefill", l)
	}
}

func TestDelayedReportDoesNotCountFinishedGenerations(t *testing.T) {
	e := comfreyoccupancy.NewEstimator(comfreyoccupancy.Config{RemainingTokens: func(int) float64 { return 500 }})
	e.Start(start, comfreyoccupancy.Generation{ID: "own", Replica: "a", PromptTokens: 3000})
	e.SetPeer(start, "g", []comfreyoccupancy.Generation{{ID: "peer", Replica: "a", PromptTokens: 1000}})
	e.Finish(start, "own")
	e.SetPeer(start, "g", nil)
	r := comfreyreplica.Report{UsedTokens: 4000, Generations: []comfreyreplica.Generation{{ID: "own", Tokens: 3000}, {ID: "peer", Tokens: 1000}}}
	e.SetReport(start.Add(300*time.Millisecond), "a", r)
	if l := e.Loads(start.Add(300 * time.Millisecond))("a"); l.UsedTokens != 0 || l.Running != 0 {
		t.Errorf("got %+v, want no load", l)
	}
}

func TestUnknownGenerationsGrowWithReportAge(t *testing.T) {
	e := comfreyoccupancy.NewEstimator(comfreyoccupancy.Config{RemainingTokens: func(int) float64 { return 1000 }})
	e.SetReport(start, "a", comfreyreplica.Report{UsedTokens: 3000, Generations: []comfreyreplica.Generation{{ID: "foreign", Tokens: 3000}}})
	early, late := e.Loads(start)("a").UsedTokens, e.Loads(start.Add(2*time.Second))("a").UsedTokens
	if early <= 3000 || late <= early {
		t.Errorf("got %d used tokens, then %d; want more than 3000, then more again", early, late)
	}
}

func TestGenerationsOfSilentPeerExpire(t *testing.T) {
	e := comfreyoccupancy.NewEstimator(comfreyoccupancy.Config{})
	e.SetPeer(start, "g", []comfreyoccupancy.Generation{{ID: "peer", Replica: "a", PromptTokens: 1000, IsCopying: true}})
	if l := e.Loads(start)("a"); l.CopyTokens != 1000 || l.PendingPrefillTokens != 0 {
		t.Errorf("got %+v, want 1000 tokens being copied and no pending prefill", l)
	}
	e.Expire(start.Add(3 * time.Second))
	if l := e.Loads(start)("a"); l.UsedTokens != 0 {
		t.Errorf("got %+v, want no used tokens", l)
	}
}

// BenchmarkLoads measures the estimates for one placement decision in a large
// fleet: 31 gateways with 8 generations each at 40 replicas.
func BenchmarkLoads(b *testing.B) {
	e := comfreyoccupancy.NewEstimator(comfreyoccupancy.Config{})
	for g := range 31 {
		var l []comfreyoccupancy.Generation
		for i := range 8 {
			l = append(l, comfreyoccupancy.Generation{ID: fmt.Sprint(g, i), Replica: fmt.Sprint((8*g + i) % 40), PromptTokens: 3000, IsDecoding: true})
		}
		e.SetPeer(start, fmt.Sprint(g), l)
	}
	b.ReportAllocs()
	for b.Loop() {
		f := e.Loads(start)
		for r := range 40 {
			f(fmt.Sprint(r))
		}
	}
}

// TestSummarizedLoadCountsNewPlacements checks that the load which another cell
// reports for a replica includes this cell's placements there that are too new
// for the report, and no others.
func TestSummarizedLoadCountsNewPlacements(t *testing.T) {
	e := comfreyoccupancy.NewEstimator(comfreyoccupancy.Config{})
	if _, ok := e.SummarizedLoads(start)("a"); ok {
		t.Error("there is a load of a replica that no cell has reported")
	}
	e.Start(start, comfreyoccupancy.Generation{ID: "old", Replica: "a", PromptTokens: 1000})
	now := start.Add(2 * time.Second)
	e.SetPeer(now, "g", []comfreyoccupancy.Generation{{ID: "peer", Replica: "a", PromptTokens: 300}})
	e.SetCell(now, "south", comfreyoccupancy.Cell{Loads: map[string]comfreyoccupancy.Load{"a": {Running: 4, UsedTokens: 9000, CapacityTokens: 30_000}}})
	e.Start(now, comfreyoccupancy.Generation{ID: "new", Replica: "a", PromptTokens: 2000})
	l, ok := e.SummarizedLoads(now)("a")
	if !ok || l.Running != 6 || l.UsedTokens != 11_300 || l.PendingPrefillTokens != 2300 || l.CapacityTokens != 30_000 {
		t.Errorf("got %+v, want the reported load and two new generations", l)
	}
	if _, ok := e.SummarizedLoads(now.Add(3 * time.Second))("a"); ok {
		t.Error("the load of a cell that has fallen silent is still used")
	}
}

// TestGenerationsOfOtherCellsAreCounted checks that the generations which
// another cell has sent to a replica of this one count there once.
func TestGenerationsOfOtherCellsAreCounted(t *testing.T) {
	e := comfreyoccupancy.NewEstimator(comfreyoccupancy.Config{RemainingTokens: func(int) float64 { return 500 }})
	e.SetCell(start, "south", comfreyoccupancy.Cell{Generations: []comfreyoccupancy.Generation{{ID: "spilled", Replica: "a", PromptTokens: 3000, IsDecoding: true}}})
	e.SetReport(start, "a", comfreyreplica.Report{UsedTokens: 3000, Generations: []comfreyreplica.Generation{{ID: "spilled", Tokens: 3000}}})
	if l := e.Loads(start)("a"); l.Running != 1 || l.UsedTokens != 3000 {
		t.Errorf("got %+v, want one generation of 3000 tokens", l)
	}
	if n := len(e.CellGenerations()); n != 0 {
		t.Errorf("%d generations of another cell would be sent to other cells", n)
	}
	e.SetCell(start.Add(time.Second), "south", comfreyoccupancy.Cell{})
	if l := e.Loads(start.Add(time.Second))("a"); l.Running != 0 {
		t.Errorf("after its end: got %+v, want no load", l)
	}
}
