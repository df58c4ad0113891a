package comfreyserver

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestRequestReadDuringStopGetsResponse completes requests during a stop on connections of
// each kind that had none when it began. http.Server.Shutdown closes them without a
// response.
func TestRequestReadDuringStopGetsResponse(t *testing.T) {
	s := newTestServer(t, Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/kept" {
			w.Header().Set("Connection", "close")
		}
	})})
	var serving sync.WaitGroup
	serving.Go(func() {
		if err := s.Serve(); err != nil {
			t.Error(err)
		}
	})
	const (
		keptRequest = "GET /kept HTTP/1.1\r\nHost: shop.example\r\n\r\n"
		sent        = 10
	)
	unused, begun, kept := dial(t, s), dial(t, s), dial(t, s)
	for c, text := range map[io.Writer]string{begun: testRequest[:sent], kept: keptRequest + testRequest[:sent]} {
		if _, err := io.WriteString(c, text); err != nil {
			t.Fatal(err)
		}
	}
	fromKept := bufio.NewReader(kept)
	if _, err := http.ReadResponse(fromKept, nil); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	if err := s.StopListening(ctx); err != nil {
		t.Error(err)
	}
	drained := make(chan error, 1)
	serving.Go(func() { drained <- s.Drain(ctx) })
	time.Sleep(2 * drainInterval)
	for name, c := range map[string]struct {
		io.Writer
		responses *bufio.Reader
		rest      string
	}{
		"without a request":             {unused, bufio.NewReader(unused), testRequest},
		"with a part of a request":      {begun, bufio.NewReader(begun), testRequest[sent:]},
		"with a part of a next request": {kept, fromKept, testRequest[sent:]},
	} {
		if _, err := io.WriteString(c, c.rest); err != nil {
			t.Errorf("connection %s: %v", name, err)
		}
		if _, err := http.ReadResponse(c.responses, nil); err != nil {
			t.Errorf("connection %s: expected a response, got %v", name, err)
		}
	}
	if err := <-drained; err != nil {
		t.Errorf("expected that all connections end, got %v", err)
	}
	if cut, err := s.Close(); cut > 0 || err != nil {
		t.Errorf("got %d cut requests, %v", cut, err)
	}
	serving.Wait()
}

// TestStopEndsUnusedConnections stops a server with idle connections, and with one that has
// had no request for long.
func TestStopEndsUnusedConnections(t *testing.T) {
	s := newTestServer(t, Config{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})})
	var serving sync.WaitGroup
	serving.Go(func() { _ = s.Serve() })
	idle, unused := dial(t, s), dial(t, s)
	if _, err := io.WriteString(idle, testRequest); err != nil {
		t.Fatal(err)
	}
	if _, err := http.ReadResponse(bufio.NewReader(idle), nil); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(testTimeout); len(s.open()) < 2 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	for _, c := range s.open() {
		c.mu.Lock()
		c.acceptedAt = c.acceptedAt.Add(-unusedTimeout)
		c.mu.Unlock()
	}
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	if err := s.StopListening(ctx); err != nil {
		t.Error(err)
	}
	if err := s.Drain(ctx); err != nil {
		t.Errorf("expected that all connections end, got %v", err)
	}
	_ = unused.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := unused.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("unused connection: got %v, want its end", err)
	}
	_, _ = s.Close()
	serving.Wait()
}

// foreignListener is a listener that is not one on TCP, and whose Accept ends with an error
// of its own.
type foreignListener struct {
	connections chan net.Conn
	closed      chan struct{}
	once        sync.Once
}

func newForeignListener() *foreignListener {
	return &foreignListener{connections: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *foreignListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.connections:
		return c, nil
	case <-l.closed:
		return nil, io.EOF
	}
}

