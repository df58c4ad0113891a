package comfreydemo

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreycaller"
	"comfreyridge.example/comfreyridge/comfreyfakeengine"
	"comfreyridge.example/comfreyridge/comfreygateway"
	"comfreyridge.example/comfreyridge/comfreysidecar"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// stepTime slows the engines down so that a fault hits a running generation.
const stepTime = 2 * time.Millisecond

// startFleet starts a fleet that ends with the test.
func startFleet(t testing.TB, c FleetConfig) *Fleet {
	t.Helper()
	if c.Engine.StepTime == 0 {
		c.Engine.StepTime = stepTime
	}
	if c.Gateway.DrainDelay == 0 {
		c.Gateway.DrainDelay = -1
	}
	if c.Gateway.SilenceTimeout == 0 {
		c.Gateway.SilenceTimeout = 400 * time.Millisecond
	}
	if c.Gateway.Router.MaxHintAge == 0 {
		c.Gateway.Router.MaxHintAge = time.Second
	}
	if c.Sidecar.DrainDelay == 0 {
		c.Sidecar.DrainDelay = time.Second
	}
	if c.Sidecar.Heartbeat == 0 {
		c.Sidecar.Heartbeat = 100 * time.Millisecond
	}
	f, err := StartFleet(t.Context(), c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Stop)
	return f
}

// newCaller returns a caller with connections of its own.
func newCaller(t testing.TB) comfreycaller.Caller {
	tr := &http.Transport{MaxIdleConnsPerHost: 64}
	t.Cleanup(tr.CloseIdleConnections)
	return comfreycaller.Caller{Key: SampleKey, HTTP: &http.Client{Transport: tr}}
}

