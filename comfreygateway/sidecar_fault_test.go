package comfreygateway_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"comfreyridge.example/comfreyridge/comfreycaller"
	"comfreyridge.example/comfreyridge/comfreyconfig"
	"comfreyridge.example/comfreyridge/comfreydecision"
	"comfreyridge.example/comfreyridge/comfreydemo"
	"comfreyridge.example/comfreyridge/comfreyfleet"
	"comfreyridge.example/comfreyridge/comfreygateway"
	"comfreyridge.example/comfreyridge/comfreyrpc"
	"comfreyridge.example/comfreyridge/comfreyseed"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// silenceTimeout is the silence timeout of the gateways in tests of silent sidecars, and
// patientTimeout that in the others, in which a busy host must not count as silent.
const (
	silenceTimeout = 60 * time.Millisecond
	patientTimeout = 10 * time.Second
)

// startGateway runs a gateway with one upstream for each sidecar address. On
// cleanup it checks that every request has ended.
func startGateway(t *testing.T, silence time.Duration, addresses ...string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	settings := comfreydemo.EmbeddedSettings()
	g := comfreygateway.New(t.Context(), comfreygateway.Config{
		Host: "gateway", DataCentre: "north", Key: comfreyrpc.Key(fakeSidecarKey), Listener: l, SilenceTimeout: silence,
		Settings: func() comfreyconfig.Settings { return settings },
		Recorder: comfreydecision.New(comfreydecision.Config{Process: "gateway", Logger: logger}),
	})
	var members []comfreyfleet.Member
	for i, a := range addresses {
		members = append(members, comfreyfleet.Member{Host: fmt.Sprintf("host-%d", i), DataCentre: "north", Address: a, Service: comfreydemo.GenerationService})
	}
	g.ObserveView(comfreyfleet.NewView(1, time.Now(), members))
	kill, end := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = g.Run(context.Background(), kill) })
	t.Cleanup(func() {
		defer wg.Wait()
		defer end()
		for range 1000 {
			if g.OpenRequests() == 0 {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
		t.Errorf("%d requests have not ended", g.OpenRequests())
	})
	return "http://" + l.Addr().String()
}

func requestBody(t *testing.T, prompt string, stream bool) []byte {
	t.Helper()
	b, err := json.Marshal(map[string]any{"model": comfreydemo.GenerationService, "prompt": prompt, "stream": stream})
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// sendRequest sends one streaming or unary request and returns what the caller
// received.
func sendRequest(t *testing.T, url, prompt string, stream bool) comfreycaller.Result {
	tr := &http.Transport{}
	defer tr.CloseIdleConnections()
	c := comfreycaller.Caller{Key: comfreydemo.SampleKey, HTTP: &http.Client{Transport: tr}}
	if stream {
		return c.Stream(t.Context(), url, requestBody(t, prompt, true), "", nil)
	}
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/v1/completions", strings.NewReader(string(requestBody(t, prompt, false))))
	if err != nil {
		t.Error(err)
		return comfreycaller.Result{}
	}
	resp, err := c.Do(r)
	if err != nil {
		t.Error(err)
		return comfreycaller.Result{}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return comfreycaller.Result{Error: comfreycaller.RefusalOf(resp)}
	}
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Error(err)
	}
	return comfreycaller.Result{Complete: true, Text: comfreycaller.Text(b)}
}

// checkResult checks that the caller received each token once, in order and
// from one generation, and either all n tokens with the end or a typed error.
func checkResult(t *testing.T, name string, r comfreycaller.Result, n int) {
	t.Helper()
	words := strings.Fields(r.Text)
	if len(words) > 0 {
		prefix, _, _ := strings.Cut(words[0], "-")
		for i, w := range words {
			if w != fmt.Sprintf("%s-%d", prefix, i) || prefix == "foreign" {
				t.Errorf("%s: token %d is %q, want the next token of generation %s", name, i, w, prefix)
			}
		}
	}
	if r.Complete && len(words) != n {
		t.Errorf("%s: the response is complete with %d of %d tokens", name, len(words), n)
	}
	if r.Complete {
		return
	}
	if r.Error.Reason == "" || strings.Contains(r.Error.Detail, "the stream ended without its end") {
		t.Errorf("%s: the response is incomplete without a typed error: %+v", name, r)
	}
	if len(words) > 0 && r.Error.Verdict != comfreyverdict.VerdictRan {
		t.Errorf("%s: got verdict %s after %d tokens, want ran", name, r.Error.Verdict, len(words))
	}
}

// Whatever faults a sidecar injects, a caller must receive a correct sequence
// of tokens and a typed end.
func TestGatewayWithMixedSidecarFaults(t *testing.T) {
	const cases = 40
	total, complete, failures := 0, 0, 0
	comfreyseed.Each(t, 10, func(t *testing.T, r *rand.Rand) {
		var mu sync.Mutex
		scripts := map[string]script{}
		lengths := map[string]int{}
		for i := range cases {
			name := fmt.Sprintf("case-%d", i)
			n := 1 + r.IntN(12)
			scripts[name] = randomScript(rand.New(rand.NewPCG(r.Uint64(), uint64(i))), uint64(n))
			lengths[name] = n
		}
		scriptFor := func(prompt string) script { return scripts[prompt] }
		_, first := newFakeSidecar(t, scriptFor)
		_, second := newFakeSidecar(t, scriptFor)
		url := startGateway(t, silenceTimeout, first, second)
		var wg sync.WaitGroup
		for i := range cases {
			wg.Go(func() {
				name := fmt.Sprintf("case-%d", i)
				got := sendRequest(t, url, name, i%2 == 0)
				checkResult(t, name, got, lengths[name])
				mu.Lock()
				defer mu.Unlock()
				total++
				if got.Complete {
					complete++
				} else {
					failures++
				}
			})
		}
		wg.Wait()
	})
	t.Logf("%d cases: %d complete, %d typed errors", total, complete, failures)
	if complete < total/4 || failures < total/20 {
		t.Errorf("too few complete responses or typed errors to cover both cases")
	}
}

// resumableScript returns a script that sends the given steps on the first
// connection and a correct stream of n tokens on the later ones.
func resumableScript(n uint64, firstConnection func(c connection) []step) script {
	return func(c connection) []step {
		if c.resumeCount == 0 {
			return firstConnection(c)
		}
		steps := []step{send(acceptedFrame(c))}
		for seq := c.after + 1; seq <= n; seq++ {
			steps = append(steps, send(tokenFrame(c, seq)))
		}
		return append(steps, send(endFrame(c, n)))
	}
}

// Each case injects one fault into the first connection and states whether the
// response must still be complete, or else the reason of the error.
func TestGatewayWithSidecarFault(t *testing.T) {
	foreign := connection{counter: 9000, textPrefix: "foreign"}
	cases := map[string]struct {
		firstConnection func(c connection) []step
		complete        bool
		reason          string
	}{
		"duplicate": {func(c connection) []step {
			return []step{send(acceptedFrame(c)), send(tokenFrame(c, 1)), send(tokenFrame(c, 1)), send(tokenFrame(c, 2)), send(tokenFrame(c, 1)), send(endFrame(c, 2))}
		}, true, ""},
		"gap": {func(c connection) []step {
			return []step{send(acceptedFrame(c)), send(tokenFrame(c, 2)), send(endFrame(c, 2))}
		}, true, ""},
		"crossed": {func(c connection) []step {
			return []step{send(acceptedFrame(c)), send(tokenFrame(foreign, 1)), send(endFrame(foreign, 0)), send(refusedFrame(foreign, 0)), send(tokenFrame(c, 1)), send(tokenFrame(c, 2)), send(endFrame(c, 2))}
		}, true, ""},
		"end-missing":    {func(c connection) []step { return []step{send(acceptedFrame(c)), send(tokenFrame(c, 1))} }, true, ""},
		"silent":         {func(c connection) []step { return []step{send(acceptedFrame(c)), send(tokenFrame(c, 1)), hang()} }, true, ""},
		"no-first-frame": {func(connection) []step { return []step{sendHeaders(), hang()} }, false, "connection-lost"},
		"no-headers":     {func(connection) []step { return []step{hang()} }, false, "connection-lost"},
		"garbage": {func(c connection) []step {
			return []step{send(acceptedFrame(c)), send(tokenFrame(c, 1)), sendBytes([]byte{4, 0xff, 0xff, 0xff, 0xff})}
		}, true, ""},
		"huge-frame": {func(c connection) []step {
			return []step{send(acceptedFrame(c)), send(tokenFrame(c, 1)), sendBytes([]byte{0xff, 0xff, 0xff, 0xff, 0x0f})}
		}, false, "connection-lost"},
		"wrong-count": {func(c connection) []step {
			x := endFrame(c, 2)
			x.Tokens = 3
			return []step{send(acceptedFrame(c)), send(tokenFrame(c, 1)), send(tokenFrame(c, 2)), send(x)}
		}, false, "sequence-gap"},
		"refused-after-token": {func(c connection) []step {
			return []step{send(acceptedFrame(c)), send(tokenFrame(c, 1)), send(refusedFrame(c, 0))}
		}, false, "leaving"},
		"done-as-token": {func(c connection) []step {
			x := tokenFrame(c, 2)
			x.Data = []byte("[DONE]")
			return []step{send(acceptedFrame(c)), send(tokenFrame(c, 1)), send(x)}
		}, false, "engine-failed"},
		"event-in-token": {func(c connection) []step {
			x := tokenFrame(c, 2)
			x.Data = []byte("{}\n\ndata: [DONE]")
			return []step{send(acceptedFrame(c)), send(tokenFrame(c, 1)), send(x)}
		}, false, "engine-failed"},
	}
	silent := []string{"silent", "no-first-frame", "no-headers"}
	for name, x := range cases {
		for _, stream := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/stream=%t", name, stream), func(t *testing.T) {
				_, address := newFakeSidecar(t, func(string) script { return resumableScript(2, x.firstConnection) })
				silence := patientTimeout
				if slices.Contains(silent, name) {
					silence = silenceTimeout
				}
				r := sendRequest(t, startGateway(t, silence, address), name, stream)
				checkResult(t, name, r, 2)
				if r.Complete != x.complete || !x.complete && string(r.Error.Reason) != x.reason {
					t.Errorf("got %+v", r)
				}
			})
		}
	}
}
