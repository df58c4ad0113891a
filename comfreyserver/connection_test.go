package comfreyserver

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	testTimeout = 5 * time.Second
	testRequest = "GET / HTTP/1.1\r\nHost: shop.example\r\n\r\n"
)

// testCaller is a caller and its connection at a server that is not running.
type testCaller struct {
	net.Conn
	accepted *connection
}

// newTestCaller connects to a listener and accepts the connection.
func newTestCaller(t *testing.T, s *Server) testCaller {
	t.Helper()
	c := dial(t, s)
	k, err := s.listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = k.Close() })
	return testCaller{Conn: c, accepted: k.(*connection)}
}

func dial(t *testing.T, s *Server) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func newTestServer(t *testing.T, c Config) *Server {
	t.Helper()
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(l, c)
	t.Cleanup(func() { _, _ = s.Close() })
	return s
}

// send writes bytes and waits until they have arrived.
func (c testCaller) send(t *testing.T, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(testTimeout); !c.accepted.hasArrived(); {
		if time.Now().After(end) {
			t.Fatal("the bytes of a caller did not arrive")
		}
	}
}

// TestIdleConnectionWithRequestStaysOpen ends idle connections, of which one has a request
// that the server has not read. It guards against requests that are read, and run, although
// their connection has been closed.
func TestIdleConnectionWithRequestStaysOpen(t *testing.T) {
	s := newTestServer(t, Config{MaxConnections: 4})
	unused, used := newTestCaller(t, s), newTestCaller(t, s)
	used.send(t, testRequest)
	for _, c := range []testCaller{unused, used} {
		c.accepted.setState(http.StateIdle)
		c.accepted.endIfIdle()
	}
	if _, err := unused.accepted.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("connection without a request: expected its end, got %v", err)
	}
	if _, err := used.accepted.Read(make([]byte, 1)); err != nil {
		t.Errorf("connection with a request: got %v", err)
	}
}

// TestConnectionWithPartOfRequestStaysOpen ends an idle connection of whose next request a
// part was read, and sends the rest once the server reads again. It guards against taking the
// connection for unused because its state is still idle.
func TestConnectionWithPartOfRequestStaysOpen(t *testing.T) {
	for _, part := range []int{2, 10} {
		s := newTestServer(t, Config{})
		c := newTestCaller(t, s)
		c.accepted.setState(http.StateIdle)
		c.send(t, testRequest[:part])
		b := make([]byte, len(testRequest))
		if n, err := c.accepted.Read(b); n != part || err != nil {
			t.Fatalf("got %d bytes, %v", n, err)
		}
		c.accepted.endIfIdle()
		time.AfterFunc(50*time.Millisecond, func() { _, _ = io.WriteString(c, testRequest[part:]) })
		if _, err := c.accepted.Read(b); err != nil {
			t.Errorf("reading the rest of a request after %d bytes: got %v", part, err)
		}
	}
}

// TestLateProcessReadsWhatHasArrived lets a read deadline pass after bytes have arrived. It
// guards against a process that takes a connection for silent because it runs late.
func TestLateProcessReadsWhatHasArrived(t *testing.T) {
	s := newTestServer(t, Config{})
	c := newTestCaller(t, s)
	b := make([]byte, 1)
	expire := func() {
		_ = c.accepted.SetReadDeadline(c.accepted.acceptedAt.Add(time.Nanosecond))
	}
	expire()
	if _, err := c.accepted.Read(b); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("nothing has arrived: got %v, want a timeout", err)
	}
	c.send(t, "GET")
	if _, err := c.accepted.Read(b); err != nil {
		t.Errorf("bytes have arrived: got %v", err)
	}
	expire()
	if _, err := c.accepted.Read(b); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("a second timeout of a request: got %v, want a timeout", err)
	}
	c.accepted.setState(http.StateIdle)
	if _, err := c.accepted.Read(b); err != nil {
		t.Errorf("the timeout of the next request: got %v", err)
	}
}

