package comfreyreplica

import (
	"maps"
	"time"
)

// maxWarmUp bounds the time for which a replica counts as cold without saying so again.
const maxWarmUp = time.Minute

// WarmUp is how the replicas of a service behave while they are cold.
type WarmUp struct {
	// Duration is how long a replica is cold after its start.
	Duration time.Duration
	// PerSecond is the rate of requests that a cold replica takes from all gateways
	// together; zero if there is no bound.
	PerSecond float64
}

// SetWarmUps replaces what is configured of cold replicas, by service.
func (s *Set) SetWarmUps(w map[string]WarmUp) {
	s.warmUps = maps.Clone(w)
}

// ObserveWarmUp records that a replica has said how long it stays cold, zero if it is
// not. It may become cold at any moment, not only after its start.
func (s *Set) ObserveWarmUp(now time.Time, id string, d time.Duration) {
	if r, ok := s.replicas[id]; ok {
		r.WarmAt = now.Add(min(max(d, 0), maxWarmUp))
		s.put(r)
	}
}

// ObserveConnectionLost records that a connection to a replica broke or could not be
// opened. The replica may be starting again, which a process that is cut from the store
// does not hear of, and then it is cold when it accepts the next one.
func (s *Set) ObserveConnectionLost(now time.Time, id string) {
	r, ok := s.replicas[id]
	if w := s.warmUps[r.Service]; ok && w.PerSecond > 0 {
		s.put(s.withWarmUp(r, now.Add(w.Duration)))
	}
}

// withWarmUp returns a replica that is cold until a time, or until a later one that
// is known already.
func (s *Set) withWarmUp(r Replica, until time.Time) Replica {
	if until.After(r.WarmAt) {
		r.WarmAt = until
	}
	return r
}

// coldLimit returns the rate limit of a replica that is cold. Unlike one that the
// replica names, it follows from the configuration, and each gateway knows it.
func (s *Set) coldLimit(now time.Time, id string) (RateLimit, bool) {
	r, ok := s.replicas[id]
	if !ok || !now.Before(r.WarmAt) {
		return RateLimit{}, false
	}
	w := s.warmUps[r.Service]
	if w.PerSecond <= 0 {
		return RateLimit{}, false
	}
	return RateLimit{Start: r.Start(), PerSecond: max(w.PerSecond, minRateLimit), ObservedAt: now, IsWarmUp: true}, true
}
