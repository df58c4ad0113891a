package comfreyplatform_test

import (
	"net/http"
	"testing"

	"comfreyridge.example/comfreyridge/comfreyfakeserver"
	"comfreyridge.example/comfreyridge/comfreyplatform"
)

// TestMalformedListingIsNotTaken guards against a host list that is taken from a response
// which violates HTTP/1.1.
func TestMalformedListingIsNotTaken(t *testing.T) {
	for _, response := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n[] and more",
		"HTTP/1.1 304 Not Modified\r\nX A: b\r\n\r\n",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n[]\r\n0\r\n\r\n",
	} {
		address, err := comfreyfakeserver.Raw{Respond: func(*http.Request) string { return response }, End: comfreyfakeserver.ReadToEnd}.Listen(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		c := comfreyplatform.New(comfreyplatform.Config{URL: "http://" + address})
		if r := c.Hosts(t.Context(), 0); !r.Failed {
			t.Errorf("%q: got %+v, want a failure", response, r)
		}
	}
}