// TestEndedConnectionHasAnswerOrWasNotRead ends kept connections while their callers send the
// next request. It guards against a connection that is closed after a request was read
// from it.
func TestEndedConnectionHasAnswerOrWasNotRead(t *testing.T) {
	const callers, rounds = 8, 50
	var handled, answered, unanswered atomic.Int64
	s := newTestServer(t, Config{
		Handler:      http.HandlerFunc(func(http.ResponseWriter, *http.Request) { handled.Add(1) }),
		OnUnanswered: func(Unanswered) { unanswered.Add(1) },
	})
	var serving, running sync.WaitGroup
	serving.Go(func() {
		if err := s.Serve(); err != nil {
			t.Error(err)
		}
	})
	for range callers {
		running.Go(func() {
			for range rounds {
				c, err := net.Dial("tcp", s.listener.Addr().String())
				if err != nil {
					t.Error(err)
					return
				}
				_ = c.SetDeadline(time.Now().Add(testTimeout))
				r := bufio.NewReader(c)
				for range 2 {
					if _, err := io.WriteString(c, testRequest); err != nil {
						break
					}
					if _, err := http.ReadResponse(r, nil); err != nil {
						break
					}
					answered.Add(1)
				}
				_ = c.Close()
			}
		})
	}
	done := make(chan struct{})
	serving.Go(func() {
		for {
			select {
			case <-done:
				return
			default:
			}
			for _, c := range s.open() {
				c.endIfIdle()
			}
		}
	})
	running.Wait()
	close(done)
	_, _ = s.Close()
	serving.Wait()
	if handled.Load() != answered.Load() || unanswered.Load() > 0 {
		t.Errorf("%d requests were handled, and %d read only, but %d callers have an answer", handled.Load(), unanswered.Load(), answered.Load())
	}
}

// TestUnansweredRequestsAreReported ends connections on which a part of a request was read,
// each for another reason.
func TestUnansweredRequestsAreReported(t *testing.T) {
	for cause, end := range map[string]func(c net.Conn, s *Server){
		CauseCaller:  func(c net.Conn, _ *Server) { _ = c.Close() },
		CauseStop:    func(_ net.Conn, s *Server) { _, _ = s.Close() },
		CauseTimeout: func(net.Conn, *Server) {},
	} {
		t.Run(cause, func(t *testing.T) {
			reported := make(chan Unanswered, 1)
			k := Config{OnUnanswered: func(u Unanswered) { reported <- u }}
			if cause == CauseTimeout {
				k.ReadHeaderTimeout = 20 * time.Millisecond
			}
			s := newTestServer(t, k)
			var serving sync.WaitGroup
			serving.Go(func() { _ = s.Serve() })
			c := dial(t, s)
			if _, err := io.WriteString(c, testRequest[:10]); err != nil {
				t.Fatal(err)
			}
			for hasRead := false; !hasRead && cause != CauseTimeout; {
				for _, k := range s.open() {
					k.mu.Lock()
					hasRead = k.read > 0
					k.mu.Unlock()
				}
			}
			end(c, s)
			select {
			case u := <-reported:
				if u.Cause != cause || u.Bytes != 10 || u.WasUsed {
					t.Errorf("got %+v, want cause %s and 10 bytes of a first request", u, cause)
				}
			case <-time.After(testTimeout):
				t.Error("a connection with a part of a request ended without a report")
			}
			_, _ = s.Close()
			serving.Wait()
		})
	}
}

// TestBufferedRequestOutlivesEndOfIdleConnection ends an idle connection whose next request
// is in the buffer of http.Server, so that nothing is read for it. It guards against a
// deadline that passes while the request is handled, by which its context ends as if the
// caller had left.
func TestBufferedRequestOutlivesEndOfIdleConnection(t *testing.T) {
	s := newTestServer(t, Config{})
	c := newTestCaller(t, s)
	c.accepted.setState(http.StateIdle)
	c.accepted.endIfIdle()
	_ = c.accepted.SetReadDeadline(time.Now().Add(testTimeout)) // Idle.
	_ = c.accepted.SetReadDeadline(time.Now().Add(testTimeout)) // The header.
	c.accepted.setState(http.StateActive)
	c.accepted.setHandled(&http.Request{})
	_ = c.accepted.SetReadDeadline(time.Time{})
	go func() {
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(c, "G")
	}()
	if _, err := c.accepted.Read(make([]byte, 1)); err != nil {
		t.Errorf("reading while a request is handled: got %v", err)
	}
}

