package comfreyforward

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestIdleConnectionWithRequestStaysOpen closes idle connections, of which one has a
// request that the server has not read. It guards against requests that are read, and run,
// although their connection has been closed.
func TestIdleConnectionWithRequestStaysOpen(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := newLimitedListener(inner, 4)
	defer func() { _ = l.Close() }()
	var idle idleConnections
	var callers []net.Conn
	for range 2 {
		c, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		s, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = s.Close() }()
		idle.observe(s, http.StateIdle)
		callers = append(callers, c)
	}
	if _, err := io.WriteString(callers[1], "POST / HTTP/1.1\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(5 * time.Second); idle.closeUnused() != 1; {
		if time.Now().After(end) {
			t.Fatal("the connection with a request was closed")
		}
	}
	_ = callers[0].SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := callers[0].Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("connection without a request: expected its end, got %v", err)
	}
	_ = callers[1].SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if _, err := callers[1].Read(make([]byte, 1)); err == io.EOF {
		t.Error("the connection with a request was closed")
	}
}
