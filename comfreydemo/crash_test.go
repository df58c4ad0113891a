package comfreydemo

import (
	"encoding/json"
	"sync"
	"testing"

	"comfreyridge.example/comfreyridge/comfreycaller"
	"comfreyridge.example/comfreyridge/comfreyfakeengine"
)

// poisonBody asks for an answer that crashes the engine.
func poisonBody(t testing.TB) []byte {
	t.Helper()
	b, err := json.Marshal(map[string]any{"model": GenerationService, "prompt": "Report " + comfreyfakeengine.PoisonText, "stream": true})
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestRequestThatCrashesEnginesLosesAtMostTwo(t *testing.T) {
	f := startFleet(t, FleetConfig{Engines: 6})
	c := newCaller(t)
	var wg sync.WaitGroup
	for i := range 2 {
		wg.Go(func() {
			for range 10 {
				if r := c.Stream(t.Context(), f.URL(i), poisonBody(t), "", nil); r.Complete {
					t.Error("the request that crashes engines completed")
				}
			}
		})
	}
	wg.Wait()
	lost := 0
	for _, e := range f.Engines {
		lost += e.Crashes()
	}
	if lost > 2 {
		t.Errorf("%d upstreams were lost to one request", lost)
	}
	r := c.Stream(t.Context(), f.URL(0), poisonBody(t), "", nil)
	if r.Error.Verdict.String() != "not-run" || r.Error.Reason != "suspect-request" {
		t.Errorf("the request is not refused for good: %+v", r)
	}
}

func TestInnocentRequestsBesideACrashAreServedAgain(t *testing.T) {
	f := startFleet(t, FleetConfig{Engines: 3})
	c := newCaller(t)
	innocents := 6
	var wg sync.WaitGroup
	for i := range innocents {
		wg.Go(func() { c.Stream(t.Context(), f.URL(0), lengthBody(t, 150+i, true), "", nil) })
	}
	waitForRun(t, f)
	c.Stream(t.Context(), f.URL(0), poisonBody(t), "", nil)
	wg.Wait()
	for i := range innocents {
		r := serveInTheEnd(t, c, f, lengthBody(t, 150+i, true))
		if !r.Complete {
			t.Fatalf("innocent request %d: %+v", i, r)
		}
		checkText(t, r.Text, 0, 150+i)
	}
}

// serveInTheEnd sends a request again for as long as it is told to come back.
func serveInTheEnd(t testing.TB, c comfreycaller.Caller, f *Fleet, body []byte) comfreycaller.Result {
	t.Helper()
	for {
		r := c.Stream(t.Context(), f.URL(1), body, "", nil)
		if r.Complete || r.Error.Reason != "suspect-busy" || t.Context().Err() != nil {
			return r
		}
	}
}

func TestCopiesOfAHarmlessRequestAreServed(t *testing.T) {
	f := startFleet(t, FleetConfig{Engines: 6})
	c := newCaller(t)
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Go(func() {
			r := c.Stream(t.Context(), f.URL(i%2), lengthBody(t, 700, true), "", nil)
			if !r.Complete {
				t.Errorf("copy %d: %+v", i, r.Error)
			}
		})
	}
	wg.Wait()
}
