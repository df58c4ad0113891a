package comfreyreplica

import "time"

const (
	// minRateLimit is the least rate limit in requests a second. A replica that
	// names a lower one, or zero, still gets a request every ten seconds, without
	// whose response the limit would never end.
	minRateLimit = 0.1
	// maxRateLimit is the rate limit in requests a second from which on a limit
	// counts as none.
	maxRateLimit = 1e6
	// endedLimitRetention is how long the end of a rate limit is kept for other
	// processes.
	endedLimitRetention = 5 * time.Second
	// unlistedLimitRetention is how long the rate limit of a replica is kept that is
	// not in the set, which may be listed again.
	unlistedLimitRetention = time.Minute
)

// RateLimit is the rate of requests that one start of a replica takes from all
// processes together. Values are immutable.
type RateLimit struct {
	Start Start
	// PerSecond is the number of requests a second; zero if the replica has said
	// that there is no limit any more.
	PerSecond float64
	// ObservedAt is when a process received the response that says so.
	ObservedAt time.Time
}

// IsEnded reports whether there is no limit any more.
func (l RateLimit) IsEnded() bool {
	return l.PerSecond == 0
}

// NamedRateLimit returns the limit that a replica has named, in requests a second.
// Values below 0.1 count as 0.1, and values from 1e6 on as no limit.
func (s *Set) NamedRateLimit(now time.Time, id string, perSecond float64) RateLimit {
	l := RateLimit{Start: s.startOf(id), PerSecond: max(perSecond, minRateLimit), ObservedAt: now}
	if perSecond >= maxRateLimit {
		l.PerSecond = 0
	}
	return l
}

// EndedRateLimit returns the limit of a replica that has responded without one.
func (s *Set) EndedRateLimit(now time.Time, id string) RateLimit {
	return RateLimit{Start: s.startOf(id), ObservedAt: now}
}

// startOf returns the start of a replica, as far as it is known.
func (s *Set) startOf(id string) Start {
	return Start{id, s.replicas[id].StartMillis}
}

// MergeRateLimit records what a response to this or another process says of a
// replica's limit, and reports whether the limit has changed. The latest response
// counts, of the latest start.
func (s *Set) MergeRateLimit(l RateLimit) (changed bool) {
	old, ok := s.limits[l.Start.ID]
	switch {
	case !ok:
		if l.IsEnded() {
			return false
		}
	case !old.Start.isSame(l.Start):
		if l.Start.StartMillis < old.Start.StartMillis {
			return false
		}
	case l.ObservedAt.Before(old.ObservedAt):
		return false
	case l.Start.StartMillis == 0:
		l.Start = old.Start
	}
	s.limits[l.Start.ID] = l
	return !ok || old.PerSecond != l.PerSecond
}

// RateLimit returns the limit of a replica in requests a second. It reports false
// if there is none.
func (s *Set) RateLimit(id string) (perSecond float64, ok bool) {
	l, ok := s.limits[id]
	if !ok || l.IsEnded() {
		return 0, false
	}
	if r, known := s.replicas[id]; known && !r.Start().isSame(l.Start) {
		return 0, false
	}
	return l.PerSecond, true
}

// RateLimits returns the limits that other processes have to know, in no order:
// those that hold, and those that ended a few seconds ago.
func (s *Set) RateLimits() []RateLimit {
	l := make([]RateLimit, 0, len(s.limits))
	for _, k := range s.limits {
		l = append(l, k)
	}
	return l
}

// expireLimits drops limits that have ended, of earlier starts, and of replicas
// that are gone. A limit that was named before the start of its replica was known
// belongs to the first start that is known.
func (s *Set) expireLimits(now time.Time) {
	for id, l := range s.limits {
		r, known := s.replicas[id]
		age := now.Sub(l.ObservedAt)
		switch {
		case l.IsEnded() && age > endedLimitRetention, !known && age > unlistedLimitRetention, known && !r.Start().isSame(l.Start):
			delete(s.limits, id)
		case known && l.Start.StartMillis == 0 && r.StartMillis != 0:
			l.Start = r.Start()
			s.limits[id] = l
		}
	}
}
