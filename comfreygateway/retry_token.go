package comfreygateway

import (
	"strconv"
	"strings"

	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// HeaderRetryToken is the header that identifies a refused attempt: a refusal
// sets it, and a caller that retries after Retry-After sends it back. The
// sidecar that refused keeps the place of the request in its queue until then.
const HeaderRetryToken = "Comfrey-Retry-Token"

// retryToken identifies a refused attempt and the host that refused it.
type retryToken struct {
	host    string
	attempt string
}

// String returns the text form, which parseRetryToken parses.
func (t retryToken) String() string {
	return t.host + "/" + t.attempt
}

// parseRetryToken parses the text form of a token. It returns the zero value,
// which refers to no attempt, for an empty or malformed token.
func parseRetryToken(s string) retryToken {
	host, attempt, ok := strings.Cut(s, "/")
	if !ok || len(s) > maxRetryTokenBytes {
		return retryToken{}
	}
	return retryToken{host: host, attempt: attempt}
}

// maxRetryTokenBytes bounds the length of a token that a caller sends.
const maxRetryTokenBytes = 512

// retriedAttempt returns the refused attempt that the current attempt retries,
// if it goes to the host that refused it, or else an empty string.
func (s *session) retriedAttempt() string {
	if s.request.retryToken.host != s.member.Host {
		return ""
	}
	return s.request.retryToken.attempt
}

// setRetryToken sets the header that lets the caller refer to this refusal in a
// retry.
func (s *session) setRetryToken(e comfreyverdict.Error) {
	if e.RetryAfter <= 0 || e.Reason != comfreyverdict.ReasonAdmissionFull {
		return
	}
	t := retryToken{host: s.member.Host, attempt: s.request.id + "#" + strconv.FormatUint(uint64(s.attempt), 10)}
	s.responseHeader.Set(HeaderRetryToken, t.String())
}
