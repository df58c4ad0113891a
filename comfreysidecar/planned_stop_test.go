package comfreysidecar_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"comfreyridge.example/comfreyridge/comfreyconfig"
	"comfreyridge.example/comfreyridge/comfreydemo"
	"comfreyridge.example/comfreyridge/comfreyrpc"
	"comfreyridge.example/comfreyridge/comfreysidecar"
)

// TestRequestReadInPlannedStopGetsRefusal sends requests in two parts, the second after a
// planned stop has found no open work. It guards against a connection that is closed under
// a request, which a gateway has to take for one that may have run.
func TestRequestReadInPlannedStopGetsRefusal(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	settings := comfreydemo.EmbeddedSettings()
	s := comfreysidecar.New(t.Context(), comfreysidecar.Config{
		Host: host, Service: comfreydemo.GenerationService, Key: comfreyrpc.Key(fleetKey), Listener: l, Upstream: "http://127.0.0.1:1",
		Settings: func() comfreyconfig.Settings { return settings }, Recorder: newRecorder(), DrainDelay: -1,
	})
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx, t.Context()) }()
	parts := map[string]func(header int) int{
		"a part of the header": func(int) int { return 30 },
		"a part of the body":   func(header int) int { return header + 10 },
	}
	rest := map[string]func() (*http.Response, error){}
	for name, sent := range parts {
		body, err := proto.Marshal(startRequest(name, 5))
		if err != nil {
			t.Fatal(err)
		}
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+l.Addr().String()+comfreyrpc.PathStart, bytes.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		comfreyrpc.Key(fleetKey).Sign(r, body, time.Now())
		var b bytes.Buffer
		if err := r.Write(&b); err != nil {
			t.Fatal(err)
		}
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(time.Now().Add(10 * time.Second))
		n := sent(b.Len() - len(body))
		if _, err := c.Write(b.Next(n)); err != nil {
			t.Fatal(err)
		}
		rest[name] = func() (*http.Response, error) {
			_, _ = c.Write(b.Bytes())
			return http.ReadResponse(bufio.NewReader(c), nil)
		}
	}
	time.Sleep(100 * time.Millisecond)
	stop()
	time.Sleep(300 * time.Millisecond)
	for name, finish := range rest {
		a, err := finish()
		if err != nil {
			t.Errorf("connection with %s: expected a response, got %v", name, err)
			continue
		}
		text, err := io.ReadAll(a.Body)
		if err != nil || !bytes.Contains(text, []byte("leaving")) || !a.Close {
			t.Errorf("connection with %s: expected a whole refusal as the last response, got %d, %q, %v, %v", name, a.StatusCode, text, err, a.Close)
		}
	}
	if err := <-ended; err != nil {
		t.Errorf("expected a planned stop, got %v", err)
	}
}
