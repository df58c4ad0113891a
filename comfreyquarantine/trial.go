package comfreyquarantine

import "time"

const (
	// busyRetryDelay is the delay after which a suspect may be sent again while
	// another copy of it is in flight. Most requests take less.
	busyRetryDelay = 200 * time.Millisecond
	// maxTrials is the number of crashes from which on a request does not run
	// before its records expire.
	maxTrials = 5
)

// trialDelays is the time after the last crash after which a request that was in
// flight in that many crashes may run again. A harmless request that was near two
// crashes by chance is cleared by its next run; the cause of the crashes gets few
// runs.
var trialDelays = [maxTrials]time.Duration{0, 0, 2 * time.Second, time.Minute, 10 * time.Minute}

// DecideTrial returns the decision on a request before upstreams that cannot be
// reserved for a single suspect: DecisionAllow, DecisionWait while another copy of
// a suspect is in flight, or DecisionRefuse. If the request may not run, it also
// returns the delay after which it may. The function isInFlight reports
// whether another copy is in flight; it is called for suspects only.
func (t *Table) DecideTrial(now time.Time, f Fingerprint, isInFlight func(f Fingerprint) bool) (Decision, time.Duration) {
	if len(t.records) == 0 {
		return DecisionAllow, 0
	}
	crashes, expiry := 0, time.Time{}
	for _, r := range t.records {
		i, ok := r.find(f)
		if !ok || r.Suspects[i].IsCleared || !now.Before(r.Expiry) {
			continue
		}
		crashes++
		if r.Expiry.After(expiry) {
			expiry = r.Expiry
		}
	}
	if crashes == 0 {
		return DecisionAllow, 0
	}
	until := expiry
	if crashes < maxTrials {
		until = expiry.Add(trialDelays[crashes] - t.config.Retention)
	}
	if now.Before(until) {
		return DecisionRefuse, until.Sub(now)
	}
	if isInFlight(f) {
		return DecisionWait, busyRetryDelay
	}
	return DecisionAllow, 0
}

// RepeatedSuspects returns the records, reduced to the suspects of two crashes or
// more that were not cleared. They are what a process has to know that was not
// there when the crashes happened.
func (t *Table) RepeatedSuspects(now time.Time) []CrashRecord {
	counts := map[Fingerprint]int{}
	for _, r := range t.records {
		for _, s := range r.Suspects {
			if !s.IsCleared && now.Before(r.Expiry) {
				counts[s.Fingerprint]++
			}
		}
	}
	var l []CrashRecord
	for _, r := range t.records {
		var u []Suspect
		for _, s := range r.Suspects {
			if counts[s.Fingerprint] >= 2 {
				u = append(u, s)
			}
		}
		if len(u) > 0 {
			r.Suspects = u
			l = append(l, r)
		}
	}
	return l
}
