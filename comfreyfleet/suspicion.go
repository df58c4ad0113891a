package comfreyfleet

import "time"

// Evidence is an observation that suggests that a host has failed. A failed
// connection does not mean a failed upstream, so evidence about one connection
// never makes the upstream suspected.
type Evidence int

// The kinds of evidence.
const (
	// EvidenceConnectionSilent means that an established connection failed or
	// exceeded its idle timeout. The code that reports it closes the connection
	// and dials a new one.
	EvidenceConnectionSilent Evidence = iota
	// EvidenceDialFailed means that a new connection could not be opened.
	EvidenceDialFailed
	// EvidenceProbeSilent means that a new connection was opened, but no
	// response arrived on it before the timeout.
	EvidenceProbeSilent
)

// String returns the kebab-case name of e. An out-of-range value is reported
// as "connection-silent", the weakest evidence.
func (e Evidence) String() string {
	switch e {
	case EvidenceDialFailed:
		return "dial-failed"
	case EvidenceProbeSilent:
		return "probe-silent"
	default:
		return "connection-silent"
	}
}

// Suspicion is the degree to which a process suspects that a host has failed.
// The zero value is SuspicionNone.
type Suspicion int

// The degrees of suspicion.
const (
	// SuspicionNone means that there is no evidence against the host.
	SuspicionNone Suspicion = iota
	// SuspicionConnection means that a connection failed; a probe on a new
	// connection has to show whether the upstream is alive. Routing does not
	// change, and the probe is due at once.
	SuspicionConnection
	// SuspicionUpstream means that new connections fail too. The host receives
	// no new work while there are hosts that are not suspected.
	SuspicionUpstream
)

// String returns the kebab-case name of s. An out-of-range value is reported
// as "none".
func (s Suspicion) String() string {
	switch s {
	case SuspicionConnection:
		return "connection"
	case SuspicionUpstream:
		return "upstream"
	default:
		return "none"
	}
}

// suspicionState is the suspicion of one host and the schedule of its probes.
type suspicionState struct {
	degree  Suspicion
	backoff time.Duration
	retryAt time.Time
}

// add returns the state after another piece of evidence. The back-off to the next
// probe doubles with each piece of evidence from a new connection.
func (s suspicionState) add(now time.Time, e Evidence, first, limit time.Duration) suspicionState {
	if e == EvidenceConnectionSilent {
		s.degree = max(s.degree, SuspicionConnection)
		return s
	}
	s.degree = SuspicionUpstream
	s.backoff = min(max(2*s.backoff, first), limit)
	s.retryAt = now.Add(s.backoff)
	return s
}
