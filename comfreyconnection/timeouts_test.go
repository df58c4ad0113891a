package comfreyconnection_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyconnection"
	"comfreyridge.example/comfreyridge/comfreygroup"
)

// writeSlowly responds with blocks of a size, one every 20 ms.
func writeSlowly(blocks, size int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		for range blocks {
			_, _ = w.Write(make([]byte, size))
			_ = http.NewResponseController(w).Flush()
			select {
			case <-r.Context().Done():
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
}

// TestTimeoutsFollowProgress checks that a call lasts as long as its response
// makes progress, and ends soon after it stops, both through a Pool and through
// RoundTrip.
func TestTimeoutsFollowProgress(t *testing.T) {
	timeouts := comfreyconnection.Timeouts{Header: 200 * time.Millisecond, Silence: 200 * time.Millisecond}
	tests := []struct {
		name    string
		serve   http.HandlerFunc
		size    int
		message string
	}{
		{"slow response", writeSlowly(40, 8<<10), 40 * 8 << 10, ""},
		{"single bytes", writeSlowly(2000, 1), 0, "expected more of a response within 200ms"},
		{"silence after a part", func(w http.ResponseWriter, r *http.Request) {
			_, _ = w.Write(make([]byte, 8<<10))
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		}, 0, "expected more of a response within 200ms"},
		{"no response", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, 0, "expected a response within 200ms, got none"},
	}
	for _, test := range tests {
		s := httptest.NewServer(test.serve)
		defer s.Close()
		group := comfreygroup.New(t.Context())
		pool := comfreyconnection.NewPool(group, comfreyconnection.Config{})
		callers := map[string]func() ([]byte, error){
			"pool": func() ([]byte, error) {
				address := strings.TrimPrefix(s.URL, "http://")
				a, err := pool.Do(t.Context(), address, comfreyconnection.Request{Method: http.MethodGet, Target: "/", Host: address, Timeouts: timeouts})
				if err != nil {
					return nil, err
				}
				defer a.Close()
				return io.ReadAll(a.Body)
			},
			"round trip": func() ([]byte, error) {
				c := &http.Client{Transport: &http.Transport{}}
				defer c.CloseIdleConnections()
				r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, s.URL, http.NoBody)
				if err != nil {
					return nil, err
				}
				a, err := timeouts.RoundTrip(r, c.Do)
				if err != nil {
					return nil, err
				}
				defer func() { _ = a.Body.Close() }()
				return io.ReadAll(a.Body)
			},
		}
		for name, get := range callers {
			started := time.Now()
			b, err := get()
			took := time.Since(started)
			switch {
			case test.message == "" && (err != nil || len(b) != test.size):
				t.Errorf("%s, %s: expected %d bytes, got %d, %v", test.name, name, test.size, len(b), err)
			case test.message != "" && (err == nil || !strings.Contains(err.Error(), test.message) || !errors.Is(err, context.DeadlineExceeded)):
				t.Errorf("%s, %s: expected an error with %q, got %v", test.name, name, test.message, err)
			case test.message != "" && took > 5*time.Second:
				t.Errorf("%s, %s: expected an error within 5 s, got it after %v", test.name, name, took)
			}
		}
		group.Stop()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	}
}
