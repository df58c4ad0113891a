package comfreysidecar_test

import (
	"bytes"
	"context"
	"crypto/rand"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"comfreyridge.example/comfreyridge/comfreyconfig"
	"comfreyridge.example/comfreyridge/comfreydemo"
	"comfreyridge.example/comfreyridge/comfreyfakeengine"
	"comfreyridge.example/comfreyridge/comfreyrpc"
	"comfreyridge.example/comfreyridge/comfreysidecar"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// signatureRefusals returns the number of requests that were refused because of their
// signature.
func (b *harness) signatureRefusals() int {
	n := 0
	for _, d := range b.recorder.ForRequest("") {
		if d.Reason == comfreyverdict.ReasonUnauthorized {
			n++
		}
	}
	return n
}

// Requests without a valid, fresh and unused signature are refused and counted,
// and their connections and goroutines end.
func TestUnauthorizedRequestsNeverReachEngine(t *testing.T) {
	before := runtime.NumGoroutine()
	b := startHarness(t, comfreyfakeengine.Config{}, comfreysidecar.Config{})
	body, err := proto.Marshal(startRequest("a", 5))
	if err != nil {
		t.Fatal(err)
	}
	key := comfreyrpc.Key(fleetKey)
	replayed := b.newStartRequest(t, body)
	key.Sign(replayed, body, time.Now())
	if s := b.status(t, replayed); s != http.StatusOK {
		t.Fatalf("the signed request: got status %d, want 200", s)
	}
	eventually(t, "the signed request ended", func() bool { return b.engine.Runs()["a#0"].Finished == 1 })
	cases := map[string]func() *http.Request{
		"unsigned": func() *http.Request { return b.newStartRequest(t, body) },
		"wrong-key": func() *http.Request {
			r := b.newStartRequest(t, body)
			comfreyrpc.Key("another-shared-key").Sign(r, body, time.Now())
			return r
		},
		"replayed": func() *http.Request {
			r := b.newStartRequest(t, body)
			r.Header = replayed.Header.Clone()
			return r
		},
		"stale": func() *http.Request {
			r := b.newStartRequest(t, body)
			key.Sign(r, body, time.Now().Add(-time.Hour))
			return r
		},
		"other-body": func() *http.Request {
			r := b.newStartRequest(t, body)
			key.Sign(r, []byte("other"), time.Now())
			return r
		},
		"other-path": func() *http.Request {
			r := b.newStartRequest(t, body)
			key.Sign(r, body, time.Now())
			r.URL.Path = comfreyrpc.PathResume
			return r
		},
		"huge-body": func() *http.Request { return b.newStartRequest(t, make([]byte, comfreyrpc.MaxBodyBytes+1)) },
	}
	for name, f := range cases {
		n := b.signatureRefusals()
		if s := b.status(t, f()); s != http.StatusUnauthorized {
			t.Errorf("%s: got status %d, want 401", name, s)
		}
		if got := b.signatureRefusals(); got != n+1 {
			t.Errorf("%s: got %d refusals, want 1", name, got-n)
		}
	}
	if n := len(b.engine.Runs()); n != 1 {
		t.Errorf("the engine received %d requests, want 1", n)
	}
	b.sendRandomBytes(t)
	b.stop()
	eventually(t, "all goroutines end", func() bool { return runtime.NumGoroutine() <= before })
}

func (b *harness) newStartRequest(t *testing.T, body []byte) *http.Request {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+b.address+comfreyrpc.PathStart, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// status sends a request on a connection of its own, reads the complete
// response and returns its status.
func (b *harness) status(t *testing.T, r *http.Request) int {
	t.Helper()
	tr := &http.Transport{DisableKeepAlives: true}
	resp, err := tr.RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// sendRandomBytes sends random bytes and expects the connection to be closed.
func (b *harness) sendRandomBytes(t *testing.T) {
	t.Helper()
	for range 20 {
		c, err := net.Dial("tcp", b.address)
		if err != nil {
			t.Fatal(err)
		}
		p := make([]byte, 4096)
		_, _ = rand.Read(p)
		_, _ = c.Write(append(p, "\r\n\r\n"...))
		_, _ = io.Copy(io.Discard, c)
		_ = c.Close()
	}
}

// pipeListener is a net.Listener that accepts the connections sent to conns.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	close  func()
}

func newPipeListener() *pipeListener {
	l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	l.close = sync.OnceFunc(func() { close(l.closed) })
	return l
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.close()
	return nil
}

func (*pipeListener) Addr() net.Addr {
	return &net.TCPAddr{}
}

// A connection that sends nothing, or only a part of its headers or body, is
// closed within a minute.
func TestSlowConnectionsAreClosed(t *testing.T) {
	cases := map[string]string{
		"nothing":      "",
		"half-headers": "POST /stream/start HTTP/1.1\r\nHost: x\r\nX-A: ",
		"half-body":    "POST /stream/start HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nabc",
	}
	for name, sent := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newPipeListener()
				settings := comfreydemo.EmbeddedSettings()
				s := comfreysidecar.New(context.Background(), comfreysidecar.Config{
					Host: host, Service: comfreydemo.GenerationService, Key: comfreyrpc.Key(fleetKey), Listener: l, Upstream: "http://127.0.0.1:1",
					Settings: func() comfreyconfig.Settings { return settings }, Recorder: newRecorder(),
				})
				kill, end := context.WithCancel(context.Background())
				var wg sync.WaitGroup
				wg.Go(func() { _ = s.Run(context.Background(), kill) })
				near, far := net.Pipe()
				l.conns <- far
				began := time.Now()
				_, _ = io.Copy(near, strings.NewReader(sent))
				_, _ = io.Copy(io.Discard, near)
				if d := time.Since(began); d > time.Minute {
					t.Errorf("the connection stayed open for %s, want at most 1m", d)
				}
				end()
				wg.Wait()
			})
		})
	}
}
