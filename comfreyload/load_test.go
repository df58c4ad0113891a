package comfreyload_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyfakeengine"
	"comfreyridge.example/comfreyridge/comfreyload"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// serve returns the address of a handler.
func serve(t testing.TB, h http.Handler) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.URL
}

func options(gateways ...string) comfreyload.Options {
	return comfreyload.Options{Gateways: gateways, Key: "key", Service: "quotes", Callers: 4, Requests: 40, MaxTokens: 10, Prompt: "a"}
}

func TestReportCountsWhatTheEngineSent(t *testing.T) {
	e := comfreyfakeengine.New(comfreyfakeengine.Config{})
	defer e.Close()
	o := options(serve(t, e), serve(t, e))
	r, err := comfreyload.Measure(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	if r.Requests != 40 || r.Complete != 40 || len(r.Failures) != 0 {
		t.Errorf("%+v", r)
	}
	if r.FirstToken.Count() != 40 || r.Stall.Count() != 40 || r.InterToken.Count() != int64(r.Tokens)-40 {
		t.Errorf("%d tokens, %d first, %d between, %d stalls", r.Tokens, r.FirstToken.Count(), r.InterToken.Count(), r.Stall.Count())
	}
	var b strings.Builder
	if err := r.Write(&b); err != nil || !strings.HasPrefix(b.String(), "requests=40 complete=40 ") {
		t.Errorf("%q, %v", b.String(), err)
	}
}

func TestRetryAfterIsFollowed(t *testing.T) {
	e := comfreyfakeengine.New(comfreyfakeengine.Config{})
	defer e.Close()
	var refused atomic.Int64
	o := options(serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if refused.Add(1) > 1 {
			e.ServeHTTP(w, r)
			return
		}
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusTooManyRequests)
		_, _ = w.Write([]byte(`{"error":{"verdict":"not-run","reason":"admission-full"}}`))
	})))
	o.Callers, o.Requests = 1, 5
	r, err := comfreyload.Measure(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	want := comfreyload.Outcome{Verdict: comfreyverdict.VerdictNotRun, Reason: comfreyverdict.ReasonAdmissionFull, Count: 1}
	if len(r.Failures) != 1 || r.Failures[0] != want || r.Complete != 4 || r.Took < time.Second || r.Returned != 1 || r.ReturnedServed != 1 {
		t.Errorf("%+v", r)
	}
}

func TestOnlyLoopbackIsCalled(t *testing.T) {
	for _, g := range []string{"http://192.0.2.1:80", "http://localhost:80", "https://127.0.0.1:80", "127.0.0.1:80", "http://[2001:db8::1]:80", "%"} {
		if _, err := comfreyload.Measure(context.Background(), options(g)); err == nil {
			t.Errorf("%s is called", g)
		}
	}
}

func TestAllFaultsOfTheOptions(t *testing.T) {
	o := options("http://192.0.2.1:80")
	o.Callers, o.Requests = 0, -1
	_, err := comfreyload.Measure(context.Background(), o)
	if err == nil || strings.Count(err.Error(), "\n") != 2 {
		t.Errorf("faults are %v", err)
	}
}
