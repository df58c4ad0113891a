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
	// silentLossRetention is the same for a request at an upstream that was silent. The
	// crash of one is known only when its registration lapses, or when it starts again.
	silentLossRetention = 20 * time.Second
	// maxSilentLosses bounds these requests of one upstream.
	maxSilentLosses = 64
	// silentEndPeriod is how long an upstream that was removed without notice has to be
	// silent, with requests in flight, until it counts as crashed. Others go on for a time.
	silentEndPeriod = 2 * time.Second
	// outputDelay is how long output of an upstream that has crashed may be on its way.
	outputDelay = 500 * time.Millisecond
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
// gateways. Some hosts stop responding as they crash: no connection breaks, and their requests end
// by their timeouts, or because their callers leave.
type Observer struct {
	retention time.Duration
	inFlight  map[ExecutionID]observation
	losses    map[Upstream][]loss
	crashedAt map[Upstream]time.Time
	last      ExecutionID
	// removedAt holds when upstreams with requests in flight were removed without
	// notice, leaving those that have announced their end, and starts the latest start
	// of each upstream that has started again.
	removedAt, leaving map[Upstream]time.Time
	starts             map[string]start
	// ranSince holds the features of silent losses, and whether a request with them has
	// run since, or shortly before.
	ranSince map[Fingerprint]bool
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

// start is a start of an upstream.
type start struct {
	incarnation uint64
	at          time.Time
}

// loss is a request whose connection broke before its response was complete, or that has
// ended without one.
type loss struct {
	observation
	at time.Time
	// isSilent means that no connection broke, and last is the latest request that was
	// sent by then.
	isSilent bool
	last     ExecutionID
}

// retention returns how long the request can become a suspect.
func (l loss) retention() time.Duration {
	if l.isSilent {
		return silentLossRetention
	}
	return lossRetention
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
	return &Observer{
		retention: retention, inFlight: map[ExecutionID]observation{}, losses: map[Upstream][]loss{}, crashedAt: map[Upstream]time.Time{}, runs: map[Fingerprint]time.Time{},
		removedAt: map[Upstream]time.Time{}, leaving: map[Upstream]time.Time{}, starts: map[string]start{}, ranSince: map[Fingerprint]bool{},
	}
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
	if !ok {
		return time.Time{}, false
	}
	o.observeAlive(now, id, x.upstream)
	if x.isProven {
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
	o.losses[x.upstream] = append(o.losses[x.upstream], loss{observation: x, at: now, last: o.last})
	return o.recordLoss(now, x.upstream)
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
	for _, f := range features {
		if _, ok := o.ranSince[f]; ok {
			o.ranSince[f] = true
		}
	}
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
	delete(o.removedAt, u)
	return o.record(now, u)
}

// crashSilently is Crash for an upstream whose requests in flight are lost too, although
// their connections have not broken.
func (o *Observer) crashSilently(now time.Time, u Upstream) (CrashRecord, bool) {
	for _, x := range o.inFlight {
		if x.upstream == u && x.outputAt.IsZero() {
			o.losses[u] = append(o.losses[u], loss{observation: x, at: now, isSilent: true, last: o.last})
		}
	}
	return o.Crash(now, u)
}

// Restart records that an upstream has started anew. It returns the records of the
// requests that were lost, or are in flight, at earlier starts.
func (o *Observer) Restart(now time.Time, u Upstream) []CrashRecord {
	o.starts[u.ID] = start{u.Incarnation, now}
	earlier := map[Upstream]bool{}
	for l := range o.losses {
		earlier[l] = true
	}
	for _, x := range o.inFlight {
		earlier[x.upstream] = true
	}
	var l []CrashRecord
	for e := range earlier {
		if e.ID != u.ID || e.Incarnation >= u.Incarnation {
			continue
		}
		if r, ok := o.crashSilently(now, e); ok {
			l = append(l, r)
		}
	}
	return l
}

// record returns the record of the requests that were lost at an upstream that has
// crashed.
func (o *Observer) record(now time.Time, u Upstream) (CrashRecord, bool) {
	var s []Suspect
	isSilent := true
	for _, l := range o.losses[u] {
		if now.Sub(l.at) < l.retention() {
			isSilent = isSilent && l.isSilent
			s = append(s, o.suspects(now, l)...)
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
	return CrashRecord{Crash: CrashID{Host: u.ID, Incarnation: u.Incarnation, Number: 1}, Expiry: now.Add(o.retention), Suspects: s, IsSilent: isSilent}, true
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

// suspects returns the features of a lost request that may have caused the crash of its
// upstream. A request at a silent one is no suspect by a feature that has run since.
func (o *Observer) suspects(now time.Time, l loss) []Suspect {
	var s []Suspect
	for _, p := range l.suspects() {
		p.HasRun = p.HasRun || o.hasRunBefore(now, p.Fingerprint)
		if !l.isSilent || !p.HasRun && !o.ranSince[p.Fingerprint] {
			s = append(s, p)
		}
	}
	return s
}

// Expire removes losses and crashes that are too old to matter.
func (o *Observer) Expire(now time.Time) {
	isOld := func(_ Upstream, at time.Time) bool { return now.Sub(at) > crashRetention }
	maps.DeleteFunc(o.crashedAt, isOld)
	maps.DeleteFunc(o.removedAt, isOld)
	maps.DeleteFunc(o.leaving, isOld)
	maps.DeleteFunc(o.starts, func(_ string, s start) bool { return now.Sub(s.at) > crashRetention })
	maps.DeleteFunc(o.losses, func(_ Upstream, l []loss) bool { return now.Sub(l[len(l)-1].at) > l[len(l)-1].retention() })
	o.forgetRuns()
}
