package comfreyquarantine

import (
	"maps"
	"slices"
	"time"
)

// Abandon records that a request has ended without a response of its upstream, whose
// connection did not break: by its timeout, because its caller has left, or because this
// process has ended it. That alone tells nothing of the upstream. If the upstream is known
// to have crashed, it returns the record of the request.
func (o *Observer) Abandon(now time.Time, id ExecutionID) (CrashRecord, bool) {
	x, ok := o.inFlight[id]
	if !ok {
		return CrashRecord{}, false
	}
	delete(o.inFlight, id)
	return o.addSilentLoss(now, x)
}

// addSilentLoss adds a request that has ended without a response.
func (o *Observer) addSilentLoss(now time.Time, x observation) (CrashRecord, bool) {
	u := x.upstream
	if _, ok := o.leaving[u]; ok {
		return CrashRecord{}, false
	}
	l := o.losses[u]
	if len(l) >= maxSilentLosses {
		if i := slices.IndexFunc(l, func(l loss) bool { return l.isSilent }); i >= 0 {
			l = slices.Delete(l, i, i+1)
		}
	}
	for _, f := range x.features {
		if _, ok := o.ranSince[f]; !ok {
			o.ranSince[f] = o.hasRunBefore(now, f)
		}
	}
	o.losses[u] = append(l, loss{observation: x, at: now, isSilent: true, last: o.last})
	return o.recordLoss(now, u)
}

// recordLoss returns the record of the requests that were lost at an upstream if it is known
// to have crashed.
func (o *Observer) recordLoss(now time.Time, u Upstream) (CrashRecord, bool) {
	_, isRemoved := o.removedAt[u]
	if isRemoved && !o.HasInFlight(u) {
		return o.Crash(now, u)
	}
	if _, ok := o.crashedAt[u]; ok || o.starts[u.ID].incarnation > u.Incarnation {
		return o.record(now, u)
	}
	return CrashRecord{}, false
}

// Remove records that an upstream at which requests are in flight was removed without notice.
// It has crashed if these end without output; see SilentCrashes.
func (o *Observer) Remove(now time.Time, u Upstream) {
	o.removedAt[u] = now
}

// SilentCrashes returns the records of the upstreams that were removed and have been silent
// since, with requests in flight.
func (o *Observer) SilentCrashes(now time.Time) []CrashRecord {
	var l []CrashRecord
	for u, at := range o.removedAt {
		if now.Sub(at) < silentEndPeriod || !o.HasInFlight(u) {
			continue
		}
		if r, ok := o.crashSilently(now, u); ok {
			l = append(l, r)
		}
	}
	return l
}

// Leave records that an upstream has announced its end. Requests without a response there
// tell nothing.
func (o *Observer) Leave(now time.Time, u Upstream) {
	o.leaving[u] = now
	o.keepLosses(u, func(l loss) bool { return !l.isSilent })
}

// RecordRegistered records that an upstream is registered. It reports whether it counted as crashed,
// which was wrong then.
func (o *Observer) RecordRegistered(u Upstream) bool {
	_, hadCrashed := o.crashedAt[u]
	delete(o.crashedAt, u)
	delete(o.removedAt, u)
	return hadCrashed
}

// RecordResponse records that the header of the response to a request has arrived.
func (o *Observer) RecordResponse(now time.Time, id ExecutionID) {
	if x, ok := o.inFlight[id]; ok {
		o.observeAlive(now, id, x.upstream)
	}
}

// observeAlive records output of a request at an upstream, which has not crashed by then. A
// request that was sent later tells nothing: an upstream may have started again under the
// same id.
func (o *Observer) observeAlive(now time.Time, id ExecutionID, u Upstream) {
	delete(o.removedAt, u)
	o.keepLosses(u, func(l loss) bool { return !l.isSilent || id > l.last || now.Sub(l.at) < outputDelay })
}

// keepLosses removes the losses of an upstream that are not to be kept.
func (o *Observer) keepLosses(u Upstream, isKept func(l loss) bool) {
	l, ok := o.losses[u]
	if !ok {
		return
	}
	if l = slices.DeleteFunc(l, func(l loss) bool { return !isKept(l) }); len(l) == 0 {
		delete(o.losses, u)
		return
	}
	o.losses[u] = l
}

// forgetRuns removes the features that no silent loss has any more.
func (o *Observer) forgetRuns() {
	if len(o.ranSince) == 0 {
		return
	}
	needed := map[Fingerprint]bool{}
	for _, losses := range o.losses {
		for _, l := range losses {
			for _, f := range l.features {
				needed[f] = l.isSilent || needed[f]
			}
		}
	}
	maps.DeleteFunc(o.ranSince, func(f Fingerprint, _ bool) bool { return !needed[f] })
}

// Silent returns the requests that have no response of their upstreams, as records of what
// would have been in flight in the crash of each. Another process needs them if this one
// ends before the crashes are known.
func (o *Observer) Silent(now time.Time) []CrashRecord {
	l := map[Upstream][]Suspect{}
	add := func(x observation) {
		for _, f := range x.features {
			if !o.ranSince[f] && !o.hasRunBefore(now, f) {
				l[x.upstream] = append(l[x.upstream], Suspect{Fingerprint: f})
			}
		}
	}
	for _, losses := range o.losses {
		for _, x := range losses {
			if x.isSilent {
				add(x.observation)
			}
		}
	}
	for _, x := range o.inFlight {
		if x.outputAt.IsZero() {
			add(x)
		}
	}
	var r []CrashRecord
	for u, s := range l {
		s = mergeSuspects(s)
		r = append(r, CrashRecord{Crash: CrashID{Host: u.ID, Incarnation: u.Incarnation}, Expiry: now.Add(o.retention), Suspects: s[:min(len(s), defaultMaxSuspects)]})
	}
	return r
}

// MergeSilent adds requests without a response by the word of another process. It returns the
// records of those whose upstreams are known to have crashed.
func (o *Observer) MergeSilent(now time.Time, l []CrashRecord) []CrashRecord {
	var crashes []CrashRecord
	for _, r := range l {
		var f []Fingerprint
		for _, s := range r.Suspects[:min(len(r.Suspects), defaultMaxSuspects)] {
			f = append(f, s.Fingerprint)
		}
		u := Upstream{r.Crash.Host, r.Crash.Incarnation}
		if c, ok := o.addSilentLoss(now, observation{upstream: u, features: f}); ok {
			crashes = append(crashes, c)
		}
	}
	return crashes
}
