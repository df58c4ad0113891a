package comfreyconnection

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"strings"

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
// although it violates HTTP/1.1. raw is what was received from the start of the head on, and
// may begin with informational responses.
func checkHead(h *http.Response, raw []byte) error {
	if h.ProtoMajor != 1 {
		return malformed("expected version HTTP/1.1 or HTTP/1.0, got %q", h.Proto)
	}
	if err := checkFields(h); err != nil {
		return err
	}
	if h.ProtoMinor == 0 && h.StatusCode >= minFinalStatus {
		return checkUnchunked(raw)
	}
	return nil
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

// checkUnchunked returns an ErrMalformedResponse if the first head of raw that is not
// informational has a Transfer-Encoding. In HTTP/1.0 net/http drops that field, and takes
// the chunks for the body.
func checkUnchunked(raw []byte) error {
	r := textproto.NewReader(bufio.NewReader(bytes.NewReader(raw)))
	for {
		line, err := r.ReadLine()
		if err != nil {
			return malformed("expected the head of a response in HTTP/1.0, got %w", err)
		}
		fields, err := r.ReadMIMEHeader()
		switch {
		case err != nil:
			return malformed("expected the head of a response in HTTP/1.0, got %w", err)
		case isInformational(line):
		case len(fields["Transfer-Encoding"]) > 0:
			return malformed("expected no Transfer-Encoding in HTTP/1.0, got %q", fields["Transfer-Encoding"])
		default:
			return nil
		}
	}
}

// isInformational reports whether a status line is that of an informational response.
func isInformational(line string) bool {
	_, status, _ := strings.Cut(line, " ")
	return strings.HasPrefix(strings.TrimLeft(status, " "), "1")
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