// TestPipelinedRequestsAreHandledDuringStop ends idle connections in a loop while callers
// send two requests at once. It guards against the context of the second ending before its
// response.
func TestPipelinedRequestsAreHandledDuringStop(t *testing.T) {
	const rounds = 100
	s := newTestServer(t, Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
			w.WriteHeader(http.StatusBadGateway)
		case <-time.After(2 * time.Millisecond):
		}
	})})
	var serving sync.WaitGroup
	serving.Go(func() { _ = s.Serve() })
	done := make(chan struct{})
	serving.Go(func() {
		for {
			select {
			case <-done:
				return
			default:
			}
			for _, c := range s.open() {
				c.endIfIdle()
			}
		}
	})
	for range rounds {
		c := dial(t, s)
		_ = c.SetDeadline(time.Now().Add(testTimeout))
		r := bufio.NewReader(c)
		if _, err := io.WriteString(c, testRequest+testRequest); err != nil {
			t.Fatal(err)
		}
		for i := range 2 {
			a, err := http.ReadResponse(r, nil)
			if err != nil || a.StatusCode != http.StatusOK {
				t.Errorf("response %d of two: got %v, %v", i+1, a, err)
				break
			}
		}
		_ = c.Close()
		if t.Failed() {
			break
		}
	}
	close(done)
	_, _ = s.Close()
	serving.Wait()
}

// TestConnectionIsIdleAfterLargeBody stops a server after a request whose body was read in
// parts that are larger than the server's buffer. It guards against taking the rest of the
// buffer for a part of the next request, so that the stop takes all its time.
func TestConnectionIsIdleAfterLargeBody(t *testing.T) {
	const size = 100_000
	s := newTestServer(t, Config{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if n, err := io.Copy(io.Discard, r.Body); n != size || err != nil {
			t.Errorf("got %d bytes, %v", n, err)
		}
	})})
	var serving sync.WaitGroup
	serving.Go(func() { _ = s.Serve() })
	c := dial(t, s)
	if _, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: shop.example\r\nContent-Length: "+strconv.Itoa(size)+"\r\n\r\n"+strings.Repeat("x", size)); err != nil {
		t.Fatal(err)
	}
	if _, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout/2)
	defer cancel()
	if err := s.StopListening(ctx); err != nil {
		t.Error(err)
	}
	if err := s.Drain(ctx); err != nil {
		t.Errorf("expected the end of the idle connection, got %v", err)
	}
	_, _ = s.Close()
	serving.Wait()
}

// TestRefusalOfServerIsNotReported sends a request that http.Server refuses by itself. It
// guards against a count of requests without a response that includes such ones.
func TestRefusalOfServerIsNotReported(t *testing.T) {
	reported := make(chan Unanswered, 1)
	s := newTestServer(t, Config{Handler: http.NotFoundHandler(), OnUnanswered: func(u Unanswered) { reported <- u }})
	var serving sync.WaitGroup
	serving.Go(func() { _ = s.Serve() })
	c := dial(t, s)
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || a.StatusCode != http.StatusBadRequest {
		t.Fatalf("got %v, %v", a, err)
	}
	_, _ = io.Copy(io.Discard, c)
	_, _ = s.Close()
	serving.Wait()
	select {
	case u := <-reported:
		t.Errorf("got %+v, want no report", u)
	default:
	}
}

// TestConnectionClosesWriteSide guards against a response that is lost to a reset, because
// http.Server could not close its side first while the rest of a request arrives.
func TestConnectionClosesWriteSide(t *testing.T) {
	s := newTestServer(t, Config{MaxConnections: 2})
	c := newTestCaller(t, s)
	k, ok := net.Conn(c.accepted).(interface{ CloseWrite() error })
	if !ok {
		t.Fatal("expected a connection that can close its write side")
	}
	if err := k.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("got %v, want the end", err)
	}
	c.send(t, "x")
}
