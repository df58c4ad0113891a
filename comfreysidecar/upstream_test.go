package comfreysidecar

import (
	"bytes"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyfakeserver"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// callRaw sends a request to a plain service that is served by a raw server.
func callRaw(t *testing.T, response string, end func(c *net.TCPConn), body []byte) (upstreamResponse, error) {
	t.Helper()
	address, err := comfreyfakeserver.Raw{Respond: func(*http.Request) string { return response }, End: end}.Listen(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return newUpstreamClient("http://"+address).do(t.Context(), upstreamCall{requestID: "r", method: http.MethodPost, path: "/orders", body: body})
}

// TestAnswerCutDuringUploadMayHaveRun guards against a part of an answer that is taken for
// the whole one because its connection is reset while the request is being written.
func TestAnswerCutDuringUploadMayHaveRun(t *testing.T) {
	body := bytes.Repeat([]byte("x"), 16<<20)
	for range 20 {
		a, err := callRaw(t, "HTTP/1.1 200 OK\r\n\r\npart", func(c *net.TCPConn) {
			time.Sleep(10 * time.Millisecond)
			comfreyfakeserver.Reset(c)
		}, body)
		if e := comfreyverdict.From(err); err == nil || e.Verdict != comfreyverdict.VerdictMayHaveRun || e.Reason != comfreyverdict.ReasonConnectionLost {
			t.Fatalf("got %d %q, %v, want a request that may have run", a.status, a.body, err)
		}
	}
	a, err := callRaw(t, "HTTP/1.1 200 OK\r\n\r\nwhole", comfreyfakeserver.ReadToEnd, body)
	if err != nil || string(a.body) != "whole" {
		t.Errorf("an early answer: got %d %q, %v", a.status, a.body, err)
	}
}

// TestMalformedAnswerMayHaveRun guards against answers that violate HTTP/1.1 and are passed
// on.
func TestMalformedAnswerMayHaveRun(t *testing.T) {
	for problem, response := range map[string]string{
		`"000 OK"`:          "HTTP/1.1 000 OK\r\nContent-Length: 4\r\n\r\nbody",
		`"099 OK"`:          "HTTP/1.1 099 OK\r\nContent-Length: 4\r\n\r\nbody",
		`"Content-Length "`: "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nbody and more",
		`"X A"`:             "HTTP/1.1 200 OK\r\nX A: b\r\nContent-Length: 4\r\n\r\nbody",
		`"X\x01`:            "HTTP/1.1 200 OK\r\nX\x01: b\r\nContent-Length: 4\r\n\r\nbody",
		`in HTTP/1.0`:       "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	} {
		a, err := callRaw(t, response, comfreyfakeserver.ReadToEnd, []byte("order"))
		if e := comfreyverdict.From(err); err == nil || e.Verdict != comfreyverdict.VerdictMayHaveRun || e.Reason != comfreyverdict.ReasonMalformedAnswer || !strings.Contains(e.Detail, problem) {
			t.Errorf("%s: got %d %q, %v, want a request that may have run", problem, a.status, a.body, err)
		}
	}
}
