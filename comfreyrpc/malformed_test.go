package comfreyrpc_test

import (
	"net/http"
	"testing"

	"comfreyridge.example/comfreyridge/comfreyfakeserver"
	"comfreyridge.example/comfreyridge/comfreyproto"
	"comfreyridge.example/comfreyridge/comfreyrpc"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// TestMalformedResponseMayHaveRun guards against a request that is called not run because of
// the status of a response that violates HTTP/1.1, and against a reply that is taken from one.
func TestMalformedResponseMayHaveRun(t *testing.T) {
	for _, response := range []string{
		"HTTP/1.1 503 Service Unavailable\r\nX A: b\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length : 0\r\n\r\n",
	} {
		address, err := comfreyfakeserver.Raw{Respond: func(*http.Request) string { return response }, End: comfreyfakeserver.ReadToEnd}.Listen(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		c := comfreyrpc.NewClient(comfreyrpc.Key("malformed-test-key"), nil)
		_, err = c.Start(t.Context(), address, &comfreyproto.StartRequest{RequestId: "r"})
		if v := comfreyverdict.From(err); err == nil || v.Verdict != comfreyverdict.VerdictMayHaveRun || v.Reason != comfreyverdict.ReasonMalformedAnswer {
			t.Errorf("%q: got %v, want a request that may have run", response, err)
		}
		if r, err := c.Sidecar(address).Report(t.Context(), &comfreyproto.ReportRequest{}); err == nil {
			t.Errorf("%q: got the report %v, want an error", response, r)
		}
		c.Close()
	}
}
