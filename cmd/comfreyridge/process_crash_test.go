package main

import (
	"strings"
	"sync"
	"testing"

	"comfreyridge.example/comfreyridge/comfreycaller"
	"comfreyridge.example/comfreyridge/comfreyfakeengine"
)

// poisonSends is how often a caller sends the request that crashes engines.
const poisonSends = 20

// lostEngines counts the lives of engines that ended while something ran. A
// generation's id opens with the identity of its engine's life.
func (f *processFleet) lostEngines() int {
	f.t.Helper()
	lives := map[string]bool{}
	for _, n := range f.engines {
		for _, r := range engineRuns(f.t, n) {
			if r.Lost == 0 {
				continue
			}
			for _, id := range r.Generations {
				life, _, _ := strings.Cut(id, "-")
				lives[life] = true
			}
		}
	}
	return len(lives)
}

// sendPoison sends the request that crashes engines through one gateway.
func (f *processFleet) sendPoison(g *node) {
	body := comfreycaller.Body(generationService, "Report "+comfreyfakeengine.PoisonText, 20)
	if r := f.caller().Stream(f.t.Context(), g.url, body, "", nil); r.Complete {
		f.t.Error("the request that crashes engines completed")
	}
}

// checkLost asserts that one request cost no more than two engines.
func (f *processFleet) checkLost() {
	f.t.Helper()
	if n := f.lostEngines(); n == 0 || n > 2 {
		f.t.Errorf("%d engines were lost to one request", n)
	}
	f.serves()
}

func TestProcessesCrashedByOneRequest(t *testing.T) {
	t.Parallel()
	f := startProcesses(t, fleetOptions{})
	for i := range poisonSends {
		f.sendPoison(f.gateways[i%2])
	}
	f.checkLost()
}

func TestProcessesCrashedByCopiesAtOnce(t *testing.T) {
	t.Parallel()
	f := startProcesses(t, fleetOptions{})
	var wg sync.WaitGroup
	for _, g := range f.gateways {
		wg.Go(func() {
			for range poisonSends / 2 {
				f.sendPoison(g)
			}
		})
	}
	wg.Wait()
	f.checkLost()
}
