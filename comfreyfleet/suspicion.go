package comfreyfleet

import "time"

// Evidence is an observation that speaks against a host. A dead connection is
// not a dead upstream, so evidence about one connection never suspects the
// upstream.
type Evidence int

// The kinds of evidence.
const (
	// EvidenceConnectionSilent means that an established connection failed or
	// passed its idle limit. The caller closes it and dials a new one.
	EvidenceConnectionSilent Evidence = iota
	// EvidenceDialFailed means that a new connection was not made.
	EvidenceDialFailed
	// EvidenceProbeSilent means that a new connection was made and nothing
	// came back on it in time.
	EvidenceProbeSilent
)

// String returns the kebab-case name of e. An out-of-range value is reported
// as "connection-silent", which claims least.
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

// Suspicion is what a process holds against a host. The zero value is
// SuspicionNone.
type Suspicion int

// The degrees of suspicion.
const (
	// SuspicionNone means that nothing speaks against the host.
	SuspicionNone Suspicion = iota
	// SuspicionConnection means that a connection failed; a new connection
	// has to show whether the upstream lives. Routing is not changed, and a
	// trial is due at once.
	SuspicionConnection
	// SuspicionUpstream means that new connections fail too. The host gets
	// no new work while others are free of suspicion.
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

// doubt is the suspicion held against one host.
type doubt struct {
	degree  Suspicion
	backoff time.Duration
	retryAt time.Time
}

// add returns the doubt after one more piece of evidence. The back-off to the
// next trial doubles with each piece of evidence from a new connection.
func (d doubt) add(now time.Time, e Evidence, first, limit time.Duration) doubt {
	if e == EvidenceConnectionSilent {
		d.degree = max(d.degree, SuspicionConnection)
		return d
	}
	d.degree = SuspicionUpstream
	d.backoff = min(max(2*d.backoff, first), limit)
	d.retryAt = now.Add(d.backoff)
	return d
}