// lengthBody asks for an answer of exactly n tokens.
func lengthBody(t testing.TB, n int, stream bool) []byte {
	t.Helper()
	b, err := json.Marshal(map[string]any{"model": GenerationService, "prompt": "Cut-out for a sink.", "stream": stream, "fake_length": n})
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// checkText asserts that an answer holds tokens from..n-1 once, in order, of one
// generation, and returns the mark of that generation.
func checkText(t testing.TB, text string, from, n int) string {
	t.Helper()
	words := strings.Fields(text)
	if len(words) != n-from {
		t.Fatalf("got %d tokens, want %d: %.200q", len(words), n-from, text)
	}
	mark, _, _ := strings.Cut(words[0], "-")
	for i, w := range words {
		if w != fmt.Sprintf("%s-%d", mark, from+i) {
			t.Fatalf("token %d is %q, of generation %s", from+i, w, mark)
		}
	}
	return mark
}

func TestAnswerArrivesWhole(t *testing.T) {
	f := startFleet(t, FleetConfig{})
	r := newCaller(t).Stream(t.Context(), f.URL(0), lengthBody(t, 50, true), "", nil)
	if !r.Complete {
		t.Fatalf("got %+v", r)
	}
	checkText(t, r.Text, 0, 50)
}

func TestCallerOfAKilledGatewayResumesAtAnother(t *testing.T) {
	f := startFleet(t, FleetConfig{})
	c := newCaller(t)
	first := c.Stream(t.Context(), f.URL(0), lengthBody(t, 300, true), "", killAfter(f.Gateways[0], 20))
	if first.Complete {
		t.Fatal("the answer ended before the gateway was killed")
	}
	second := c.Stream(t.Context(), f.URL(1), nil, first.LastEventID, nil)
	if !second.Complete {
		t.Fatalf("got %+v", second)
	}
	checkText(t, first.Text+second.Text, 0, 300)
}

// killAfter returns an event function that kills a process at the n-th event.
func killAfter(n *Node, events int) func(comfreycaller.Event) {
	seen := 0
	return func(comfreycaller.Event) {
		seen++
		if seen == events {
			n.Kill()
		}
	}
}

func TestKilledSidecarEndsTheAnswerWithATypedError(t *testing.T) {
	f := startFleet(t, FleetConfig{Engines: 1})
	r := newCaller(t).Stream(t.Context(), f.URL(0), lengthBody(t, 300, true), "", killAfter(f.Sidecars[0], 20))
	if r.Complete || r.Error.Verdict.String() != "ran" || r.Error.Reason != "connection-lost" {
		t.Fatalf("got %+v", r)
	}
}

func TestKilledSidecarBeforeTheFirstTokenIsRetriedElsewhere(t *testing.T) {
	f := startFleet(t, FleetConfig{Engines: 2})
	i, result := streamAtStalledEngines(t, f)
	f.Sidecars[i].Kill()
	<-f.Sidecars[i].Done
	for _, e := range f.Engines {
		e.Resume()
	}
	r := result()
	if !r.Complete {
		t.Fatalf("got %+v", r)
	}
	checkText(t, r.Text, 0, 30)
}

func TestVerdictCoversEveryAttempt(t *testing.T) {
	f := startFleet(t, FleetConfig{Engines: 2})
	i, result := streamAtStalledEngines(t, f)
	f.Sidecars[1-i].Kill()
	<-f.Sidecars[1-i].Done
	f.Sidecars[i].Kill()
	r := result()
	if r.Complete || r.Error.Verdict != comfreyverdict.VerdictMayHaveRun {
		t.Fatalf("the first attempt began at an engine, the second was refused: got %+v", r)
	}
}

// streamAtStalledEngines sends a request that no engine answers yet, and returns
// the index of the engine that holds it and a function that waits for the result.
func streamAtStalledEngines(t testing.TB, f *Fleet) (engine int, result func() comfreycaller.Result) {
	t.Helper()
	for _, e := range f.Engines {
		e.Stall()
	}
	c := newCaller(t)
	var r comfreycaller.Result
	var wg sync.WaitGroup
	wg.Go(func() { r = c.Stream(t.Context(), f.URL(0), lengthBody(t, 30, true), "", nil) })
	return waitForRun(t, f), func() comfreycaller.Result {
		wg.Wait()
		return r
	}
}

// waitForRun blocks until an engine holds a generation and returns its index.
func waitForRun(t testing.TB, f *Fleet) int {
	t.Helper()
	for t.Context().Err() == nil {
		for i, e := range f.Engines {
			if len(e.Runs()) > 0 {
				return i
			}
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("no engine was asked")
	return 0
}

func TestCrashedEngineEndsTheAnswerWithATypedError(t *testing.T) {
	f := startFleet(t, FleetConfig{Engines: 1})
	seen := 0
	r := newCaller(t).Stream(t.Context(), f.URL(0), lengthBody(t, 300, true), "", func(comfreycaller.Event) {
		seen++
		if seen == 20 {
			f.Engines[0].Crash(time.Second)
		}
	})
	if r.Complete || r.Error.Verdict.String() != "ran" || r.Error.Reason != "engine-failed" {
		t.Fatalf("got %+v", r)
	}
}

func TestEveryTokenOnceAcrossBrokenConnections(t *testing.T) {
	faults := map[string]func(f *Fleet){
		"cut":            func(f *Fleet) { f.Relays[0].Cut() },
		"silent-both":    func(f *Fleet) { f.Relays[0].Freeze(0, 0) },
		"silent-discard": func(f *Fleet) { f.Relays[0].Freeze(2, 0) },
		"silent-block":   func(f *Fleet) { f.Relays[0].Freeze(2, 1) },
		"pushed-aside":   func(f *Fleet) { f.Engines[0].Preempt() },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, FleetConfig{Engines: 1, Relays: true})
			seen := 0
			r := newCaller(t).Stream(t.Context(), f.URL(0), lengthBody(t, 400, true), "", func(comfreycaller.Event) {
				seen++
				if seen == 20 || seen == 200 {
					fault(f)
				}
			})
			if !r.Complete {
				t.Fatalf("got %+v", r)
			}
			checkText(t, r.Text, 0, 400)
		})
	}
}

