package comfreyreplay

import (
	"context"
	"slices"
	"strings"
	"sync"
	"testing"

	"comfreyridge.example/comfreyridge/comfreygroup"
)

// outcomeSeeds are the seeds of the short form. The long form is
// "comfreyridge replay --outcomes --seeds 20".
var outcomeSeeds = []uint64{1, 2}

// outcomes replays the scenarios once for all tests.
var outcomes = sync.OnceValues(func() ([]Outcome, error) {
	bySeed := make([][]Outcome, len(outcomeSeeds))
	g := comfreygroup.New(context.Background())
	for i, seed := range outcomeSeeds {
		g.Go("replay", func(ctx context.Context) error {
			var err error
			bySeed[i], err = Outcomes(ctx, seed, 0)
			return err
		})
	}
	err := g.Wait()
	return slices.Concat(bySeed...), err
})

// checkOutcome asserts the bound of every outcome whose name ends in suffix.
func checkOutcome(t *testing.T, suffix string) {
	t.Helper()
	all, err := outcomes()
	if err != nil {
		t.Fatal(err)
	}
	seen := 0
	for _, o := range all {
		if !strings.HasSuffix(o.Name, suffix) {
			continue
		}
		seen++
		t.Log(o)
		if !o.Hit() {
			t.Errorf("missed: %s", o)
		}
	}
	if seen < len(outcomeSeeds) {
		t.Errorf("%d outcomes end in %q", seen, suffix)
	}
}

func TestGravureStallOverReservation(t *testing.T) {
	checkOutcome(t, "gravure-stall-over-reservation")
}

func TestGravureStallOverGreedy(t *testing.T) {
	checkOutcome(t, "gravure-stall-over-greedy")
}

func TestGravurePreemptionsOverGreedy(t *testing.T) {
	checkOutcome(t, "gravure-preemptions-over-greedy")
}

func TestJabalPreemptions(t *testing.T) {
	checkOutcome(t, "jabal-preemptions-per-100")
}

func TestJabalInterTokenOverGreedy(t *testing.T) {
	checkOutcome(t, "jabal-inter-token-over-greedy")
}

func TestJabalGoodputOverGreedy(t *testing.T) {
	checkOutcome(t, "jabal-goodput-over-greedy")
}

func TestSteadyFirstToken(t *testing.T) {
	checkOutcome(t, "steady-first-token-p95")
}

func TestSteadyInterToken(t *testing.T) {
	checkOutcome(t, "steady-inter-token-p95")
}

func TestOverloadGoodput(t *testing.T) {
	checkOutcome(t, "overload-goodput-over-peak")
}

func TestOverloadRetryAfterKept(t *testing.T) {
	checkOutcome(t, "overload-retry-after-kept")
}

func TestOverloadFairness(t *testing.T) {
	checkOutcome(t, "overload-fairness")
}

func TestOverloadRefusesAtOnce(t *testing.T) {
	checkOutcome(t, "overload-late-refusals")
}
