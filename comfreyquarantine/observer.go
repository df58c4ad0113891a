package comfreyquarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// lossRetention is how long a request whose connection has broken can become a
	// suspect. It exceeds the time after which the registration of an upstream that
	// crashed lapses.
	lossRetention = 10 * time.Second
	// crashRetention is how long an upstream counts as crashed, so that connections
	// which break later belong to the same crash.
	crashRetention = time.Minute
	// runRetention is how long a feature counts as an unlikely cause after a request
	// with it has run.
	runRetention = 2 * time.Second
	// provenAfter is how long a request has to produce output until it counts as one
	// that does not crash its upstream by beginning to run.
	provenAfter = 500 * time.Millisecond
	// maxRuns bounds the features that are kept of the runs of one runRetention.
	maxRuns = 1 << 13
)

// Upstream identifies one start of an upstream.
type Upstream struct {
	ID          string
	Incarnation uint64
}

// Observer decides which requests were in flight when an upstream crashed, for a
// gateway that sees the upstreams only from outside. A broken connection alone is
// no crash: it needs evidence that the upstream has ended. An Observer is not
// safe for concurrent use.
//
// It is built for this load: a replica crashes with dozens of requests of several
// gateways, one of which is the cause and is sent again at once, through other
// gateways.
type Observer struct {
	retention time.Duration
	inFlight  map[ExecutionID]observation
	losses    map[Upstream][]loss
	crashedAt map[Upstream]time.Time
	last      ExecutionID
	// runs holds when requests with a feature have run, since runsSince; earlierRuns
	// holds those of the runRetention before.
	runs, earlierRuns map[Fingerprint]time.Time
	runsSince         time.Time
}

// observation is a request in flight at an upstream.
type observation struct {
	upstream Upstream
	// features are those of the request; the first is that of the whole request.
	features []Fingerprint
	// outputAt is when its first output arrived; zero before. It is proven if output
	// arrived for provenAfter.
	outputAt time.Time
	isProven bool
}

// loss is a request whose connection broke before its response was complete.
type loss struct {
	observation
	at time.Time
}

// suspects returns the features of a lost request. Those of a proven one are unlikely
// causes. If it began long before, only the first is returned: that its other features
// ran then tells nothing of requests that begin now.
func (l loss) suspects() []Suspect {
	f := l.features
	if l.isProven && l.at.Sub(l.outputAt) >= runRetention {
		f = f[:1]
	}
	var s []Suspect
	for _, f := range f {
		s = append(s, Suspect{Fingerprint: f, HasRun: l.isProven})
	}
	return s
}

// NewObserver returns an observer whose records are kept for a time; zero selects
// one hour.
func NewObserver(retention time.Duration) *Observer {
	if retention <= 0 {
		retention = defaultRetention
	}
	return &Observer{retention: retention, inFlight: map[ExecutionID]observation{}, losses: map[Upstream][]loss{}, crashedAt: map[Upstream]time.Time{}, runs: map[Fingerprint]time.Time{}}
}

// Start records that a request with some features is sent to an upstream.
func (o *Observer) Start(u Upstream, features []Fingerprint) ExecutionID {
	o.last++
	o.inFlight[o.last] = observation{upstream: u, features: features}
	return o.last
}

// RecordOutput records that output of a request has arrived. It reports true once the
// request is proven, and when its first output arrived.
func (o *Observer) RecordOutput(now time.Time, id ExecutionID) (first time.Time, isProven bool) {
	x, ok := o.inFlight[id]
	if !ok || x.isProven {
		return time.Time{}, false
	}
	if x.outputAt.IsZero() {
		x.outputAt = now
	}
	x.isProven = now.Sub(x.outputAt) >= provenAfter
	o.inFlight[id] = x
	return x.outputAt, x.isProven
}

// Finish records that a request is no longer in flight: its response is complete,
// or this gateway has ended it.
func (o *Observer) Finish(id ExecutionID) {
	delete(o.inFlight, id)
}

// Lose records that the connection of a request broke before its response was
// complete. If the upstream is known to have crashed, it returns the record of
// the request.
func (o *Observer) Lose(now time.Time, id ExecutionID) (CrashRecord, bool) {
	x, ok := o.inFlight[id]
	if !ok {
		return CrashRecord{}, false
	}
	delete(o.inFlight, id)
	o.losses[x.upstream] = append(o.losses[x.upstream], loss{x, now})
	if _, ok := o.crashedAt[x.upstream]; ok {
		return o.record(now, x.upstream)
	}
	return CrashRecord{}, false
}

// Upstream returns the upstream of a request in flight.
func (o *Observer) Upstream(id ExecutionID) (Upstream, bool) {
	x, ok := o.inFlight[id]
	return x.upstream, ok
}

