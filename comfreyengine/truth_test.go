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

// answerTokens is the length of the answers that the tests ask for.
const answerTokens = 3

// silenceTime is short, so that the tests meet many silences.
const silenceTime = 30 * time.Millisecond

// bench is an engine behind a relay, with the verdict on each request.
type bench struct {
	t        *testing.T
	engine   *comfreyfakeengine.Engine
	relay    *comfreyrelay.Relay
	client   *comfreyengine.Client
	verdicts map[string]error
}

func newBench(t *testing.T) *bench {
	t.Helper()
	e := comfreyfakeengine.New(comfreyfakeengine.Config{})
	v := httptest.NewServer(e)
	r, err := comfreyrelay.New(comfreyrelay.Config{Target: v.Listener.Addr().String()})
	if err != nil {
		t.Fatal(err)
	}
	c := comfreyengine.New(comfreyengine.Config{BaseURL: r.URL(), SilenceTimeout: silenceTime})
	t.Cleanup(func() {
		c.Close()
		_ = r.Close()
		_ = e.Close()
		v.Close()
	})
	return &bench{t: t, engine: e, relay: r, client: c, verdicts: make(map[string]error)}
}

// start begins a stream of answerTokens tokens.
func (b *bench) start(ctx context.Context, id string) (*comfreyengine.Stream, error) {
	return b.client.Start(ctx, comfreyengine.Request{
		ID:   id,
		Path: "/v1/completions",
		Body: fmt.Appendf(nil, `{"prompt":"a","fake_length":%d}`, answerTokens),
	})
}

// ask sends one request, reads its stream to the end and keeps its outcome.
func (b *bench) ask(ctx context.Context, id string) error {
	err := b.exchange(ctx, id)
	b.verdicts[id] = err
	return err
}

func (b *bench) exchange(ctx context.Context, id string) error {
	s, err := b.start(ctx, id)
	if err != nil {
		return err
	}
	defer s.Close()
	return b.read(s, id)
}

// read checks each token until the stream ends, and returns why it ended.
func (b *bench) read(s *comfreyengine.Stream, id string) error {
	for {
		i := s.Tokens()
		c, err := s.Next()
		if errors.Is(err, io.EOF) && s.Tokens() != answerTokens {
			b.t.Errorf("%s: a short answer of %d tokens looks complete", id, s.Tokens())
		}
		if err != nil {
			return err
		}
		if c.Tokens == 1 && !strings.Contains(string(c.Data), comfreyfakeengine.TokenText(s.GenerationID(), i)+`"`) {
			b.t.Errorf("%s: token %d is %s", id, i, c.Data)
		}
	}
}

// judge compares each outcome with the engine's ground truth, and returns how
// many requests were proved not to have run.
func (b *bench) judge() int {
	b.t.Helper()
	b.client.Close()
	runs := b.engine.Runs()
	proved := 0
	for id, err := range b.verdicts {
		if errors.Is(err, io.EOF) {
			continue
		}
		v := comfreyverdict.From(err).Verdict
		if v == comfreyverdict.VerdictNotRun {
			proved++
		}
		if v == comfreyverdict.VerdictNotRun && runs[id].Accepted > 0 {
			b.t.Errorf("%s: %v, but the engine took it", id, err)
		}
		if v == comfreyverdict.VerdictRan && runs[id].Began == 0 {
			b.t.Errorf("%s: %v, but the engine did not begin it", id, err)
		}
		if runs[id].Accepted > 1 {
			b.t.Errorf("%s was taken %d times", id, runs[id].Accepted)
		}
	}
	return proved
}

// sweep cuts the connection after each count of bytes in one direction until
// an answer comes through whole, and returns how many answers did not.
func (b *bench) sweep(d comfreyrelay.Direction) int {
	b.t.Helper()
	for n := range maxSweep {
		b.relay.CutAfter(d, n)
		err := b.ask(context.Background(), fmt.Sprintf("cut-%d-%d", d, n))
		if errors.Is(err, io.EOF) {
			return n
		}
	}
	b.t.Error("no answer came through whole")
	return 0
}

