package comfreyengine_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyengine"
	"comfreyridge.example/comfreyridge/comfreyrelay"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

func TestSilentStreamAttachesAnew(t *testing.T) {
	for _, d := range []comfreyrelay.Direction{comfreyrelay.DirectionBoth, comfreyrelay.DirectionToTarget, comfreyrelay.DirectionToCaller} {
		for _, m := range []comfreyrelay.Mode{comfreyrelay.ModeDiscard, comfreyrelay.ModeBlock} {
			b := newBench(t)
			b.engine.Stall()
			s, err := b.start(context.Background(), "r")
			if err != nil {
				t.Fatal(err)
			}
			b.relay.Freeze(d, m)
			b.engine.Resume()
			if err := b.read(s, "r"); !errors.Is(err, io.EOF) {
				t.Errorf("direction %d, mode %d: %v", d, m, err)
			}
			if d != comfreyrelay.DirectionToTarget && s.Reconnects() == 0 {
				t.Errorf("direction %d, mode %d: the frozen connection was read", d, m)
			}
			if r := b.engine.Runs()["r"]; r.Accepted != 1 || r.Began != 1 {
				t.Errorf("direction %d, mode %d: %+v", d, m, r)
			}
		}
	}
}

func TestSilentEngineKeepsItsStream(t *testing.T) {
	b := newBench(t)
	b.engine.Stall()
	s, err := b.start(context.Background(), "r")
	if err != nil {
		t.Fatal(err)
	}
	defer time.AfterFunc(5*silenceTime, b.engine.Resume).Stop()
	if err := b.read(s, "r"); !errors.Is(err, io.EOF) || s.Reconnects() < 2 {
		t.Errorf("%v after %d attachments", err, s.Reconnects())
	}
}

func TestSilentConnectionTakesNoNewRequest(t *testing.T) {
	b := newBench(t)
	_ = b.ask(context.Background(), "first")
	b.relay.Freeze(comfreyrelay.DirectionBoth, comfreyrelay.ModeDiscard)
	if err := b.ask(context.Background(), "second"); !errors.Is(err, io.EOF) {
		t.Error(err)
	}
}

func TestVerdictOnSilenceWithoutWayBack(t *testing.T) {
	b := newBench(t)
	b.engine.Stall()
	s, err := b.start(context.Background(), "r")
	if err != nil {
		t.Fatal(err)
	}
	b.relay.Refuse()
	e := comfreyverdict.From(b.read(s, "r"))
	if e.Verdict != comfreyverdict.VerdictMayHaveRun || e.Reason != comfreyverdict.ReasonDialFailed {
		t.Error(e)
	}
}

// startAt begins a stream at an address.
func startAt(t *testing.T, url string) *comfreyengine.Stream {
	t.Helper()
	c := comfreyengine.New(comfreyengine.Config{BaseURL: url, SilenceTimeout: silenceTime})
	s, err := c.Start(context.Background(), comfreyengine.Request{Path: "/v1/completions", Body: []byte(`{}`)})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// TestSilenceAfterTheFinish withholds the end of the stream once. The stream
// asks for what follows the token that it has read, and the finish reason, which
// comes again, is read once.
func TestSilenceAfterTheFinish(t *testing.T) {
	const token = `data: {"choices":[{"text":"a","finish_reason":null}]}` + "\n\n"
	const finish = `data: {"choices":[{"text":"","finish_reason":"stop"}]}` + "\n\n"
	v := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Generation-Id", "e-1")
		if r.URL.Query().Get("after") == "1" {
			_, _ = io.WriteString(w, finish+"data: [DONE]\n\n")
			return
		}
		_, _ = io.WriteString(w, token+finish)
		_ = http.NewResponseController(w).Flush()
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}))
	defer v.Close()
	s := startAt(t, v.URL)
	for _, finish := range []bool{false, true} {
		k, err := s.Next()
		if err != nil || k.Finish != finish {
			t.Errorf("%+v, %v", k, err)
		}
	}
	k, err := s.Next()
	if !errors.Is(err, io.EOF) || s.Reconnects() != 1 {
		t.Errorf("%+v, %v after %d attachments", k, err, s.Reconnects())
	}
}

func TestUnansweredAttachmentEnds(t *testing.T) {
	v := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if r.Method == http.MethodPost {
			w.Header().Set("X-Generation-Id", "e-1")
			_, _ = io.WriteString(w, `data: {"choices":[{"text":"a","finish_reason":null}]}`+"\n\n")
			_ = http.NewResponseController(w).Flush()
		}
		<-r.Context().Done()
	}))
	defer v.Close()
	s := startAt(t, v.URL)
	var err error
	for err == nil {
		_, err = s.Next()
	}
	e := comfreyverdict.From(err)
	if e.Verdict != comfreyverdict.VerdictRan || e.Reason != comfreyverdict.ReasonConnectionLost {
		t.Error(e)
	}
}

func TestSilenceWithoutGenerationIDIsWaitedOut(t *testing.T) {
	v := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(5 * silenceTime)
		_, _ = io.WriteString(w, `data: {"choices":[{"text":"","finish_reason":"stop"}]}`+"\n\ndata: [DONE]\n\n")
	}))
	defer v.Close()
	s := startAt(t, v.URL)
	var err error
	for err == nil {
		_, err = s.Next()
	}
	if !errors.Is(err, io.EOF) {
		t.Error(err)
	}
}
