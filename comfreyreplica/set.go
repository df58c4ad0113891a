package comfreyreplica

import (
	"slices"
	"time"
)

// The defaults of Config.
const (
	// defaultDrainPeriod is the value of the bound drainMs in current deployments:
	// how long a replica serves after its announcement to leave was accepted.
	defaultDrainPeriod = 2 * time.Second
	// defaultOutageGrace is the time within which registrations that lapsed during
	// an outage of the platform are renewed.
	defaultOutageGrace = 1800 * time.Millisecond
	// restoredGrace is how long a registration in an older copy of the store counts
	// less than what is known of the replica. It exceeds the 3.6 s after which the
	// registration of a replica that ended lapses.
	restoredGrace = 4 * time.Second
	// leavingRetention is how long a leaving replica is kept after its expected
	// end, because some replicas serve many seconds longer.
	leavingRetention = 30 * time.Second
)

// Config holds the settings of a Set. The zero value of each field selects its
// default.
type Config struct {
	// DrainPeriod is how long a leaving replica keeps serving; 2 s by default.
	DrainPeriod time.Duration
	// OutageGrace is how long after an outage of the platform a missing
	// registration may still be renewed; 1.8 s by default, slightly below the
	// platform's 2 s.
	OutageGrace time.Duration
	// EvacuationPeriod is how long requests may still reach a data centre after the
	// store has accepted its evacuation; 5 s by default.
	EvacuationPeriod time.Duration
}

// Change is a change of one replica in a Set.
type Change struct {
	Replica Replica
	// IsNew means that the replica was not in the set before, and IsRestarted that
	// an earlier start of it was.
	IsNew, IsRestarted bool
}

// Set holds the known replicas. It is not safe for concurrent use.
type Set struct {
	config   Config
	replicas map[string]Replica
	services serviceIndex
	// reachableAt is when the platform became reachable again after its last
	// outage; the zero time if there was none.
	reachableAt   time.Time
	isUnreachable bool
	// restored holds registrations from an older copy of the store of replicas that
	// are known to leave, until restoredUntil.
	restored      map[string]Registration
	restoredUntil time.Time
	pauses        startMap[*pause]
	limits        startMap[RateLimit]
	// full holds until when a permit for a replica is not expected to be had.
	full startMap[time.Time]
	// owners holds, by address, the replica that started there last.
	owners map[string]string
	// hints holds until when replicas are avoided.
	hints map[string]time.Time
	// evacuations holds the evacuated data centres by name, and warmUps what is
	// configured of cold replicas, by service.
	evacuations map[string]evacuation
	// unlisted holds, by id, starts that leave by the word of another process, of
	// replicas that are not in the set yet.
	unlisted map[string]unlistedStart
	warmUps  map[string]WarmUp
}

// NewSet returns an empty set.
func NewSet(c Config) *Set {
	return &Set{
		config: c.withDefaults(), replicas: map[string]Replica{}, services: serviceIndex{}, restored: map[string]Registration{}, pauses: startMap[*pause]{},
		unlisted: map[string]unlistedStart{}, owners: map[string]string{},
		limits: startMap[RateLimit]{}, full: startMap[time.Time]{}, hints: map[string]time.Time{}, evacuations: map[string]evacuation{},
	}
}

func (c Config) withDefaults() Config {
	if c.DrainPeriod <= 0 {
		c.DrainPeriod = defaultDrainPeriod
	}
	if c.OutageGrace <= 0 {
		c.OutageGrace = defaultOutageGrace
	}
	if c.EvacuationPeriod <= 0 {
		c.EvacuationPeriod = defaultEvacuationPeriod
	}
	return c
}

// Configure changes the settings. Replicas that are already leaving keep their
// EndsAt.
func (s *Set) Configure(c Config) {
	s.config = c.withDefaults()
}

// Update adds or replaces a replica's registration. It ignores a replica that
// has announced that it leaves, unless the replica was restarted.
func (s *Set) Update(now time.Time, l Registration) []Change {
	delete(s.restored, l.ID)
	old, known := s.replicas[l.ID]
	isSameStart := known && old.Start().isSame(l.start())
	if isSameStart && l.StartMillis == 0 {
		l.StartMillis = old.StartMillis
	}
	s.pauses.learn(l.start())
	s.limits.learn(l.start())
	s.full.learn(l.start())
	if isSameStart && old.State == StateLeaving && !old.IsRemoved {
		old.StartMillis = l.StartMillis
		s.put(old)
		return nil // A leaving replica does not become ready again.
	}
	r := Replica{Registration: l, Since: now, WarmAt: now.Add(min(l.WarmUpTime, maxWarmUp))}
	if isSameStart && now.Before(old.WarmAt) && old.WarmAt.Before(r.WarmAt) {
		r.WarmAt = old.WarmAt // The registration is as old as the last time the replica wrote it.
	}
	if u, ok := s.unlisted[l.ID]; ok && !known && u.isSame(l.start()) {
		l.IsDraining = true
		delete(s.unlisted, l.ID)
	}
	if l.IsDraining {
		r.State, r.EndsAt = StateLeaving, now.Add(s.config.DrainPeriod)
	}
	s.put(r)
	if isSameStart && old.State == r.State && old.Address == l.Address && old.Service == l.Service {
		r.Since = old.Since
		s.put(r)
		return nil
	}
	return []Change{{Replica: r, IsNew: !known, IsRestarted: known && !isSameStart}}
}

