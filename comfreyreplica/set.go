package comfreyreplica

import (
	"cmp"
	"slices"
	"time"
)

// The defaults of Config.
const (
	// defaultDrain is the bound drainMs of the deployments in use: how long a
	// replica serves after its leaving was accepted.
	defaultDrain = 2 * time.Second
	// defaultReturn is how soon entries that lapsed during an outage are back.
	defaultReturn = 1800 * time.Millisecond
	// keepLeaving is how long a leaving replica is remembered after the end of
	// its drain time, because some serve many seconds longer.
	keepLeaving = 30 * time.Second
)

// Config holds the settings of a Set. The zero value of each field selects its
// default.
type Config struct {
	// DrainPeriod is how long a leaving replica keeps serving; 2 s by default.
	DrainPeriod time.Duration
	// OutageGrace is how long after an outage of the platform a missing entry may
	// come back; 1.8 s by default, a little below the platform's 2 s.
	OutageGrace time.Duration
}

// Change is a belief that changed.
type Change struct {
	Replica Replica
	// IsNew replicas were not known before.
	IsNew bool
}

// Set holds the known replicas. It is not safe for concurrent use.
type Set struct {
	config   Config
	replicas map[string]Replica
	// returned is when the platform came back after its last outage.
	returned time.Time
	isAway   bool
}

// NewSet returns an empty set.
func NewSet(c Config) *Set {
	return &Set{config: c.withDefaults(), replicas: map[string]Replica{}}
}

func (c Config) withDefaults() Config {
	if c.DrainPeriod <= 0 {
		c.DrainPeriod = defaultDrain
	}
	if c.OutageGrace <= 0 {
		c.OutageGrace = defaultReturn
	}
	return c
}

// Configure changes the settings. Replicas that leave already keep the end that
// was expected for them.
func (s *Set) Configure(c Config) {
	s.config = c.withDefaults()
}

// Update takes an entry of the platform's list.
func (s *Set) Update(now time.Time, l Registration) []Change {
	old, known := s.replicas[l.ID]
	if known && old.StartMillis == l.StartMillis && old.State == StateLeaving && !old.IsRemoved {
		return nil // A replica that said that it leaves does not return.
	}
	r := Replica{Registration: l, Since: now, WarmAt: now.Add(l.WarmUpTime)}
	if known && old.StartMillis == l.StartMillis && old.WarmAt.Before(r.WarmAt) {
		r.WarmAt = old.WarmAt
	}
	if l.IsDraining {
		r.State, r.EndsAt = StateLeaving, now.Add(s.config.DrainPeriod)
	}
	s.replicas[l.ID] = r
	if known && old.StartMillis == l.StartMillis && old.State == r.State && old.Address == l.Address && old.Service == l.Service {
		r.Since = old.Since
		s.replicas[l.ID] = r
		return nil
	}
	return []Change{{Replica: r, IsNew: !known}}
}

// Remove takes the loss of an entry. Soon after an outage of the platform the
// entry may come back, and until then the replica is used.
func (s *Set) Remove(now time.Time, id string) []Change {
	r, ok := s.replicas[id]
	if !ok || r.IsRemoved {
		return nil
	}
	if r.State == StateReady && s.mayReturn(now) {
		r.State, r.Since = StateLapsed, now
		s.replicas[id] = r
		return []Change{{Replica: r}}
	}
	r.IsRemoved = true
	return s.leave(now, r)
}

// MarkLeaving takes a replica's own word that it is about to end, in the given time
// if that is known.
func (s *Set) MarkLeaving(now time.Time, id string, in time.Duration) []Change {
	r, ok := s.replicas[id]
	if !ok {
		return nil
	}
	if r.State == StateLeaving {
		if e := now.Add(in); in > 0 && e.Before(r.EndsAt) {
			r.EndsAt = e
			s.replicas[id] = r
		}
		return nil
	}
	c := s.leave(now, r)
	if in > 0 {
		r = c[0].Replica
		r.EndsAt = now.Add(in)
		s.replicas[id], c[0].Replica = r, r
	}
	return c
}

// MarkReplaced takes proof that another replica answers at the address of this one.
func (s *Set) MarkReplaced(now time.Time, id string) []Change {
	r, ok := s.replicas[id]
	if !ok || r.IsRemoved {
		return nil
	}
	r.IsRemoved = true
	return s.leave(now, r)
}

func (s *Set) leave(now time.Time, r Replica) []Change {
	if r.State != StateLeaving {
		r.State, r.Since, r.EndsAt = StateLeaving, now, now.Add(s.config.DrainPeriod)
	}
	s.replicas[r.ID] = r
	return []Change{{Replica: r}}
}

// PlatformUnreachable notes that the platform cannot be read.
func (s *Set) PlatformUnreachable() {
	s.isAway = true
}

// PlatformReachable notes that the platform can be read again.
func (s *Set) PlatformReachable(now time.Time) {
	if s.isAway {
		s.isAway, s.returned = false, now
	}
}

// mayReturn reports whether an entry that is missing now may come back.
func (s *Set) mayReturn(now time.Time) bool {
	return s.isAway || now.Sub(s.returned) < s.config.OutageGrace && !s.returned.IsZero()
}

// Expire ends the wait for lapsed entries and forgets replicas that are long
// gone. It is to be called about every 100 ms.
func (s *Set) Expire(now time.Time) []Change {
	var c []Change
	for id, r := range s.replicas {
		if r.State == StateLapsed && !s.mayReturn(now) {
			r.IsRemoved = true
			c = append(c, s.leave(now, r)...)
		}
		if r.State == StateLeaving && now.Sub(r.EndsAt) > keepLeaving {
			delete(s.replicas, id)
		}
	}
	return c
}

// Get returns the replica of an id.
func (s *Set) Get(id string) (Replica, bool) {
	r, ok := s.replicas[id]
	return r, ok
}

// ByService returns the replicas of a service, in the order of their ids.
func (s *Set) ByService(name string) []Replica {
	var l []Replica
	for _, r := range s.replicas {
		if r.Service == name {
			l = append(l, r)
		}
	}
	slices.SortFunc(l, func(a, b Replica) int { return cmp.Compare(a.ID, b.ID) })
	return l
}

// All returns every known replica, in no order.
func (s *Set) All() []Replica {
	l := make([]Replica, 0, len(s.replicas))
	for _, r := range s.replicas {
		l = append(l, r)
	}
	return l
}
