package comfreyconnection_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"comfreyridge.example/comfreyridge/comfreyconnection"
	"comfreyridge.example/comfreyridge/comfreygroup"
)

func newPool(t *testing.T, c comfreyconnection.Config) *comfreyconnection.Pool {
	g := comfreygroup.New(context.Background())
	t.Cleanup(func() {
		g.Stop()
		if err := g.Wait(); err != nil {
			t.Error(err)
		}
	})
	return comfreyconnection.NewPool(g, c)
}

func get(t *testing.T, p *comfreyconnection.Pool, address string, r comfreyconnection.Request) (string, error) {
	t.Helper()
	r.Host = address
	if r.Method == "" {
		r.Method = http.MethodGet
	}
	if r.Target == "" {
		r.Target = "/"
	}
	a, err := p.Do(t.Context(), address, r)
	if err != nil {
		return "", err
	}
	defer a.Close()
	b, err := io.ReadAll(a.Body)
	return string(b), err
}

func TestConnectionIsReused(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
	defer s.Close()
	var opened atomic.Int64
	p := newPool(t, comfreyconnection.Config{OnOpen: func(string) { opened.Add(1) }})
	for range 5 {
		if b, err := get(t, p, s.Listener.Addr().String(), comfreyconnection.Request{}); b != "ok" || err != nil {
			t.Fatalf("got %q, %v", b, err)
		}
	}
	if opened.Load() != 1 {
		t.Errorf("got %d connections for 5 requests, want 1", opened.Load())
	}
}

func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
	defer s.Close()
	p := newPool(t, comfreyconnection.Config{})
	address := s.Listener.Addr().String()
	for i := range 5 {
		if _, err := get(t, p, address, comfreyconnection.Request{Method: http.MethodPost}); err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		s.CloseClientConnections()
	}
}

func TestRefusedDialHasNotArrived(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	_, err = get(t, newPool(t, comfreyconnection.Config{}), address, comfreyconnection.Request{})
	var s *comfreyconnection.SendError
	if !errors.As(err, &s) || s.MayHaveArrived || !s.IsDial {
		t.Errorf("got %v", err)
	}
}

func TestClosedConnectionMayHaveArrived(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer s.Close()
	_, err := get(t, newPool(t, comfreyconnection.Config{}), s.Listener.Addr().String(), comfreyconnection.Request{})
	var e *comfreyconnection.SendError
	if !errors.As(err, &e) || !e.MayHaveArrived {
		t.Errorf("got %v", err)
	}
}

// TestResponseBeforeLongBodyIsRead guards against reusing a connection whose
// request body is still being written: the server responds at once and reads
// the body later, so the next request could otherwise follow an incomplete
// body.
func TestResponseBeforeLongBodyIsRead(t *testing.T) {
	body := bytes.Repeat([]byte("x"), 8<<20)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength > 0 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "ok")
	}))
	defer s.Close()
	p := newPool(t, comfreyconnection.Config{})
	address := s.Listener.Addr().String()
	for range 3 {
		if _, err := get(t, p, address, comfreyconnection.Request{Method: http.MethodPost, Body: body}); err != nil {
			var e *comfreyconnection.SendError
			if !errors.As(err, &e) {
				t.Fatal(err)
			}
		}
		if b, err := get(t, p, address, comfreyconnection.Request{}); b != "ok" || err != nil {
			t.Fatalf("next request: got %q, %v", b, err)
		}
	}
}

func TestContextEndClosesConnection(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
	}))
	defer s.Close()
	ctx, cancel := context.WithCancel(t.Context())
	p := newPool(t, comfreyconnection.Config{})
	go func() {
		cancel()
	}()
	if _, err := p.Do(ctx, s.Listener.Addr().String(), comfreyconnection.Request{Method: http.MethodGet, Target: "/", Host: "x"}); err == nil {
		t.Fatal("got a response after the context ended")
	}
	var e *comfreyconnection.SendError
	_, err := p.Do(ctx, s.Listener.Addr().String(), comfreyconnection.Request{Method: http.MethodGet, Target: "/", Host: "x"})
	if !errors.As(err, &e) || e.MayHaveArrived {
		t.Errorf("sending after the context ended: got %v, want a SendError that has not arrived", err)
	}
}

func TestRequestHeaderIsSentUnchanged(t *testing.T) {
	got := make(chan *http.Request, 1)
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { got <- r.Clone(context.Background()) }))
	defer s.Close()
	h := http.Header{"X-Own": {"a", "b"}, "Content-Length": {"999"}, "Transfer-Encoding": {"chunked"}}
	if _, err := get(t, newPool(t, comfreyconnection.Config{}), s.Listener.Addr().String(), comfreyconnection.Request{Method: http.MethodPut, Target: "/a%2Fb/?q=%41", Header: h, Body: []byte("hi")}); err != nil {
		t.Fatal(err)
	}
	r := <-got
	if r.RequestURI != "/a%2Fb/?q=%41" || strings.Join(r.Header["X-Own"], "") != "ab" || r.ContentLength != 2 || len(r.TransferEncoding) != 0 {
		t.Errorf("got %+v", r)
	}
}
