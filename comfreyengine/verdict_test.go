package comfreyengine_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyengine"
	"comfreyridge.example/comfreyridge/comfreyfakeengine"
	"comfreyridge.example/comfreyridge/comfreyrelay"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// outputTokens is the output length that the tests request.
const outputTokens = 3

// silenceTimeout is short so that the tests run into it often.
const silenceTimeout = 30 * time.Millisecond

// fixture is an engine behind a relay. It records the outcome of each request.
type fixture struct {
	t        *testing.T
	engine   *comfreyfakeengine.Engine
	relay    *comfreyrelay.Relay
	client   *comfreyengine.Client
	verdicts map[string]error
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	e := comfreyfakeengine.New(comfreyfakeengine.Config{})
	v := httptest.NewServer(e)
	r, err := comfreyrelay.New(comfreyrelay.Config{Target: v.Listener.Addr().String()})
	if err != nil {
		t.Fatal(err)
	}
	c := comfreyengine.New(comfreyengine.Config{BaseURL: r.URL(), SilenceTimeout: silenceTimeout})
	t.Cleanup(func() {
		c.Close()
		_ = r.Close()
		_ = e.Close()
		v.Close()
	})
	return &fixture{t: t, engine: e, relay: r, client: c, verdicts: make(map[string]error)}
}

// start starts a stream of outputTokens tokens.
func (b *fixture) start(ctx context.Context, id string) (*comfreyengine.Stream, error) {
	return b.client.Start(ctx, comfreyengine.Request{
		ID:   id,
		Path: "/v1/completions",
		Body: fmt.Appendf(nil, `{"prompt":"a","fake_length":%d}`, outputTokens),
	})
}

// sendAndRead sends one request, reads its stream to the end and records its
// outcome.
func (b *fixture) sendAndRead(ctx context.Context, id string) error {
	err := b.send(ctx, id)
	b.verdicts[id] = err
	return err
}

func (b *fixture) send(ctx context.Context, id string) error {
	s, err := b.start(ctx, id)
	if err != nil {
		return err
	}
	defer s.Close()
	return b.read(s, id)
}

// read checks each token until the stream ends, and returns the error that
// ended it.
func (b *fixture) read(s *comfreyengine.Stream, id string) error {
	for {
		i := s.Tokens()
		c, err := s.Next()
		if errors.Is(err, io.EOF) && s.Tokens() != outputTokens {
			b.t.Errorf("%s: a truncated response of %d tokens counts as complete", id, s.Tokens())
		}
		if err != nil {
			return err
		}
		if c.Tokens == 1 && !strings.Contains(string(c.Data), comfreyfakeengine.TokenText(s.GenerationID(), i)+`"`) {
			b.t.Errorf("%s: wrong token at %d: %s", id, i, c.Data)
		}
	}
}

// checkVerdicts compares each outcome with what the engine executed, and
// returns the number of requests with the verdict not-run.
func (b *fixture) checkVerdicts() int {
	b.t.Helper()
	b.client.Close()
	runs := b.engine.Runs()
	notRun := 0
	for id, err := range b.verdicts {
		if errors.Is(err, io.EOF) {
			continue
		}
		v := comfreyverdict.From(err).Verdict
		if v == comfreyverdict.VerdictNotRun {
			notRun++
		}
		if v == comfreyverdict.VerdictNotRun && runs[id].Accepted > 0 {
			b.t.Errorf("%s: got %v, but the engine accepted it", id, err)
		}
		if v == comfreyverdict.VerdictRan && runs[id].Began == 0 {
			b.t.Errorf("%s: got %v, but the engine did not begin it", id, err)
		}
		if runs[id].Accepted > 1 {
			b.t.Errorf("%s was accepted %d times", id, runs[id].Accepted)
		}
	}
	return notRun
}

// truncateAtEachByte closes the connection after each number of bytes in one
// direction until a response arrives completely, and returns how many responses
// did not.
func (b *fixture) truncateAtEachByte(d comfreyrelay.Direction) int {
	b.t.Helper()
	for n := range maxTruncationBytes {
		b.relay.CutAfter(d, n)
		err := b.sendAndRead(context.Background(), fmt.Sprintf("cut-%d-%d", d, n))
		if errors.Is(err, io.EOF) {
			return n
		}
	}
	b.t.Error("no response arrived completely")
	return 0
}

