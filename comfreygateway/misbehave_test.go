package comfreygateway_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
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

// silence is how long the gateways of these tests wait for a silent stream.
const silence = 60 * time.Millisecond

// startGateway runs a gateway before the sidecars at the given addresses.
func startGateway(t *testing.T, addresses ...string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	settings := comfreydemo.EmbeddedSettings()
	g := comfreygateway.New(t.Context(), comfreygateway.Config{
		Host: "gateway", DataCentre: "north", Key: comfreyrpc.Key(standInKey), Listener: l, SilenceTimeout: silence,
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
		t.Errorf("%d requests have no outcome", g.OpenRequests())
	})
	return "http://" + l.Addr().String()
}

func body(t *testing.T, prompt string, stream bool) []byte {
	t.Helper()
	b, err := json.Marshal(map[string]any{"model": comfreydemo.GenerationService, "prompt": prompt, "stream": stream})
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// ask sends one request and returns what the caller got, streamed or whole.
func ask(t *testing.T, url, prompt string, stream bool) comfreycaller.Result {
	tr := &http.Transport{}
	defer tr.CloseIdleConnections()
	c := comfreycaller.Caller{Key: comfreydemo.SampleKey, HTTP: &http.Client{Transport: tr}}
	if stream {
		return c.Stream(t.Context(), url, body(t, prompt, true), "", nil)
	}
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/v1/completions", strings.NewReader(string(body(t, prompt, false))))
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

// checkResult asserts that the caller got each token once, in order, from one
// generation, and either all n of them with the end or a typed error.
func checkResult(t *testing.T, name string, r comfreycaller.Result, n int) {
	t.Helper()
	words := strings.Fields(r.Text)
	if len(words) > 0 {
		mark, _, _ := strings.Cut(words[0], "-")
		for i, w := range words {
			if w != fmt.Sprintf("%s-%d", mark, i) || mark == "foreign" {
				t.Errorf("%s: token %d is %q of generation %s", name, i, w, mark)
			}
		}
	}
	if r.Complete && len(words) != n {
		t.Errorf("%s: %d of %d tokens look complete", name, len(words), n)
	}
	if r.Complete {
		return
	}
	if r.Error.Reason == "" || strings.Contains(r.Error.Detail, "the stream ended without its end") {
		t.Errorf("%s: no typed end: %+v", name, r)
	}
	if len(words) > 0 && r.Error.Verdict != comfreyverdict.VerdictRan {
		t.Errorf("%s: verdict %s after %d tokens", name, r.Error.Verdict, len(words))
	}
}

func TestMisbehavingSidecars(t *testing.T) {
	const cases = 40
	total, complete, failed := 0, 0, 0
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
		scriptOf := func(prompt string) script { return scripts[prompt] }
		_, first := newStandIn(t, scriptOf)
		_, second := newStandIn(t, scriptOf)
		url := startGateway(t, first, second)
		var wg sync.WaitGroup
		for i := range cases {
			wg.Go(func() {
				name := fmt.Sprintf("case-%d", i)
				got := ask(t, url, name, i%2 == 0)
				checkResult(t, name, got, lengths[name])
				mu.Lock()
				defer mu.Unlock()
				total++
				if got.Complete {
					complete++
				} else {
					failed++
				}
			})
		}
		wg.Wait()
	})
	t.Logf("%d cases: %d complete, %d typed errors", total, complete, failed)
	if complete < total/4 || failed < total/20 {
		t.Errorf("the mix is too one-sided to prove anything")
	}
}

// frames is a script whose first connection sends fixed frames and whose later
// ones behave.
func frames(n uint64, first func(c connection) []step) script {
	return func(c connection) []step {
		if c.resumed == 0 {
			return first(c)
		}
		steps := []step{send(acceptedFrame(c))}
		for seq := c.after + 1; seq <= n; seq++ {
			steps = append(steps, send(tokenFrame(c, seq)))
		}
		return append(steps, send(endFrame(c, n)))
	}
}

func TestEachMisbehaviour(t *testing.T) {
	other := connection{counter: 9000, mark: "foreign"}
	cases := map[string]struct {
		first    func(c connection) []step
		complete bool
		reason   string
	}{
		"duplicate": {func(c connection) []step {
			return []step{send(acceptedFrame(c)), send(tokenFrame(c, 1)), send(tokenFrame(c, 1)), send(tokenFrame(c, 2)), send(tokenFrame(c, 1)), send(endFrame(c, 2))}
		}, true, ""},
		"gap": {func(c connection) []step {
			return []step{send(acceptedFrame(c)), send(tokenFrame(c, 2)), send(endFrame(c, 2))}
		}, true, ""},
		"crossed": {func(c connection) []step {
			return []step{send(acceptedFrame(c)), send(tokenFrame(other, 1)), send(endFrame(other, 0)), send(refusedFrame(other, 0)), send(tokenFrame(c, 1)), send(tokenFrame(c, 2)), send(endFrame(c, 2))}
		}, true, ""},
		"end-missing":    {func(c connection) []step { return []step{send(acceptedFrame(c)), send(tokenFrame(c, 1))} }, true, ""},
		"silent":         {func(c connection) []step { return []step{send(acceptedFrame(c)), send(tokenFrame(c, 1)), hang()} }, true, ""},
		"no-first-frame": {func(connection) []step { return []step{headers(), hang()} }, false, "connection-lost"},
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
	for name, x := range cases {
		for _, stream := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/stream=%t", name, stream), func(t *testing.T) {
				_, address := newStandIn(t, func(string) script { return frames(2, x.first) })
				r := ask(t, startGateway(t, address), name, stream)
				checkResult(t, name, r, 2)
				if r.Complete != x.complete || !x.complete && string(r.Error.Reason) != x.reason {
					t.Errorf("got %+v", r)
				}
			})
		}
	}
}
