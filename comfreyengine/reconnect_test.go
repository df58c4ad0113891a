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

func TestSilentStreamReconnects(t *testing.T) {
	for _, d := range []comfreyrelay.Direction{comfreyrelay.DirectionBoth, comfreyrelay.DirectionToTarget, comfreyrelay.DirectionToCaller} {
		for _, m := range []comfreyrelay.Mode{comfreyrelay.ModeDiscard, comfreyrelay.ModeBlock} {
			b := newFixture(t)
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
				t.Errorf("direction %d, mode %d: no reconnect after the connection was frozen", d, m)
			}
			if r := b.engine.Runs()["r"]; r.Accepted != 1 || r.Began != 1 {
				t.Errorf("direction %d, mode %d: got %+v, want one accepted and begun generation", d, m, r)
			}
		}
	}
}

func TestSilentEngineKeepsStream(t *testing.T) {
	b := newFixture(t)
	b.engine.Stall()
	s, err := b.start(context.Background(), "r")
	if err != nil {
		t.Fatal(err)
	}
	defer time.AfterFunc(5*silenceTimeout, b.engine.Resume).Stop()
	if err := b.read(s, "r"); !errors.Is(err, io.EOF) || s.Reconnects() < 2 {
		t.Errorf("got %v after %d reconnects, want io.EOF after at least 2", err, s.Reconnects())
	}
}

func TestSilentConnectionIsNotReused(t *testing.T) {
	b := newFixture(t)
	_ = b.sendAndRead(context.Background(), "first")
	b.relay.Freeze(comfreyrelay.DirectionBoth, comfreyrelay.ModeDiscard)
	if err := b.sendAndRead(context.Background(), "second"); !errors.Is(err, io.EOF) {
		t.Error(err)
	}
}

func TestVerdictWhenReconnectIsRefused(t *testing.T) {
	b := newFixture(t)
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

// startStream starts a stream at an address.
func startStream(t *testing.T, url string) *comfreyengine.Stream {
	t.Helper()
	c := comfreyengine.New(comfreyengine.Config{BaseURL: url, SilenceTimeout: silenceTimeout})
	s, err := c.Start(context.Background(), comfreyengine.Request{Path: "/v1/completions", Body: []byte(`{}`)})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// TestReconnectAfterFinishReason withholds the end of the first stream. The
// stream reconnects and requests what follows the last token; the engine sends
// the finish reason again, and the stream must return it only once.
func TestReconnectAfterFinishReason(t *testing.T) {
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
	s := startStream(t, v.URL)
	for _, finish := range []bool{false, true} {
		k, err := s.Next()
		if err != nil || k.Finish != finish {
			t.Errorf("%+v, %v", k, err)
		}
	}
	k, err := s.Next()
	if !errors.Is(err, io.EOF) || s.Reconnects() != 1 {
		t.Errorf("got %+v, %v after %d reconnects, want io.EOF after 1", k, err, s.Reconnects())
	}
}

func TestReconnectWithoutResponseFails(t *testing.T) {
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
	s := startStream(t, v.URL)
	var err error
	for err == nil {
		_, err = s.Next()
	}
	e := comfreyverdict.From(err)
	if e.Verdict != comfreyverdict.VerdictRan || e.Reason != comfreyverdict.ReasonConnectionLost {
		t.Error(e)
	}
}

func TestNoReconnectWithoutGenerationID(t *testing.T) {
	v := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(5 * silenceTimeout)
		_, _ = io.WriteString(w, `data: {"choices":[{"text":"","finish_reason":"stop"}]}`+"\n\ndata: [DONE]\n\n")
	}))
	defer v.Close()
	s := startStream(t, v.URL)
	var err error
	for err == nil {
		_, err = s.Next()
	}
	if !errors.Is(err, io.EOF) {
		t.Error(err)
	}
}
