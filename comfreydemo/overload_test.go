package comfreydemo

import (
	"flag"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyadmission"
	"comfreyridge.example/comfreyridge/comfreycaller"
	"comfreyridge.example/comfreyridge/comfreyfakeengine"
	"comfreyridge.example/comfreyridge/comfreysidecar"
)

// long adds the tests whose callers wait for the time that they are told, which
// takes up to two minutes.
var long = flag.Bool("comfrey.long", false, "run the tests that take minutes")

func TestRefusedCallerIsServedWhenItReturnsAsTold(t *testing.T) {
	if !*long {
		t.Skip("takes minutes; run with -comfrey.long")
	}
	f := startFleet(t, FleetConfig{Engines: 1, Engine: comfreyfakeengine.Config{StepTime: 300 * time.Microsecond, CapacityTokens: 20000, BatchSize: 8}, Sidecar: comfreysidecar.Config{Admission: comfreyadmission.Config{MaxQueueTime: 2 * time.Second}}})
	c := newCaller(t)
	var refused, served atomic.Int64
	var wg sync.WaitGroup
	for i := range 60 {
		wg.Go(func() {
			r := c.Stream(t.Context(), f.URL(i%2), lengthBody(t, 1500+i, true), "", nil)
			if r.Complete || r.Error.RetryAfter == 0 {
				return
			}
			if r.Error.Verdict.String() != "not-run" {
				t.Errorf("a refusal with a time to return is %s", r.Error)
			}
			refused.Add(1)
			if returnAsTold(t, c, f, i, r) {
				served.Add(1)
			}
		})
	}
	wg.Wait()
	if refused.Load() == 0 {
		t.Error("the load did not exceed the capacity")
	}
	t.Logf("%d refused, %d of them served on their return", refused.Load(), served.Load())
	if 10*served.Load() < 9*refused.Load() {
		t.Errorf("%d of %d callers that followed Retry-After were served, want 90%%", served.Load(), refused.Load())
	}
}

// returnAsTold sends the request again after the told time, with its token.
func returnAsTold(t *testing.T, c comfreycaller.Caller, f *Fleet, i int, r comfreycaller.Result) bool {
	time.Sleep(r.Error.RetryAfter)
	h := http.Header{comfreycaller.HeaderRetryToken: {r.RetryToken}}
	again := c.WithHeader(h).Stream(t.Context(), f.URL(i%2), lengthBody(t, 1500+i, true), "", nil)
	if !again.Complete {
		t.Logf("told to return after %s by %s, then: %+v", r.Error.RetryAfter, r.Error, again.Error)
	}
	return again.Complete
}
