package comfreyserver

import (
	"io"
	"net/http"
	"sync"
	"testing"
)

// TestAbortedResponseOfHTTP10IsReset guards against a response in HTTP/1.0 that is cut and
// looks complete, because it ends with its connection.
func TestAbortedResponseOfHTTP10IsReset(t *testing.T) {
	for name, c := range map[string]struct {
		// ends reports whether the response is complete, or does not return.
		ends       func(s *Server) bool
		isComplete bool
	}{
		"complete":                 {func(*Server) bool { return true }, true},
		"aborted by the handler":   {func(*Server) bool { return false }, false},
		"cut as the server closes": {func(s *Server) bool { _, _ = s.Close(); return false }, false},
	} {
		for _, limit := range []int{0, 4} {
			t.Run(name, func(t *testing.T) {
				var s *Server
				s = newTestServer(t, Config{MaxConnections: limit, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					_, _ = io.WriteString(w, "part")
					_ = http.NewResponseController(w).Flush()
					if !c.ends(s) {
						panic(http.ErrAbortHandler)
					}
				})})
				var serving sync.WaitGroup
				defer serving.Wait()
				serving.Go(func() { _ = s.Serve() })
				defer func() { _, _ = s.Close() }()
				n := dial(t, s)
				if _, err := io.WriteString(n, "GET / HTTP/1.0\r\n\r\n"); err != nil {
					t.Fatal(err)
				}
				b, err := io.ReadAll(n)
				if isComplete := err == nil; isComplete != c.isComplete {
					t.Errorf("limit %d: got %q, %v, want complete %t", limit, b, err, c.isComplete)
				}
			})
		}
	}
}
