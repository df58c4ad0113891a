package comfreyserver

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyseed"
)

// stress is one planned stop at a random moment under callers of all kinds.
type stress struct {
	server *Server

	mu sync.Mutex
	r  *rand.Rand
	// next counts the requests; handled and answered hold those that the handler and
	// the callers have seen.
	next              int
	handled, answered map[string]bool
	unanswered        []Unanswered
}

// upTo returns a random duration.
func (s *stress) upTo(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.r.Int64N(int64(d)))
}

// request returns a request with a path of its own.
func (s *stress) request() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	return "GET /" + time.Duration(s.next).String() + " HTTP/1.1\r\nHost: shop.example\r\n\r\n"
}

func (s *stress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.handled[r.URL.Path] = true
	s.mu.Unlock()
	time.Sleep(s.upTo(4 * time.Millisecond))
	if r.Context().Err() == nil {
		_, _ = io.WriteString(w, r.URL.Path)
	}
}

// read reads a whole response, and reports whether another one may follow.
func (s *stress) read(r *bufio.Reader) bool {
	a, err := http.ReadResponse(r, nil)
	if err != nil {
		return false
	}
	b, err := io.ReadAll(a.Body)
	if err != nil {
		return false
	}
	s.mu.Lock()
	s.answered[string(b)] = true
	s.mu.Unlock()
	return !a.Close
}

// call sends requests on a connection in the way of one kind of caller. It reports whether
// there was a connection.
func (s *stress) call(kind int, pause time.Duration) bool {
	c, err := net.DialTimeout("tcp", s.server.listener.Addr().String(), 200*time.Millisecond)
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	r := bufio.NewReader(c)
	send := func(text string) { _, _ = io.WriteString(c, text) }
	switch kind {
	case 0: // A kept connection.
		for send(s.request()); s.read(r); send(s.request()) {
			time.Sleep(s.upTo(2 * time.Millisecond))
		}
	case 1: // A connection that is used late.
		time.Sleep(pause)
		send(s.request())
		s.read(r)
	case 2, 3: // Requests in two parts, of which one is the second of its connection.
		if kind == 3 {
			send(s.request())
			if !s.read(r) {
				return true
			}
		}
		text := s.request()
		n := 1 + int(s.upTo(time.Duration(len(text)-1)))
		send(text[:n])
		time.Sleep(pause)
		send(text[n:])
		s.read(r)
	case 4: // Requests at once.
		for hasMore := true; hasMore; {
			send(s.request() + s.request())
			if hasMore = s.read(r); hasMore {
				hasMore = s.read(r)
			}
		}
	}
	return true
}

// run stops the server while callers of all kinds send, and returns when all have ended.
func (s *stress) run(t *testing.T) {
	var serving, calling sync.WaitGroup
	serving.Go(func() {
		if err := s.server.Serve(); err != nil {
			t.Error(err)
		}
	})
	for i := range 25 {
		calling.Go(func() {
			for s.call(i%5, s.upTo(300*time.Millisecond)) {
				time.Sleep(s.upTo(time.Millisecond))
			}
		})
	}
	time.Sleep(s.upTo(150 * time.Millisecond))
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	if err := s.server.StopListening(ctx); err != nil {
		t.Error(err)
	}
	if err := s.server.Drain(ctx); err != nil {
		t.Errorf("expected that all connections end, got %v", err)
	}
	if cut, err := s.server.Close(); cut > 0 || err != nil {
		t.Errorf("got %d cut requests, %v", cut, err)
	}
	calling.Wait()
	serving.Wait()
}

// TestStopUnderStressAnswersWhatItReads stops servers with slow handlers and a slow Accept at
// random moments, while callers send on kept, new and unused connections, in parts, and
// several requests at once. It guards against a request that is read and gets no response.
func TestStopUnderStressAnswersWhatItReads(t *testing.T) {
	for seed := range comfreyseed.Seeds(3) {
		s := &stress{r: rand.New(rand.NewPCG(seed, 0)), handled: map[string]bool{}, answered: map[string]bool{}}
		s.server = newTestServer(t, Config{Handler: s, EndsConnections: true, MaxConnections: 10 + 10*int(seed%3), OnUnanswered: func(u Unanswered) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.unanswered = append(s.unanswered, u)
		}})
		accept := s.server.callers.accept
		s.server.callers.accept = func() (net.Conn, error) {
			time.Sleep(s.upTo(2 * time.Millisecond))
			return accept()
		}
		s.run(t)
		lost := 0
		for p := range s.handled {
			if !s.answered[p] {
				lost++
			}
		}
		if lost > 0 || len(s.unanswered) > 0 || len(s.handled) < 5 {
			t.Errorf("seed %d: of %d requests that were handled %d have no response, and %d were read only: %+v", seed, len(s.handled), lost, len(s.unanswered), s.unanswered)
		}
	}
}