func TestWholeAnswerOrTypedError(t *testing.T) {
	f := startFleet(t, FleetConfig{Engines: 1})
	c := newCaller(t)
	resp := post(t, c, f.URL(0), lengthBody(t, 40, false))
	var m struct {
		Choices []struct{ Text string }
	}
	if err := json.NewDecoder(resp.Body).Decode(&m); err != nil || len(m.Choices) != 1 {
		t.Fatalf("got %+v, %v", m, err)
	}
	checkText(t, m.Choices[0].Text, 0, 40)

	var wg sync.WaitGroup
	wg.Go(func() {
		waitForRunning(t, f)
		f.Engines[0].Crash(time.Second)
	})
	resp = post(t, c, f.URL(0), lengthBody(t, 2000, false))
	wg.Wait()
	e := comfreycaller.RefusalOf(resp)
	if resp.StatusCode != http.StatusBadGateway || e.Reason != "engine-failed" {
		t.Fatalf("got status %d, %+v", resp.StatusCode, e)
	}
}

func waitForRunning(t testing.TB, f *Fleet) {
	t.Helper()
	for t.Context().Err() == nil && f.Engines[0].Load().UsedTokens < 50 {
		time.Sleep(time.Millisecond)
	}
}

func post(t testing.TB, c comfreycaller.Caller, url string, body []byte) *http.Response {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/v1/completions", strings.NewReader(string(body)))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := c.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

func TestOrphanedGenerationIsCancelledInTheEngine(t *testing.T) {
	f := startFleet(t, FleetConfig{Engines: 1, Sidecar: comfreysidecar.Config{OrphanTimeout: 50 * time.Millisecond}})
	ctx, cancel := context.WithCancel(t.Context())
	seen := 0
	newCaller(t).Stream(ctx, f.URL(0), lengthBody(t, 100000, true), "", func(comfreycaller.Event) {
		seen++
		if seen == 10 {
			cancel()
		}
	})
	for f.Engines[0].Load().Running > 0 && t.Context().Err() == nil {
		time.Sleep(time.Millisecond)
	}
}

func TestBadInputIsRefusedAsNotRun(t *testing.T) {
	f := startFleet(t, FleetConfig{Engines: 1})
	c := newCaller(t)
	wrong := c
	wrong.Key = "wrong"
	cases := map[string]struct {
		caller comfreycaller.Caller
		body   string
		reason string
	}{
		"malformed":       {c, "{", "bad-request"},
		"no-model":        {c, "{}", "bad-request"},
		"negative-limit":  {c, `{"model":"quotes","max_tokens":-1}`, "bad-request"},
		"unknown-service": {c, `{"model":"none"}`, "unknown-service"},
		"plain-service":   {c, `{"model":"parts"}`, "unknown-service"},
		"wrong-key":       {wrong, `{"model":"quotes"}`, "unauthorized"},
		"huge-body":       {c, `{"model":"quotes","prompt":"` + strings.Repeat("x", 2<<20) + `"}`, "body-too-large"},
	}
	for name, x := range cases {
		t.Run(name, func(t *testing.T) {
			e := comfreycaller.RefusalOf(post(t, x.caller, f.URL(0), []byte(x.body)))
			if e.Verdict.String() != "not-run" || string(e.Reason) != x.reason {
				t.Fatalf("got %+v", e)
			}
		})
	}
	if n := len(f.Engines[0].Runs()); n != 0 {
		t.Fatalf("%d requests ran", n)
	}
}

func TestSlowReaderGetsATypedEndAndFreesTheEngine(t *testing.T) {
	f := startFleet(t, FleetConfig{Engines: 1, Engine: comfreyfakeengine.Config{StepTime: 10 * time.Microsecond}, Gateway: comfreygateway.Config{WriteTimeout: 300 * time.Millisecond}})
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.URL(0)+"/v1/completions", strings.NewReader(string(lengthBody(t, 5000000, true))))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := newCaller(t).Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	for f.Engines[0].Load().Running > 0 && t.Context().Err() == nil {
		time.Sleep(time.Millisecond)
	}
}