// maxSweep is more bytes than a request or an answer has.
const maxSweep = 5000

func TestVerdictAtEachCutOfTheRequest(t *testing.T) {
	b := newBench(t)
	if n := b.sweep(comfreyrelay.DirectionToTarget); n < 100 {
		t.Errorf("the request has only %d bytes", n)
	}
	b.judge()
}

func TestVerdictAtEachCutOfTheAnswer(t *testing.T) {
	b := newBench(t)
	if n := b.sweep(comfreyrelay.DirectionToCaller); n < 500 {
		t.Errorf("the answer has only %d bytes", n)
	}
	b.judge()
}

func TestRefusedDialIsNotRun(t *testing.T) {
	b := newBench(t)
	b.relay.Refuse()
	_ = b.ask(context.Background(), "refused")
	if b.judge() != 1 {
		t.Errorf("a refused dial gives %v", b.verdicts["refused"])
	}
}

func TestRefusalIsNotRun(t *testing.T) {
	b := newBench(t)
	_, err := b.client.Start(context.Background(), comfreyengine.Request{ID: "r", Path: "/v1/completions", Body: []byte(`{}`)})
	e := comfreyverdict.From(err)
	if e.Verdict != comfreyverdict.VerdictNotRun || e.Reason != comfreyverdict.ReasonBadRequest {
		t.Errorf("a request without a prompt gives %v", err)
	}
}

// TestVerdictWhenGivenUpBeforeTheWrite cancels each request when it has its
// connection, which races with the write of its first byte.
func TestVerdictWhenGivenUpBeforeTheWrite(t *testing.T) {
	b := newBench(t)
	for i := range 500 {
		ctx, cancel := context.WithCancel(context.Background())
		ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { cancel() }})
		_ = b.ask(ctx, fmt.Sprint("given-up-", i))
		cancel()
	}
	settle(b)
	b.judge()
}

func TestVerdictWhenGivenUpAtAnyMoment(t *testing.T) {
	b := newBench(t)
	r := rand.New(rand.NewPCG(1, 4))
	for i := range 300 {
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(r.IntN(1000))*time.Microsecond)
		_ = b.ask(ctx, fmt.Sprint("timed-", i))
		cancel()
	}
	settle(b)
	b.judge()
}

// TestVerdictAtEachCutOfAnOrder cuts the pooled connection that an earlier
// report has opened.
func TestVerdictAtEachCutOfAnOrder(t *testing.T) {
	b := newBench(t)
	given := make(map[string]error)
	const limit = 600 // More bytes than a report's and an order's request.
	for n := 1; n < limit; n++ {
		b.client.Close()
		b.relay.CutAfter(comfreyrelay.DirectionToTarget, n)
		_, _ = b.client.Load(context.Background())
		o := comfreyengine.Command{Kind: comfreyengine.CommandLoadModel, Value: fmt.Sprint("model-", n), FencingNumber: uint64(n)}
		_, given[o.Value] = b.client.SendCommand(context.Background(), o)
	}
	taken := make(map[string]int)
	for _, o := range b.engine.Orders() {
		taken[o.Value]++
	}
	failed := 0
	for v, err := range given {
		if err == nil && taken[v] != 1 || taken[v] > 1 {
			t.Errorf("%s was taken %d times after %v", v, taken[v], err)
		}
		if err == nil {
			continue
		}
		failed++
		if comfreyverdict.From(err).Verdict == comfreyverdict.VerdictNotRun && taken[v] > 0 {
			t.Errorf("%s was taken, yet %v", v, err)
		}
	}
	if failed == 0 || failed == len(given) {
		t.Errorf("%d of %d orders failed", failed, len(given))
	}
}

// settle makes the engine answer once more on a new connection, so that
// whatever was sent before it has arrived.
func settle(b *bench) {
	b.t.Helper()
	time.Sleep(20 * time.Millisecond)
	b.client.Close()
	if err := b.ask(context.Background(), "settle"); !errors.Is(err, io.EOF) {
		b.t.Errorf("the last request gives %v", err)
	}
}
