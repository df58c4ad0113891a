package comfreyoccupancy_test

import (
	"fmt"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyoccupancy"
	"comfreyridge.example/comfreyridge/comfreyreplica"
)

var start = time.Unix(1_000_000, 0)

func TestRunsAreCountedOnce(t *testing.T) {
	b := comfreyoccupancy.NewEstimator(comfreyoccupancy.Config{RemainingTokens: func(int) float64 { return 500 }})
	b.Start(comfreyoccupancy.Generation{ID: "own", Replica: "a", PromptTokens: 3000, GeneratedTokens: 400, IsDecoding: true})
	b.Start(comfreyoccupancy.Generation{ID: "being read", Replica: "a", PromptTokens: 2000})
	b.SetPeer(start, "other gateway", []comfreyoccupancy.Generation{{ID: "peer", Replica: "a", PromptTokens: 1000, IsDecoding: true}})
	b.SetReport(start, "a", comfreyreplica.Report{
		UsedTokens: 6400 + 700, CapacityTokens: 34371, // 700 tokens belong to nobody known.
		Generations: []comfreyreplica.Generation{{ID: "own", Tokens: 3400}, {ID: "peer", Tokens: 1000}},
	})
	l := b.Loads(start)("a")
	if l.UsedTokens != 7100 || l.Running != 3 || l.PendingPrefillTokens != 2000 {
		t.Errorf("got %+v", l)
	}
}

func TestLateReportDoesNotBringBackFinishedRuns(t *testing.T) {
	b := comfreyoccupancy.NewEstimator(comfreyoccupancy.Config{RemainingTokens: func(int) float64 { return 500 }})
	b.Start(comfreyoccupancy.Generation{ID: "own", Replica: "a", PromptTokens: 3000})
	b.SetPeer(start, "g", []comfreyoccupancy.Generation{{ID: "peer", Replica: "a", PromptTokens: 1000}})
	b.Finish(start, "own")
	b.SetPeer(start, "g", nil)
	r := comfreyreplica.Report{UsedTokens: 4000, Generations: []comfreyreplica.Generation{{ID: "own", Tokens: 3000}, {ID: "peer", Tokens: 1000}}}
	b.SetReport(start.Add(300*time.Millisecond), "a", r)
	if l := b.Loads(start.Add(300 * time.Millisecond))("a"); l.UsedTokens != 0 || l.Running != 0 {
		t.Errorf("got %+v", l)
	}
}

func TestUnknownRunsGrowWithTheAgeOfTheReport(t *testing.T) {
	b := comfreyoccupancy.NewEstimator(comfreyoccupancy.Config{RemainingTokens: func(int) float64 { return 1000 }})
	b.SetReport(start, "a", comfreyreplica.Report{UsedTokens: 3000, Generations: []comfreyreplica.Generation{{ID: "foreign", Tokens: 3000}}})
	early, late := b.Loads(start)("a").UsedTokens, b.Loads(start.Add(2*time.Second))("a").UsedTokens
	if early <= 3000 || late <= early {
		t.Errorf("got %d, then %d", early, late)
	}
}

func TestSilentGatewayIsForgotten(t *testing.T) {
	b := comfreyoccupancy.NewEstimator(comfreyoccupancy.Config{})
	b.SetPeer(start, "g", []comfreyoccupancy.Generation{{ID: "peer", Replica: "a", PromptTokens: 1000, IsCopying: true}})
	if l := b.Loads(start)("a"); l.CopyTokens != 1000 || l.PendingPrefillTokens != 0 {
		t.Errorf("got %+v", l)
	}
	b.Expire(start.Add(3 * time.Second))
	if l := b.Loads(start)("a"); l.UsedTokens != 0 {
		t.Errorf("got %+v", l)
	}
}

// BenchmarkLoads measures the estimates for one decision of a large fleet: 31
// gateways with 8 runs each at 40 replicas.
func BenchmarkLoads(b *testing.B) {
	board := comfreyoccupancy.NewEstimator(comfreyoccupancy.Config{})
	for g := range 31 {
		var l []comfreyoccupancy.Generation
		for i := range 8 {
			l = append(l, comfreyoccupancy.Generation{ID: fmt.Sprint(g, i), Replica: fmt.Sprint((8*g + i) % 40), PromptTokens: 3000, IsDecoding: true})
		}
		board.SetPeer(start, fmt.Sprint(g), l)
	}
	b.ReportAllocs()
	for b.Loop() {
		f := board.Loads(start)
		for r := range 40 {
			f(fmt.Sprint(r))
		}
	}
}
