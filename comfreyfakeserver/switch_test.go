package comfreyfakeserver_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyfakeserver"
)

func ExampleTimed() {
	h := comfreyfakeserver.Timed("down", func(d time.Duration) { fmt.Println("down for", d) })
	w := httptest.NewRecorder()
	h(w, httptest.NewRequest(http.MethodPost, "/fake/crash?down=2s", nil))
	fmt.Println(w.Code)
	// Output:
	// down for 2s
	// 204
}

func TestTimedChecksItsValue(t *testing.T) {
	for query, status := range map[string]int{"": 204, "?down=1ms": 204, "?down=-1s": 400, "?down=soon": 400} {
		calls := 0
		w := httptest.NewRecorder()
		h := comfreyfakeserver.Timed("down", func(time.Duration) { calls++ })
		h(w, httptest.NewRequest(http.MethodPost, "/fake/crash"+query, nil))
		if w.Code != status || calls == 1 != (status == http.StatusNoContent) {
			t.Errorf("%q gives status %d and %d calls", query, w.Code, calls)
		}
	}
}

func TestDropWhileCutsTheConnection(t *testing.T) {
	var down atomic.Bool
	down.Store(true)
	h := comfreyfakeserver.DropWhile(down.Load)(http.NotFoundHandler())
	s := httptest.NewServer(h)
	defer s.Close()
	if res, err := http.Get(s.URL); err == nil {
		_ = res.Body.Close()
		t.Errorf("status %d while down", res.StatusCode)
	}
	down.Store(false)
	res, err := http.Get(s.URL)
	if err != nil {
		t.Fatal(err)
	}
	_ = res.Body.Close()
}
