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
	b := comfreyoccupancy.NewBoard(comfreyoccupancy.Config{Remaining: func(int) float64 { return 500 }})
	b.Start(comfreyoccupancy.Run{ID: "own", Replica: "a", PromptTokens: 3000, GrownTokens: 400, HasBegun: true})
	b.Start(comfreyoccupancy.Run{ID: "being read", Replica: "a", PromptTokens: 2000})
	b.Peer(start, "other gateway", []comfreyoccupancy.Run{{ID: "peer", Replica: "a", PromptTokens: 1000, HasBegun: true}})
	b.Report(start, "a", comfreyreplica.Report{
		UsedTokens: 6400 + 700, CapacityTokens: 34371, // 700 tokens belong to nobody known.
		Runs: []comfreyreplica.Run{{ID: "own", Tokens: 3400}, {ID: "peer", Tokens: 1000}},
	})
	l := b.Loads(start)("a")
	if l.UsedTokens != 7100 || l.Running != 3 || l.UnreadTokens != 2000 {
		t.Errorf("got %+v", l)
	}
}

func TestLateReportDoesNotBringBackFinishedRuns(t *testing.T) {
	b := comfreyoccupancy.NewBoard(comfreyoccupancy.Config{Remaining: func(int) float64 { return 500 }})
	b.Start(comfreyoccupancy.Run{ID: "own", Replica: "a", PromptTokens: 3000})
	b.Peer(start, "g", []comfreyoccupancy.Run{{ID: "peer", Replica: "a", PromptTokens: 1000}})
	b.Finish(start, "own")
	b.Peer(start, "g", nil)
	r := comfreyreplica.Report{UsedTokens: 4000, Runs: []comfreyreplica.Run{{ID: "own", Tokens: 3000}, {ID: "peer", Tokens: 1000}}}
	b.Report(start.Add(300*time.Millisecond), "a", r)
	if l := b.Loads(start.Add(300 * time.Millisecond))("a"); l.UsedTokens != 0 || l.Running != 0 {
		t.Errorf("got %+v", l)
	}
}

func TestUnknownRunsGrowWithTheAgeOfTheReport(t *testing.T) {
	b := comfreyoccupancy.NewBoard(comfreyoccupancy.Config{Remaining: func(int) float64 { return 1000 }})
	b.Report(start, "a", comfreyreplica.Report{UsedTokens: 3000, Runs: []comfreyreplica.Run{{ID: "foreign", Tokens: 3000}}})
	early, late := b.Loads(start)("a").UsedTokens, b.Loads(start.Add(2*time.Second))("a").UsedTokens
	if early <= 3000 || late <= early {
		t.Errorf("got %d, then %d", early, late)
	}
}

func TestSilentGatewayIsForgotten(t *testing.T) {
	b := comfreyoccupancy.NewBoard(comfreyoccupancy.Config{})
	b.Peer(start, "g", []comfreyoccupancy.Run{{ID: "peer", Replica: "a", PromptTokens: 1000, IsCopying: true}})
	if l := b.Loads(start)("a"); l.CopyTokens != 1000 || l.UnreadTokens != 0 {
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
	board := comfreyoccupancy.NewBoard(comfreyoccupancy.Config{})
	for g := range 31 {
		var l []comfreyoccupancy.Run
		for i := range 8 {
			l = append(l, comfreyoccupancy.Run{ID: fmt.Sprint(g, i), Replica: fmt.Sprint((8*g + i) % 40), PromptTokens: 3000, HasBegun: true})
		}
		board.Peer(start, fmt.Sprint(g), l)
	}
	b.ReportAllocs()
	for b.Loop() {
		f := board.Loads(start)
		for r := range 40 {
			f(fmt.Sprint(r))
		}
	}
}
