package comfreyfakeengine_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"comfreyridge.example/comfreyridge/comfreyengine"
	"comfreyridge.example/comfreyridge/comfreyfakeengine"
)

// serve starts an engine behind a loopback server.
func serve(t testing.TB, c comfreyfakeengine.Config) (*comfreyfakeengine.Engine, *comfreyengine.Client) {
	t.Helper()
	e := comfreyfakeengine.New(c)
	s := httptest.NewServer(e)
	l := comfreyengine.New(comfreyengine.Config{BaseURL: s.URL})
	t.Cleanup(func() {
		_ = e.Close()
		l.Close()
		s.Close()
	})
	return e, l
}

func request(id string, length int) comfreyengine.Request {
	return comfreyengine.Request{
		ID:   id,
		Path: "/v1/completions",
		Body: fmt.Appendf(nil, `{"model":"template-1","prompt":"worktop","fake_length":%d}`, length),
	}
}

// start begins a stream and fails the test if the engine refuses it.
func start(t testing.TB, c *comfreyengine.Client, r comfreyengine.Request) *comfreyengine.Stream {
	t.Helper()
	s, err := c.Start(context.Background(), r)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// read checks each token against the generation's text until the stream ends,
// and returns the error that ended it.
func read(t testing.TB, s *comfreyengine.Stream) error {
	t.Helper()
	for {
		i := s.Tokens()
		c, err := s.Next()
		if err != nil {
			return err
		}
		want := comfreyfakeengine.TokenText(s.GenerationID(), i) + `"`
		if c.Tokens == 1 && !strings.Contains(string(c.Data), want) {
			t.Fatalf("token %d is %s, want %s", i, c.Data, want)
		}
	}
}

func TestEachTokenOnceUnderPreemption(t *testing.T) {
	e, c := serve(t, comfreyfakeengine.Config{CapacityTokens: 400})
	e.Stall()
	var streams []*comfreyengine.Stream
	for i := range 8 {
		streams = append(streams, start(t, c, request(fmt.Sprint("r", i), 100)))
	}
	e.Resume()
	for i, s := range streams {
		if err := read(t, s); err != io.EOF || s.Tokens() != 100 {
			t.Errorf("stream %d ended with %v after %d tokens", i, err, s.Tokens())
		}
	}
	if n := e.Load().Preemptions; n == 0 {
		t.Error("no generation was preempted")
	}
	for id, r := range e.Runs() {
		if r.Accepted != 1 || r.Began != 1 || r.Finished != 1 {
			t.Errorf("%s: %+v", id, r)
		}
	}
}

func TestResumeContinuesTheGeneration(t *testing.T) {
	_, c := serve(t, comfreyfakeengine.Config{})
	s := start(t, c, request("r", 50))
	for range 20 {
		if _, err := s.Next(); err != nil {
			t.Fatal(err)
		}
	}
	_ = s.Close()
	u, err := c.Resume(context.Background(), s.GenerationID(), 20)
	if err != nil {
		t.Fatal(err)
	}
	if err := read(t, u); err != io.EOF || u.Tokens() != 50 {
		t.Errorf("ended with %v after %d tokens", err, u.Tokens())
	}
}

func TestWholeAnswer(t *testing.T) {
	e := comfreyfakeengine.New(comfreyfakeengine.Config{})
	defer e.Close()
	w := httptest.NewRecorder()
	b := `{"messages":[{"role":"user","content":"hello"}],"fake_length":3}`
	e.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(b)))
	want := comfreyfakeengine.AnswerText(w.Header().Get("X-Generation-Id"), 3)
	if !strings.Contains(w.Body.String(), `"content":"`+want+`"`) {
		t.Errorf("body is %s, want %s", w.Body, want)
	}
}

func TestOldFencingNumber(t *testing.T) {
	for _, f := range []comfreyfakeengine.Fencing{comfreyfakeengine.FencingEnforced, comfreyfakeengine.FencingIgnored} {
		e, c := serve(t, comfreyfakeengine.Config{Fencing: f})
		for _, n := range []uint64{5, 4} {
			_, err := c.SendCommand(context.Background(), comfreyengine.Command{Kind: comfreyengine.CommandLoadModel, Value: fmt.Sprint("m", n), FencingNumber: n})
			refused := f == comfreyfakeengine.FencingEnforced && n == 4
			if (err != nil) != refused {
				t.Errorf("fencing %d, number %d: %v", f, n, err)
			}
		}
		want := map[comfreyfakeengine.Fencing]string{comfreyfakeengine.FencingEnforced: "m5", comfreyfakeengine.FencingIgnored: "m4"}[f]
		if m := e.State().Model; m != want {
			t.Errorf("model is %s, want %s", m, want)
		}
	}
}
