package comfreydemo

import (
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyfakeengine"
)

func TestUpstreamThatIsDownAttractsNoWork(t *testing.T) {
	f := startFleet(t, FleetConfig{Engines: 3, Engine: comfreyfakeengine.Config{StepTime: 10 * time.Microsecond}})
	f.Engines[0].Crash(time.Minute)
	c := newCaller(t)
	failed := 0
	for i := range 80 {
		if r := c.Stream(t.Context(), f.URL(i%2), lengthBody(t, 3+i, true), "", nil); !r.Complete {
			failed++
			t.Logf("request %d: %s", i, r.Error)
		}
	}
	if failed > 0 {
		t.Errorf("%d of 80 requests failed although two of three engines are up", failed)
	}
}

func TestReclaimedEngineGetsNoNewWork(t *testing.T) {
	f := startFleet(t, FleetConfig{Engines: 2, Engine: comfreyfakeengine.Config{StepTime: 10 * time.Microsecond}})
	f.Engines[0].Reclaim(time.Minute)
	for f.Sidecars[0].ready() == nil && t.Context().Err() == nil {
		time.Sleep(time.Millisecond)
	}
	before := len(f.Engines[0].Runs())
	c := newCaller(t)
	for i := range 30 {
		if r := c.Stream(t.Context(), f.URL(i%2), lengthBody(t, 3+i, true), "", nil); !r.Complete {
			t.Errorf("request %d: %s", i, r.Error)
		}
	}
	if n := len(f.Engines[0].Runs()) - before; n > 0 {
		t.Errorf("%d requests began at a reclaimed engine", n)
	}
}