// Unproven returns the features of the requests in flight that are not proven.
func (o *Observer) Unproven() map[ExecutionID][]Fingerprint {
	l := map[ExecutionID][]Fingerprint{}
	for id, x := range o.inFlight {
		if !x.isProven {
			l[id] = x.features
		}
	}
	return l
}

// FirstOutput returns when the first output of a request arrived. It reports false if
// none has.
func (o *Observer) FirstOutput(id ExecutionID) (time.Time, bool) {
	x := o.inFlight[id]
	return x.outputAt, !x.outputAt.IsZero()
}

// IsInFlight reports whether a request with a feature is in flight at any upstream,
// and not proven.
func (o *Observer) IsInFlight(f Fingerprint) bool {
	for _, x := range o.inFlight {
		if !x.isProven && slices.Contains(x.features, f) {
			return true
		}
	}
	return false
}

// HasInFlight reports whether any request is in flight at an upstream.
func (o *Observer) HasInFlight(u Upstream) bool {
	for _, x := range o.inFlight {
		if x.upstream == u {
			return true
		}
	}
	return false
}

// HasLosses reports whether requests were lost at an upstream that is not known to
// have crashed.
func (o *Observer) HasLosses(u Upstream) bool {
	return len(o.losses[u]) > 0
}

// RecordRun records that a request with some features has run without a crash.
func (o *Observer) RecordRun(now time.Time, features []Fingerprint) {
	if now.Sub(o.runsSince) >= runRetention {
		o.runs, o.earlierRuns, o.runsSince = map[Fingerprint]time.Time{}, o.runs, now
	}
	for _, f := range features {
		if len(o.runs) < maxRuns {
			o.runs[f] = now
		}
	}
}

// hasRunBefore reports whether a request with a feature has run shortly before a
// crash.
func (o *Observer) hasRunBefore(crash time.Time, f Fingerprint) bool {
	at, ok := o.runs[f]
	if !ok {
		at, ok = o.earlierRuns[f]
	}
	return ok && crash.Sub(at) < runRetention
}

// WithRuns returns crash records in which the suspects are marked that have run here
// shortly before the crash.
func (o *Observer) WithRuns(l []CrashRecord) []CrashRecord {
	l = slices.Clone(l)
	for i, r := range l {
		s := slices.Clone(r.Suspects)
		for j := range s {
			s[j].HasRun = s[j].HasRun || o.hasRunBefore(r.at(o.retention), s[j].Fingerprint)
		}
		l[i].Suspects = s
	}
	return l
}

// Crash records that an upstream has ended without notice. It returns the record
// of the requests that were lost there, and false if there were none so far.
func (o *Observer) Crash(now time.Time, u Upstream) (CrashRecord, bool) {
	o.crashedAt[u] = now
	return o.record(now, u)
}

// Restart records that an upstream has started anew. It returns the records of the
// requests that were lost at earlier starts.
func (o *Observer) Restart(now time.Time, u Upstream) []CrashRecord {
	var l []CrashRecord
	for earlier := range o.losses {
		if earlier.ID != u.ID || earlier.Incarnation >= u.Incarnation {
			continue
		}
		if r, ok := o.Crash(now, earlier); ok {
			l = append(l, r)
		}
	}
	return l
}

// record returns the record of the requests that were lost at an upstream that has
// crashed.
func (o *Observer) record(now time.Time, u Upstream) (CrashRecord, bool) {
	var s []Suspect
	for _, l := range o.losses[u] {
		if now.Sub(l.at) < lossRetention {
			for _, p := range l.suspects() {
				p.HasRun = p.HasRun || o.hasRunBefore(now, p.Fingerprint)
				s = append(s, p)
			}
		}
	}
	delete(o.losses, u)
	if len(s) == 0 {
		return CrashRecord{}, false
	}
	s = mergeSuspects(s)
	if len(s) > defaultMaxSuspects {
		// Prompts may have many parts, and others ignore a larger record.
		slices.SortStableFunc(s, func(a, b Suspect) int { return compareBool(a.HasRun, b.HasRun) })
		s = mergeSuspects(s[:defaultMaxSuspects])
	}
	return CrashRecord{Crash: CrashID{Host: u.ID, Incarnation: u.Incarnation, Number: 1}, Expiry: now.Add(o.retention), Suspects: s}, true
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// Expire removes losses and crashes that are too old to matter.
func (o *Observer) Expire(now time.Time) {
	maps.DeleteFunc(o.crashedAt, func(_ Upstream, at time.Time) bool { return now.Sub(at) > crashRetention })
	maps.DeleteFunc(o.losses, func(_ Upstream, l []loss) bool { return now.Sub(l[len(l)-1].at) > lossRetention })
}
