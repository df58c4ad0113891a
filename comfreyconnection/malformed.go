package comfreyconnection

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// ErrMalformedResponse means that a response violates HTTP/1.1 (RFC 9112). Nothing that it
// says counts, not even that the request has not run.
var ErrMalformedResponse = errors.New("comfreyconnection: malformed response")

const (
	minStatus      = 100
	minFinalStatus = 200
	maxStatus      = 599
)

// checkHead returns an ErrMalformedResponse for the head of a response that net/http accepts
// although it violates HTTP/1.1.
func checkHead(h *http.Response) error {
	if h.ProtoMajor != 1 {
		return malformed("expected version HTTP/1.1 or HTTP/1.0, got %q", h.Proto)
	}
	return checkFields(h)
}

// checkFields is the part of checkHead that holds for any version of HTTP.
func checkFields(h *http.Response) error {
	switch {
	case h.StatusCode < minStatus || h.StatusCode > maxStatus:
		return malformed("expected a status from %d to %d, got %q", minStatus, maxStatus, h.Status)
	case !httpguts.ValidHeaderFieldValue(h.Status):
		return malformed("expected a status line without control bytes, got %q", h.Status)
	case h.StatusCode == http.StatusSwitchingProtocols:
		return malformed("expected a response in HTTP, got status %q", h.Status)
	}
	return checkFieldNames(h.Header)
}

// checkFieldNames returns an ErrMalformedResponse for fields of a head or a trailer. net/http
// accepts names that hold a blank, and ignores what they say of the length.
func checkFieldNames(fields http.Header) error {
	for name := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			return malformed("expected a token as the name of a field, got %q", name)
		}
	}
	return nil
}

// checkEnd returns the error of a read of a body, which is an ErrMalformedResponse at the
// end of one whose trailer violates HTTP/1.1.
func checkEnd(err error, h *http.Response) error {
	if !errors.Is(err, io.EOF) {
		return err
	}
	if e := checkFieldNames(h.Trailer); e != nil {
		return e
	}
	return err
}

func malformed(format string, values ...any) error {
	return fmt.Errorf("%w: "+format, append([]any{ErrMalformedResponse}, values...)...)
}
