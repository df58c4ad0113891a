package comfreyengine_test

import (
	"errors"
	"net/http"
	"testing"

	"comfreyridge.example/comfreyridge/comfreyengine"
	"comfreyridge.example/comfreyridge/comfreyfakeserver"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// TestMalformedRefusalIsNotBelieved guards against a refusal that says that a request has not
// run, or a state, in a response that violates HTTP/1.1.
func TestMalformedRefusalIsNotBelieved(t *testing.T) {
	for _, response := range []string{
		"HTTP/1.1 503 Service Unavailable\r\nRetry-After : 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 404 Not Found\r\nX A: b\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
	} {
		address, err := comfreyfakeserver.Raw{Respond: func(*http.Request) string { return response }, End: comfreyfakeserver.ReadToEnd}.Listen(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		c := comfreyengine.New(comfreyengine.Config{BaseURL: "http://" + address})
		_, err = c.Start(t.Context(), comfreyengine.Request{ID: "r", Path: "/v1/completions", Body: []byte(`{"prompt":"a"}`)})
		var v comfreyverdict.Error
		if !errors.As(err, &v) || v.Verdict != comfreyverdict.VerdictMayHaveRun {
			t.Errorf("%q: got %v, want a request that may have run", response, err)
		}
		if s, err := c.State(t.Context()); err == nil {
			t.Errorf("%q: got %+v, want an error", response, s)
		}
		c.Close()
	}
}
