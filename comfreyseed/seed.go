// Package comfreyseed runs a randomized test over a range of seeds. The range
// is fixed by default, so that every run gives the same verdict, and flags of
// the test binary select a longer range or a single seed:
//
//	go test ./comfreyorder -run TestOrders -comfrey.seeds=1000000 -timeout=0
//	go test ./comfreyorder -run TestOrders -comfrey.seed=4711 -v
package comfreyseed

import (
	"flag"
	"math/rand/v2"
	"testing"
)

var (
	seedCount = flag.Int("comfrey.seeds", 0, "how many seeds to run, from 1; 0 selects the test's default")
	oneSeed   = flag.Uint64("comfrey.seed", 0, "the only seed to run; 0 selects a range")
)

// Each calls f with a random source for each seed from 1 to count, or for those
// that the flags select. It stops at the first seed that fails and logs the
// flag that runs this seed again.
func Each(t *testing.T, count int, f func(t *testing.T, r *rand.Rand)) {
	t.Helper()
	if *oneSeed != 0 {
		run(t, *oneSeed, f)
		return
	}
	if *seedCount > 0 {
		count = *seedCount
	}
	for s := range uint64(count) {
		run(t, s+1, f)
	}
	t.Logf("%d seeds", count)
}

func run(t *testing.T, seed uint64, f func(t *testing.T, r *rand.Rand)) {
	t.Helper()
	ok := false
	defer func() {
		if !ok || t.Failed() {
			t.Logf("rerun with: -run '^%s$' -comfrey.seed=%d", t.Name(), seed)
		}
	}()
	f(t, rand.New(rand.NewPCG(seed, 0)))
	ok = true
	if t.Failed() {
		t.FailNow()
	}
}
