// Package comfreyseed runs a randomized test over a range of seeds. The range
// is fixed by default, so that every run gives the same verdict, and flags of
// the test binary select a longer range, a single seed, or a range from a seed
// on:
//
//	go test ./comfreyorder -run TestOrders -comfrey.seeds=1000000 -timeout=0
//	go test ./comfreyorder -run TestOrders -comfrey.seed=4711 -v
//	go test ./platform -run TestSoak -comfrey.seed=200 -comfrey.seeds=50
package comfreyseed

import (
	"flag"
	"iter"
	"math/rand/v2"
	"testing"
)

var (
	seedCount = flag.Int("comfrey.seeds", 0, "how many seeds to run; 0 selects the test's default")
	firstSeed = flag.Uint64("comfrey.seed", 0, "the first seed to run, alone if no count is given; 0 selects 1")
)

// Seeds yields the seeds from 1 to count, or those that the flags select.
func Seeds(count int) iter.Seq[uint64] {
	first := uint64(1)
	if *firstSeed != 0 {
		first, count = *firstSeed, 1
	}
	if *seedCount > 0 {
		count = *seedCount
	}
	return func(yield func(seed uint64) bool) {
		for i := range uint64(count) {
			if !yield(first + i) {
				return
			}
		}
	}
}

// Each calls f with a random source for each seed of Seeds. It stops at the
// first seed that fails and logs the flag that runs this seed again.
func Each(t *testing.T, count int, f func(t *testing.T, r *rand.Rand)) {
	t.Helper()
	n := 0
	for s := range Seeds(count) {
		run(t, s, f)
		n++
	}
	t.Logf("%d seeds", n)
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
