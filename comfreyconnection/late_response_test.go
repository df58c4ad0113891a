package comfreyconnection_test

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"

	"comfreyridge.example/comfreyridge/comfreyconnection"
)

const idHeader = "Id"

// scriptedServer is an HTTP server that writes the raw bytes of each response.
type scriptedServer struct {
	address string

	mu          sync.Mutex
	connections int
}

// newScriptedServer starts a server. respond returns the bytes that follow the nth
// request of a connection, both counted from 0.
func newScriptedServer(t *testing.T, respond func(r *http.Request, connection, n int) string) *scriptedServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedServer{address: l.Addr().String()}
	var serving sync.WaitGroup
	serving.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			connection := s.connections
			s.connections++
			s.mu.Unlock()
			serving.Go(func() {
				defer func() { _ = c.Close() }()
				b := bufio.NewReader(c)
				for n := 0; ; n++ {
					r, err := http.ReadRequest(b)
					if err != nil {
						return
					}
					if _, err := c.Write([]byte(respond(r, connection, n))); err != nil {
						return
					}
				}
			})
		}
	})
	t.Cleanup(func() { _ = l.Close() })
	return s
}

func (s *scriptedServer) connectionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.connections
}

// response returns a response with a body and, unless it is empty, an id.
func response(id, body string) string {
	if id != "" {
		id = idHeader + ": " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func withID(id string) comfreyconnection.Request {
	return comfreyconnection.Request{Header: http.Header{idHeader: {id}}, IDHeader: idHeader}
}

// TestLateResponseIsNotTakenForAnother guards against a response of an earlier request
// that arrives where the response to a later one is due, and against the responses after
// it, each of which would be one request late.
func TestLateResponseIsNotTakenForAnother(t *testing.T) {
	for name, c := range map[string]struct {
		// late is what precedes the response to the second request.
		late string
		// connections is how many connections four requests take.
		connections int
	}{
		"none":                         {"", 1},
		"a second copy":                {response("r-0", "wrong"), 2},
		"with a foreign id":            {response("other", "wrong"), 2},
		"without an id":                {response("", "wrong"), 2},
		"bytes that are no response":   {"wrong\r\n\r\n", 2},
		"an informational response":    {"HTTP/1.1 103 Early Hints\r\n\r\n", 1},
		"a second copy, and then more": {response("r-0", "wrong") + response("", "wrong"), 2},
	} {
		t.Run(name, func(t *testing.T) {
			s := newScriptedServer(t, func(r *http.Request, connection, n int) string {
				id := r.Header.Get(idHeader)
				if connection == 0 && n == 1 {
					return c.late + response(id, id)
				}
				return response(id, id)
			})
			p := newPool(t, comfreyconnection.Config{})
			for i := range 4 {
				id := fmt.Sprintf("r-%d", i)
				b, err := get(t, p, s.address, withID(id))
				if err == nil && b != id {
					t.Fatalf("%s got %q", id, b)
				}
				if err != nil && i != 1 {
					t.Errorf("%s: %v", id, err)
				}
			}
			if n := s.connectionCount(); n != c.connections {
				t.Errorf("got %d connections for 4 requests, want %d", n, c.connections)
			}
		})
	}
}

// TestResponseWithoutIDEndsConnection checks that a peer which sends no ids is served
// one request on each connection, so that none can get the response to another.
func TestResponseWithoutIDEndsConnection(t *testing.T) {
	s := newScriptedServer(t, func(r *http.Request, _, _ int) string { return response("", r.Header.Get(idHeader)) })
	p := newPool(t, comfreyconnection.Config{})
	for i := range 3 {
		id := fmt.Sprintf("r-%d", i)
		if b, err := get(t, p, s.address, withID(id)); err != nil || b != id {
			t.Errorf("%s got %q, %v", id, b, err)
		}
	}
	if n := s.connectionCount(); n != 3 {
		t.Errorf("got %d connections for 3 requests, want 3", n)
	}
}

// TestRequestIsNotRepeatedOnConnection guards against a second copy of a refusal that is
// taken for the response to the same request when it is sent again.
func TestRequestIsNotRepeatedOnConnection(t *testing.T) {
	s := newScriptedServer(t, func(r *http.Request, _, n int) string {
		if n == 1 {
			return response("r", "refused")
		}
		return response("r", fmt.Sprintf("%s %s", r.Header.Get("Attempt"), r.Header.Get(idHeader)))
	})
	p := newPool(t, comfreyconnection.Config{})
	for _, attempt := range []string{"first", "second"} {
		q := withID("r")
		q.Header.Set("Attempt", attempt)
		if b, err := get(t, p, s.address, q); err != nil || b != attempt+" r" {
			t.Errorf("the %s attempt got %q, %v", attempt, b, err)
		}
	}
}

// TestControlCallsHaveTheirOwnConnections guards against a control call, which has no id,
// on a connection that is used for another call, of which further responses may arrive.
func TestControlCallsHaveTheirOwnConnections(t *testing.T) {
	s := newScriptedServer(t, func(r *http.Request, _, _ int) string {
		id := r.Header.Get(idHeader)
		return response(id, id)
	})
	p := newPool(t, comfreyconnection.Config{})
	for i := range 6 {
		q := withID(fmt.Sprintf("r-%d", i))
		if i%2 == 1 {
			q.Header.Del(idHeader)
		}
		if _, err := get(t, p, s.address, q); err != nil {
			t.Fatal(err)
		}
	}
	if n := s.connectionCount(); n != 4 {
		t.Errorf("got %d connections for three requests and three control calls in turn, want 4", n)
	}
	p.CloseIdle(s.address)
	if _, err := get(t, p, s.address, withID("last")); err != nil || s.connectionCount() != 5 {
		t.Errorf("after all idle connections were closed: got %d connections, %v, want 5", s.connectionCount(), err)
	}
}

// TestUnidentifiedResponseMayHaveArrived checks what a request is told whose response
// cannot be told from one to an earlier request: it may have run.
func TestUnidentifiedResponseMayHaveArrived(t *testing.T) {
	s := newScriptedServer(t, func(r *http.Request, _, n int) string {
		if n == 1 {
			return response("", "refused")
		}
		return response(r.Header.Get(idHeader), "")
	})
	p := newPool(t, comfreyconnection.Config{})
	if _, err := get(t, p, s.address, withID("r-0")); err != nil {
		t.Fatal(err)
	}
	_, err := get(t, p, s.address, withID("r-1"))
	var e *comfreyconnection.SendError
	if !errors.As(err, &e) || !e.MayHaveArrived {
		t.Errorf("got %v, want an error that leaves open whether the request arrived", err)
	}
}
