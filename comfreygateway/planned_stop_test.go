package comfreygateway_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"comfreyridge.example/comfreyridge/comfreyconfig"
	"comfreyridge.example/comfreyridge/comfreydecision"
	"comfreyridge.example/comfreyridge/comfreydemo"
	"comfreyridge.example/comfreyridge/comfreygateway"
	"comfreyridge.example/comfreyridge/comfreyrpc"
)

// TestRequestReadInPlannedStopGetsResponse completes requests during the drain of a gateway,
// on connections that had none when it began. It
// guards against a server that reads a request and closes its connection without a response.
func TestRequestReadInPlannedStopGetsResponse(t *testing.T) {
	const (
		request = "GET /v1/models HTTP/1.1\r\nHost: api.example\r\n\r\n"
		sent    = 20
	)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	settings := comfreydemo.EmbeddedSettings()
	g := comfreygateway.New(t.Context(), comfreygateway.Config{
		Host: "gateway", DataCentre: "north", Key: comfreyrpc.Key(fakeSidecarKey), Listener: l, DrainDelay: -1, DrainLimit: 8 * time.Second,
		Settings: func() comfreyconfig.Settings { return settings },
		Recorder: comfreydecision.New(comfreydecision.Config{Process: "gateway", Logger: logger}),
	})
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- g.Run(ctx, t.Context()) }()
	dial := func(begin string) (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		_ = c.SetDeadline(time.Now().Add(10 * time.Second))
		if _, err := io.WriteString(c, begin); err != nil {
			t.Fatal(err)
		}
		return c, bufio.NewReader(c)
	}
	unused, fromUnused := dial("")
	begun, fromBegun := dial(request[:sent])
	kept, fromKept := dial(request)
	a, err := http.ReadResponse(fromKept, nil)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, a.Body)
	if _, err := io.WriteString(kept, request[:sent]); err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond)
	stop()
	time.Sleep(600 * time.Millisecond)
	for name, c := range map[string]struct {
		net.Conn
		responses *bufio.Reader
		rest      string
	}{
		"without a request":             {unused, fromUnused, request},
		"with a part of a request":      {begun, fromBegun, request[sent:]},
		"with a part of a next request": {kept, fromKept, request[sent:]},
	} {
		if _, err := io.WriteString(c, c.rest); err != nil {
			t.Errorf("connection %s: %v", name, err)
		}
		a, err := http.ReadResponse(c.responses, nil)
		switch {
		case err != nil:
			t.Errorf("connection %s: expected a response, got %v", name, err)
		case a.StatusCode == 0 || !a.Close:
			t.Errorf("connection %s: got status %d, last of its connection %v, want true", name, a.StatusCode, a.Close)
		}
	}
	if err := <-ended; err != nil {
		t.Errorf("expected a planned stop, got %v", err)
	}
}
