package comfreyquarantine

import (
	"cmp"
	"slices"
	"time"
)

// CrashID identifies one crash of one upstream.
type CrashID struct {
	// Host is the host of the upstream.
	Host string
	// Incarnation is the incarnation of its sidecar.
	Incarnation uint64
	// Number counts the crashes that the incarnation has recorded, from 1.
	Number uint64
}

func (c CrashID) compare(d CrashID) int {
	return cmp.Or(cmp.Compare(c.Host, d.Host), cmp.Compare(c.Incarnation, d.Incarnation), cmp.Compare(c.Number, d.Number))
}

// Suspect is a request that was in flight when an upstream crashed.
type Suspect struct {
	// Fingerprint identifies the request.
	Fingerprint Fingerprint
	// IsConfirmed means that the request was the only suspect in flight, which
	// confirms it as the cause of the crash.
	IsConfirmed bool
	// IsCleared means that the request has completed at another upstream since.
	IsCleared bool
	// HasRun means that the request had completed at an upstream shortly before the
	// crash, so that it is an unlikely cause.
	HasRun bool
}

// CrashRecord lists the requests that were in flight in one crash. Copies of a
// record are merged suspect by suspect, in any order and any number of times. A
// CrashRecord is an immutable value: Suspects is never modified in place.
type CrashRecord struct {
	// Crash identifies the crash.
	Crash CrashID
	// Expiry is when the record expires.
	Expiry time.Time
	// Suspects are the distinct requests, sorted by fingerprint.
	Suspects []Suspect
	// IsSilent means that no connection broke, so that the crash was recorded some time
	// after it happened.
	IsSilent bool
}

// Weight returns the weight of the suspicion against each request of the
// record: 1 for a request that was alone, 1/n for n requests, and 0 for no
// requests.
func (r CrashRecord) Weight() float64 {
	if len(r.Suspects) == 0 {
		return 0
	}
	return 1 / float64(len(r.Suspects))
}

// at returns when the crash was recorded, by processes that keep records for the
// retention.
func (r CrashRecord) at(retention time.Duration) time.Time {
	return r.Expiry.Add(-retention)
}

// possibleCauses returns the suspects that may have caused the crash: those that
// were not cleared, and of these the ones that had not run shortly before, if there
// are any.
func (r CrashRecord) possibleCauses() []Suspect {
	var l, hasRun []Suspect
	for _, s := range r.Suspects {
		switch {
		case s.IsCleared:
		case s.HasRun:
			hasRun = append(hasRun, s)
		default:
			l = append(l, s)
		}
	}
	if len(l) == 0 {
		return hasRun
	}
	return l
}

// isPossibleCause reports whether f is one of the possible causes.
func (r CrashRecord) isPossibleCause(f Fingerprint) bool {
	i, ok := r.find(f)
	if !ok || r.Suspects[i].IsCleared {
		return false
	}
	return !r.Suspects[i].HasRun || !slices.ContainsFunc(r.Suspects, func(s Suspect) bool { return !s.IsCleared && !s.HasRun })
}

func (r CrashRecord) find(f Fingerprint) (int, bool) {
	return slices.BinarySearchFunc(r.Suspects, f, func(s Suspect, f Fingerprint) int {
		return slices.Compare(s.Fingerprint[:], f[:])
	})
}

// merge returns the union of two copies of a record, with the later expiry.
func (r CrashRecord) merge(q CrashRecord) CrashRecord {
	s := append(slices.Clone(r.Suspects), q.Suspects...)
	r.Suspects = mergeSuspects(s)
	r.IsSilent = r.IsSilent && q.IsSilent
	if q.Expiry.After(r.Expiry) {
		r.Expiry = q.Expiry
	}
	return r
}

// mergeSuspects sorts suspects in place and merges those with the same
// fingerprint.
func mergeSuspects(s []Suspect) []Suspect {
	slices.SortFunc(s, func(a, b Suspect) int {
		return slices.Compare(a.Fingerprint[:], b.Fingerprint[:])
	})
	u := s[:0]
	for _, p := range s {
		if n := len(u); n > 0 && u[n-1].Fingerprint == p.Fingerprint {
			u[n-1].IsConfirmed = u[n-1].IsConfirmed || p.IsConfirmed
			u[n-1].IsCleared = u[n-1].IsCleared || p.IsCleared
			u[n-1].HasRun = u[n-1].HasRun || p.HasRun
			continue
		}
		u = append(u, p)
	}
	return u
}

// withCleared returns a copy of r in which f is cleared.
func (r CrashRecord) withCleared(f Fingerprint) CrashRecord {
	i, ok := r.find(f)
	if !ok {
		return r
	}
	r.Suspects = slices.Clone(r.Suspects)
	r.Suspects[i].IsCleared = true
	return r
}

// isSettled reports whether all suspects of the record are cleared.
func (r CrashRecord) isSettled() bool {
	return !slices.ContainsFunc(r.Suspects, func(s Suspect) bool { return !s.IsCleared })
}

// confirmations returns how many requests the record confirms as the cause.
func (r CrashRecord) confirmations() int {
	n := 0
	for _, s := range r.Suspects {
		if s.IsConfirmed {
			n++
		}
	}
	return n
}
