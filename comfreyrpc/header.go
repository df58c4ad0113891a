package comfreyrpc

import (
	"net/http"
	"net/textproto"

	"comfreyridge.example/comfreyridge/comfreyproto"
)

// hopByHopHeaders are the hop-by-hop headers, with those that are set anew for each
// connection and those that carry the caller's credentials. They are not
// forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Authorization":       true,
	"Content-Length":      true,
	"Host":                true,
}

// IsHopByHopHeader reports whether a header must not be forwarded.
func IsHopByHopHeader(name string) bool {
	return hopByHopHeaders[textproto.CanonicalMIMEHeaderKey(name)]
}

// HeadersOf converts headers to the wire format. Hop-by-hop headers are omitted.
func HeadersOf(h http.Header) []*comfreyproto.Header {
	var s []*comfreyproto.Header
	for name, values := range h {
		if IsHopByHopHeader(name) {
			continue
		}
		for _, v := range values {
			s = append(s, &comfreyproto.Header{Name: name, Value: v})
		}
	}
	return s
}