func (l *foreignListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (*foreignListener) Addr() net.Addr { return &net.TCPAddr{} }

// TestStoppedForeignListenerIsNoFailure stops a server whose listener is not one on TCP. It
// guards against an error, or an end, of Serve by which a process takes its server for
// failed, and ends open requests.
func TestStoppedForeignListenerIsNoFailure(t *testing.T) {
	s := New(newForeignListener(), Config{Handler: http.NotFoundHandler()})
	served := make(chan error, 1)
	go func() { served <- s.Serve() }()
	time.Sleep(10 * time.Millisecond)
	if err := s.StopListening(t.Context()); err != nil {
		t.Error(err)
	}
	select {
	case err := <-served:
		t.Errorf("Serve ended before the server was closed: %v", err)
		return
	case <-time.After(50 * time.Millisecond):
	}
	if _, err := s.Close(); err != nil {
		t.Error(err)
	}
	if err := <-served; err != nil {
		t.Errorf("got %v, want nil", err)
	}
}

// TestCloseBeforeServeClosesListener closes a server that has not begun to serve. It guards
// against callers who are connected to a listener that nobody accepts from.
func TestCloseBeforeServeClosesListener(t *testing.T) {
	s := newTestServer(t, Config{Handler: http.NotFoundHandler()})
	address := s.listener.Addr().String()
	if _, err := s.Close(); err != nil {
		t.Error(err)
	}
	if c, err := net.Dial("tcp", address); err == nil {
		_ = c.Close()
		t.Error("a caller was connected to a closed server")
	}
	if err := s.Serve(); err != nil {
		t.Errorf("serving a closed server: got %v, want nil", err)
	}
}

// TestSecondStopIsNoFailure stops a server twice at once, and again when it has stopped.
func TestSecondStopIsNoFailure(t *testing.T) {
	s := newTestServer(t, Config{Handler: http.NotFoundHandler()})
	var running sync.WaitGroup
	running.Go(func() { _ = s.Serve() })
	var stopping sync.WaitGroup
	for range 2 {
		stopping.Go(func() {
			if err := s.StopListening(t.Context()); err != nil {
				t.Error(err)
			}
		})
	}
	stopping.Wait()
	if err := s.StopListening(t.Context()); err != nil {
		t.Errorf("stopping a stopped server: %v", err)
	}
	_, _ = s.Close()
	if err := s.StopListening(t.Context()); err != nil {
		t.Errorf("stopping a closed server: %v", err)
	}
	running.Wait()
}

// TestDrainWaitsForQueue drains a server that stopped listening too soon, with a connection
// in the queue for which there was no place. It guards against a drain that ends between the
// end of the last connection and the next one of the queue, which is then reset.
func TestDrainWaitsForQueue(t *testing.T) {
	const rounds = 20
	for range rounds {
		release := make(chan struct{})
		entered := make(chan struct{}, 2)
		s := newTestServer(t, Config{MaxConnections: 1, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			entered <- struct{}{}
			<-release
			w.Header().Set("Connection", "close")
		})})
		var serving sync.WaitGroup
		serving.Go(func() { _ = s.Serve() })
		first := dial(t, s)
		if _, err := io.WriteString(first, testRequest); err != nil {
			t.Fatal(err)
		}
		<-entered
		queued := dial(t, s)
		if _, err := io.WriteString(queued, testRequest); err != nil {
			t.Fatal(err)
		}
		short, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		_ = s.StopListening(short)
		cancel()
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		close(release)
		if err := s.Drain(ctx); err != nil {
			t.Error(err)
		}
		cancel()
		_, _ = s.Close()
		serving.Wait()
		_ = queued.SetReadDeadline(time.Now().Add(testTimeout))
		if _, err := http.ReadResponse(bufio.NewReader(queued), nil); err != nil {
			t.Fatalf("a connection in the queue: expected a response, got %v", err)
		}
	}
}

// TestConnectionOfLargeRequestEndsWhenIdle ends an idle connection after a request whose body
// was read in pieces larger than the server's buffer. It guards against taking the smaller
// size of the next read for a part of a request in that buffer, so that a stop waits for it.
func TestConnectionOfLargeRequestEndsWhenIdle(t *testing.T) {
	s := newTestServer(t, Config{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { _, _ = io.ReadAll(r.Body) })})
	var serving sync.WaitGroup
	serving.Go(func() { _ = s.Serve() })
	c := dial(t, s)
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	if _, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 200000\r\n\r\n"+strings.Repeat("x", 200000)); err != nil {
		t.Fatal(err)
	}
	if _, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	if err := s.StopListening(ctx); err != nil {
		t.Error(err)
	}
	if err := s.Drain(ctx); err != nil {
		t.Errorf("expected that the connection ends, got %v", err)
	}
	_, _ = s.Close()
	serving.Wait()
}
