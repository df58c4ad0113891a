package comfreygateway

import (
	"strconv"
	"strings"

	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// HeaderRetryToken names a refusal whose Retry-After the caller follows. The
// upstream that refused keeps a place for its return.
const HeaderRetryToken = "Comfrey-Retry-Token"

// retryToken names one refused attempt and the host that refused it.
type retryToken struct {
	host    string
	attempt string
}

// String returns the form that parseRetryToken reads.
func (t retryToken) String() string {
	return t.host + "/" + t.attempt
}

// parseRetryToken reads a token. One that is empty or malformed gives the zero
// value, which books nothing.
func parseRetryToken(s string) retryToken {
	host, attempt, ok := strings.Cut(s, "/")
	if !ok || len(s) > maxRetryTokenBytes {
		return retryToken{}
	}
	return retryToken{host: host, attempt: attempt}
}

// maxRetryTokenBytes bounds a token from a caller.
const maxRetryTokenBytes = 512

// booking returns the refused attempt that this attempt follows, if it goes to
// the same host.
func (s *session) booking() string {
	if s.request.retry.host != s.member.Host {
		return ""
	}
	return s.request.retry.attempt
}

// offerRetry sets the header by which the caller may name this refusal later.
func (s *session) offerRetry(e comfreyverdict.Error) {
	if e.RetryAfter <= 0 || e.Reason != comfreyverdict.ReasonAdmissionFull {
		return
	}
	t := retryToken{host: s.member.Host, attempt: s.request.id + "#" + strconv.FormatUint(uint64(s.attempt), 10)}
	s.header.Set(HeaderRetryToken, t.String())
}
