package comfreyconnection

import (
	"errors"
	"fmt"
	"net/http"
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
	switch {
	case h.StatusCode < minStatus || h.StatusCode > maxStatus:
		return malformed("expected a status from %d to %d, got %q", minStatus, maxStatus, h.Status)
	case h.StatusCode == http.StatusSwitchingProtocols:
		return malformed("expected a response in HTTP, got status %q", h.Status)
	}
	return nil
}

func malformed(format string, values ...any) error {
	return fmt.Errorf("%w: "+format, append([]any{ErrMalformedResponse}, values...)...)
}
