package comfreyreplica

import (
	"errors"
	"slices"
	"time"
)

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
	// IsDirect means that it was this process.
	IsDirect bool
	// IsWarmUp means that the replica is cold and the configuration limits cold ones.
	IsWarmUp bool
}

// IsEnded reports whether there is no limit any more.
func (l RateLimit) IsEnded() bool {
	return l.PerSecond == 0
}

// NamedRateLimit returns the limit that a replica has named, in requests a second.
// Values below 0.1 count as 0.1, and values from 1e6 on as no limit.
func (s *Set) NamedRateLimit(now time.Time, id string, perSecond float64) RateLimit {
	return RateLimit{Start: s.startOf(id), PerSecond: max(perSecond, minRateLimit), ObservedAt: now, IsDirect: true}
}

// EndedRateLimit returns the limit of a replica that has responded without one.
func (s *Set) EndedRateLimit(now time.Time, id string) RateLimit {
	return RateLimit{Start: s.startOf(id), ObservedAt: now, IsDirect: true}
}

// MergeRateLimit records what a response to this or another process says of a
// replica's limit, and reports whether the limit has changed. The latest response
// counts, of the latest start.
func (s *Set) MergeRateLimit(l RateLimit) (changed bool) {
	switch {
	case l.PerSecond >= maxRateLimit:
		l.PerSecond = 0
	case l.PerSecond > 0:
		l.PerSecond = max(l.PerSecond, minRateLimit)
	}
	old, ok := s.limits.get(l.Start)
	if ok && l.ObservedAt.Before(old.ObservedAt) || !ok && l.IsEnded() {
		return false
	}
	if l.IsEnded() {
		delete(s.full, l.Start.ID)
	}
	return s.limits.set(l.Start, l) && (!ok || old.PerSecond != l.PerSecond)
}

// CurrentLimit returns the lower of the limit that a replica has named and the one
// that it has while it is cold. It reports false if there is none.
func (s *Set) CurrentLimit(now time.Time, id string) (l RateLimit, ok bool) {
	l, ok = s.RateLimit(id)
	if c, isCold := s.coldLimit(now, id); isCold && (!ok || c.PerSecond < l.PerSecond) {
		return c, true
	}
	return l, ok
}

// needsPermit reports whether a call to a replica needs a permit. A named limit
// counts every call. That of a cold replica counts new work only: a generation that
// resumes there has no other place, and few do, since copies are sent to cold
// replicas only if there are no others.
func (s *Set) needsPermit(now time.Time, id string, p Purpose) bool {
	if _, isNamed := s.RateLimit(id); isNamed {
		return true
	}
	_, isCold := s.coldLimit(now, id)
	return isCold && p == PurposeWork
}

// RateLimit returns the limit that a replica has named. It reports false if there is
// none.
func (s *Set) RateLimit(id string) (l RateLimit, ok bool) {
	k, ok := s.limits.get(s.startOf(id))
	if !ok || k.IsEnded() {
		return RateLimit{}, false
	}
	k.Start = s.limits[id].start
	return k, true
}

// SetFull records that a replica with a rate limit is expected to have no room until
// a time.
func (s *Set) SetFull(id string, until time.Time) {
	s.full.set(s.startOf(id), until)
}

// RateLimits returns the limits that other processes have to know, in no order:
// those that hold, and those that ended a few seconds ago, as far as this process
// was told by the replica itself. A message that is passed on would look younger
// than it is.
func (s *Set) RateLimits() []RateLimit {
	var l []RateLimit
	for _, e := range s.limits {
		if k := e.value; k.IsDirect {
			k.Start = e.start
			l = append(l, k)
		}
	}
	return l
}

// KnownRateLimits returns all limits that hold, in no order, also those that other
// processes were told. They are for a process that knows none and sends none on.
func (s *Set) KnownRateLimits() []RateLimit {
	var l []RateLimit
	for id := range s.limits {
		if k, ok := s.RateLimit(id); ok {
			l = append(l, k)
		}
	}
	return l
}

// LimitedServices returns the services whose replicas have rate limits, or have them
// while they are cold, in no order.
func (s *Set) LimitedServices() []string {
	var l []string
	for n, w := range s.warmUps {
		if w.PerSecond > 0 {
			l = append(l, n)
		}
	}
	for id := range s.limits {
		if _, ok := s.RateLimit(id); !ok {
			continue
		}
		if r, ok := s.replicas[id]; ok && !slices.Contains(l, r.Service) {
			l = append(l, r.Service)
		}
	}
	return l
}

// IsClosed reports whether each usable replica of a service that accepts new work is
// paused or has a rate limit.
func (s *Set) IsClosed(now time.Time, service string, isUsable func(r Replica) bool) bool {
	for _, r := range s.replicas {
		if r.Service == service && s.MayCall(now, r.ID, PurposeWork) == nil && isUsable(r) {
			return false
		}
	}
	return true
}

// LimitedReplicas returns the replicas of a service that accept new work at a limited
// rate and are not paused, sorted by id.
func (s *Set) LimitedReplicas(now time.Time, service string) []Replica {
	if len(s.limits) == 0 && s.warmUps[service].PerSecond <= 0 {
		return nil
	}
	return slices.DeleteFunc(s.ByService(service), func(r Replica) bool {
		return !errors.Is(s.MayCall(now, r.ID, PurposeWork), ErrLimited)
	})
}

// expireLimits drops limits that ended some time ago, and those of replicas that are
// gone.
func (s *Set) expireLimits(now time.Time) {
	for id, e := range s.full {
		if !now.Before(e.value) {
			delete(s.full, id)
		}
	}
	for id, e := range s.limits {
		_, known := s.replicas[id]
		age := now.Sub(e.value.ObservedAt)
		if e.value.IsEnded() && age > endedLimitRetention || !known && age > unlistedLimitRetention {
			delete(s.limits, id)
		}
	}
}
