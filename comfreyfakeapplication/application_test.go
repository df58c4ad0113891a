package comfreyfakeapplication_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyfakeapplication"
)

func serve(t *testing.T, c comfreyfakeapplication.Config) (*comfreyfakeapplication.Application, string) {
	t.Helper()
	a := comfreyfakeapplication.New(c)
	s := httptest.NewServer(a)
	t.Cleanup(s.Close)
	return a, s.URL
}

// order sends an order and returns the status, or 0 if there was no answer.
func order(url, id, body string) int {
	r, _ := http.NewRequest(http.MethodPost, url+"/orders", strings.NewReader(body))
	r.Header.Set("X-Order-Id", id)
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	_ = res.Body.Close()
	return res.StatusCode
}

func TestOrderRunsEachTimeItIsSent(t *testing.T) {
	a, url := serve(t, comfreyfakeapplication.Config{})
	for range 2 {
		if s := order(url, "slab-1", "{}"); s != http.StatusCreated {
			t.Errorf("status %d", s)
		}
	}
	if r := a.Runs()["slab-1"]; r.Began != 2 || r.Finished != 2 {
		t.Errorf("%+v", r)
	}
}

func TestCrashPoints(t *testing.T) {
	a, url := serve(t, comfreyfakeapplication.Config{})
	a.FailNext(comfreyfakeapplication.FailureBeforeRun)
	before := order(url, "before", "{}")
	a.FailNext(comfreyfakeapplication.FailureAfterRun)
	after := order(url, "after", "{}")
	poison := order(url, "poison", comfreyfakeapplication.PoisonText)
	if before != 0 || after != 0 || poison != 0 || a.Crashes() != 3 {
		t.Errorf("statuses %d %d %d, %d crashes", before, after, poison, a.Crashes())
	}
	r := a.Runs()
	if r["before"].Began != 0 || r["after"].Finished != 1 || r["poison"].Began != 1 {
		t.Errorf("%+v", r)
	}
}

func TestCrashEndsRunningOrders(t *testing.T) {
	a, url := serve(t, comfreyfakeapplication.Config{OrderTime: time.Hour})
	done := make(chan int)
	go func() { done <- order(url, "slab-1", "{}") }()
	for a.Runs()["slab-1"].Began == 0 {
		time.Sleep(time.Millisecond)
	}
	a.Crash(time.Hour)
	if s := <-done; s != 0 {
		t.Errorf("status %d", s)
	}
	if s := order(url, "slab-2", "{}"); s != 0 {
		t.Errorf("a crashed application answers %d", s)
	}
}

func TestEchoStatesTheRequest(t *testing.T) {
	_, url := serve(t, comfreyfakeapplication.Config{})
	res, err := http.Post(url+"/echo/quote?status=202&delay=1ms", "text/plain", strings.NewReader("2.4 m"))
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	b, _ := io.ReadAll(res.Body)
	if res.StatusCode != http.StatusAccepted || !strings.Contains(string(b), `"body":"2.4 m"`) {
		t.Errorf("status %d, body %s", res.StatusCode, b)
	}
}