// UpdateRestored handles a registration from the older copy from which the
// platform's store was restored. It is that of a replica which may have left
// since. That of an earlier start of a known replica is ignored. If this start is
// known to leave, then the registration is applied after restoredGrace, unless
// the store changes it before: replicas that run write theirs again, and those of
// others lapse.
func (s *Set) UpdateRestored(now time.Time, l Registration) []Change {
	old, known := s.replicas[l.ID]
	switch {
	case !known:
		return s.Update(now, l)
	case l.StartMillis > 0 && l.StartMillis < old.StartMillis:
		return nil
	case old.Start().isSame(l.start()) && old.State == StateLeaving:
		s.restored[l.ID] = l
		return nil
	default:
		return s.Update(now, l)
	}
}

// PlatformRestored records that the platform's store was restored from an older
// copy. Registrations that are missing from it may be written again, as after an
// outage.
func (s *Set) PlatformRestored(now time.Time) {
	s.isUnreachable, s.reachableAt = false, now
	s.restored, s.restoredUntil = map[string]Registration{}, now.Add(restoredGrace)
}

// Remove handles the removal of a registration from the platform's store. During
// an outage of the platform, and until OutageGrace after it, the registration may
// still be renewed; the replica is then lapsed and keeps accepting requests.
func (s *Set) Remove(now time.Time, id string) []Change {
	delete(s.restored, id)
	r, ok := s.replicas[id]
	if !ok || r.IsRemoved {
		return nil
	}
	if r.State == StateReady && s.inOutageGrace(now) {
		r.State, r.Since = StateLapsed, now
		s.put(r)
		return []Change{{Replica: r}}
	}
	r.IsRemoved = true
	return s.setLeaving(now, r)
}

// MarkLeaving records a replica's announcement that it stops serving in the given
// time or, if that is zero, after DrainPeriod. It can bring an earlier expected
// end forward, but not postpone it.
func (s *Set) MarkLeaving(now time.Time, id string, in time.Duration) []Change {
	r, ok := s.replicas[id]
	if !ok {
		return nil
	}
	if r.State == StateLeaving {
		if e := now.Add(in); in > 0 && e.Before(r.EndsAt) {
			r.EndsAt = e
			s.put(r)
		}
		return nil
	}
	c := s.setLeaving(now, r)
	if in > 0 {
		r = c[0].Replica
		r.EndsAt = now.Add(in)
		s.put(r)
		c[0].Replica = r
	}
	return c
}

// MarkReplaced records that the address of one start of a replica has another owner. It
// has no effect if the replica has started again since, or has another address by now.
func (s *Set) MarkReplaced(now time.Time, k Start, address string) []Change {
	r, ok := s.replicas[k.ID]
	if !ok || r.IsReplaced || r.Address != address || !r.Start().isSame(k) {
		return nil
	}
	r.IsRemoved, r.IsReplaced = true, true
	return s.setLeaving(now, r)
}

// setLeaving stores r with the state StateLeaving.
func (s *Set) setLeaving(now time.Time, r Replica) []Change {
	if r.State != StateLeaving {
		r.State, r.Since, r.EndsAt = StateLeaving, now, now.Add(s.config.DrainPeriod)
	}
	s.put(r)
	return []Change{{Replica: r}}
}

// PlatformUnreachable records that the platform's store is unreachable.
func (s *Set) PlatformUnreachable() {
	s.isUnreachable = true
}

// PlatformReachable records that the platform's store is reachable. It has no
// effect if the store was not unreachable before.
func (s *Set) PlatformReachable(now time.Time) {
	if s.isUnreachable {
		s.isUnreachable, s.reachableAt = false, now
	}
}

// inOutageGrace reports whether a registration that is missing now may still be
// renewed.
func (s *Set) inOutageGrace(now time.Time) bool {
	return s.isUnreachable || now.Sub(s.reachableAt) < s.config.OutageGrace && !s.reachableAt.IsZero()
}

// Expire marks lapsed replicas as leaving once OutageGrace has passed, applies
// restored registrations once restoredGrace has, and drops replicas that ended
// long ago. The caller calls it about every 100 ms.
func (s *Set) Expire(now time.Time) []Change {
	s.expirePauses(now)
	s.expireHints(now)
	s.expireLimits(now)
	s.expireEvacuations(now)
	s.expireUnlisted(now)
	var c []Change
	if len(s.restored) > 0 && !now.Before(s.restoredUntil) {
		for _, l := range s.restored {
			c = append(c, s.Update(now, l)...)
		}
	}
	for id, r := range s.replicas {
		if r.State == StateLapsed && !s.inOutageGrace(now) {
			r.IsRemoved = true
			c = append(c, s.setLeaving(now, r)...)
		}
		if r.State == StateLeaving && now.Sub(r.EndsAt) > leavingRetention {
			s.drop(r)
			if s.owners[r.Address] == id {
				delete(s.owners, r.Address)
			}
		}
	}
	return c
}

// Get returns the replica with an id.
func (s *Set) Get(id string) (Replica, bool) {
	r, ok := s.replicas[id]
	return r, ok
}

// ByService returns the replicas of a service, sorted by id.
func (s *Set) ByService(name string) []Replica {
	return slices.Collect(s.InService(name))
}

// All returns every replica, in no order.
func (s *Set) All() []Replica {
	l := make([]Replica, 0, len(s.replicas))
	for _, r := range s.replicas {
		l = append(l, r)
	}
	return l
}
