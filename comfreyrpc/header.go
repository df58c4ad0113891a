package comfreyrpc

import (
	"net/http"
	"net/textproto"

	"comfreyridge.example/comfreyridge/comfreyproto"
)

// hopHeaders are the headers that belong to one connection, with those that
// carry the caller's secret. They are not passed on.
var hopHeaders = map[string]bool{
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

// IsHopByHopHeader reports whether a header is not passed on.
func IsHopByHopHeader(name string) bool {
	return hopHeaders[textproto.CanonicalMIMEHeaderKey(name)]
}

// HeadersOf converts the headers that are passed on for the wire.
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