// maxTruncationBytes exceeds the size of a request and of a response.
const maxTruncationBytes = 5000

func TestVerdictWhenRequestIsTruncated(t *testing.T) {
	b := newFixture(t)
	if n := b.truncateAtEachByte(comfreyrelay.DirectionToTarget); n < 100 {
		t.Errorf("the request has only %d bytes, want at least 100", n)
	}
	b.checkVerdicts()
}

func TestVerdictWhenResponseIsTruncated(t *testing.T) {
	b := newFixture(t)
	if n := b.truncateAtEachByte(comfreyrelay.DirectionToCaller); n < 500 {
		t.Errorf("the response has only %d bytes, want at least 500", n)
	}
	b.checkVerdicts()
}

func TestRefusedDialIsNotRun(t *testing.T) {
	b := newFixture(t)
	b.relay.Refuse()
	_ = b.sendAndRead(context.Background(), "refused")
	if b.checkVerdicts() != 1 {
		t.Errorf("refused dial: got %v, want the verdict not-run", b.verdicts["refused"])
	}
}

func TestRefusalIsNotRun(t *testing.T) {
	b := newFixture(t)
	_, err := b.client.Start(context.Background(), comfreyengine.Request{ID: "r", Path: "/v1/completions", Body: []byte(`{}`)})
	e := comfreyverdict.From(err)
	if e.Verdict != comfreyverdict.VerdictNotRun || e.Reason != comfreyverdict.ReasonBadRequest {
		t.Errorf("request without a prompt: got %v, want not-run for a bad request", err)
	}
}

// TestVerdictWhenCancelledBeforeWrite cancels each request when it gets its
// connection, which races with the write of its first byte.
func TestVerdictWhenCancelledBeforeWrite(t *testing.T) {
	b := newFixture(t)
	for i := range 500 {
		ctx, cancel := context.WithCancel(context.Background())
		ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { cancel() }})
		_ = b.sendAndRead(ctx, fmt.Sprint("given-up-", i))
		cancel()
	}
	waitForEngine(b)
	b.checkVerdicts()
}

func TestVerdictWhenCancelledAtRandomTime(t *testing.T) {
	b := newFixture(t)
	r := rand.New(rand.NewPCG(1, 4))
	for i := range 300 {
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(r.IntN(1000))*time.Microsecond)
		_ = b.sendAndRead(ctx, fmt.Sprint("timed-", i))
		cancel()
	}
	waitForEngine(b)
	b.checkVerdicts()
}

// TestVerdictWhenCommandIsTruncated closes a pooled connection, opened by an
// earlier load report, while a command is sent on it.
func TestVerdictWhenCommandIsTruncated(t *testing.T) {
	b := newFixture(t)
	results := make(map[string]error)
	const limit = 600 // Exceeds the bytes of a load report's and a command's request.
	for n := 1; n < limit; n++ {
		b.client.Close()
		b.relay.CutAfter(comfreyrelay.DirectionToTarget, n)
		_, _ = b.client.Load(context.Background())
		o := comfreyengine.Command{Kind: comfreyengine.CommandLoadModel, Value: fmt.Sprint("model-", n), FencingNumber: uint64(n)}
		_, results[o.Value] = b.client.SendCommand(context.Background(), o)
	}
	accepted := make(map[string]int)
	for _, o := range b.engine.Orders() {
		accepted[o.Value]++
	}
	failed := 0
	for v, err := range results {
		if err == nil && accepted[v] != 1 || accepted[v] > 1 {
			t.Errorf("%s was accepted %d times after %v", v, accepted[v], err)
		}
		if err == nil {
			continue
		}
		failed++
		if comfreyverdict.From(err).Verdict == comfreyverdict.VerdictNotRun && accepted[v] > 0 {
			t.Errorf("%s was accepted, but got %v", v, err)
		}
	}
	if failed == 0 || failed == len(results) {
		t.Errorf("%d of %d commands failed, want some but not all", failed, len(results))
	}
}

// waitForEngine makes the engine respond on a new connection, so that
// everything that was sent before has arrived.
func waitForEngine(b *fixture) {
	b.t.Helper()
	time.Sleep(20 * time.Millisecond)
	b.client.Close()
	if err := b.sendAndRead(context.Background(), "settle"); !errors.Is(err, io.EOF) {
		b.t.Errorf("last request: got %v, want io.EOF", err)
	}
}
