package comfreyreplica

import (
	"cmp"
	"errors"
	"slices"
	"time"
)

// ErrEvacuated means that the operator wants nothing sent to a replica's data centre.
var ErrEvacuated = errors.New("comfreyreplica: expected a replica that may be called, got one whose data centre is evacuated")

const (
	// defaultEvacuationPeriod is the value of the bound evacuateMs in current
	// deployments: how long after the store has accepted an evacuation requests may
	// still reach the data centre.
	defaultEvacuationPeriod = 5 * time.Second
	// moveAwayShare is the part of the period during which generations are moved out
	// of an evacuated data centre. The rest is for the time until a process hears of
	// the evacuation, and for calls that are on their way.
	moveAwayShare = 0.5
)

// evacuation is an operator's order to send nothing to a data centre.
type evacuation struct {
	// since is when this process heard of it.
	since time.Time
	// endsAt is when an evacuation ends that is missing from the older copy from which
	// the store was restored; the zero time for any other.
	endsAt time.Time
}

// Evacuate records that nothing more may be sent to a data centre, and reports whether
// that is new. Requests are no longer sent there at once. Calls that move generations
// away, and generations that are resumed from copies that were made there, are sent for
// half of EvacuationPeriod.
//
// It is built for this load: a third of all replicas holds running generations when an
// operator wants them empty, and the processes hear of it from the store or from each
// other, up to some seconds later.
func (s *Set) Evacuate(now time.Time, dataCentre string) (isNew bool) {
	old, known := s.evacuations[dataCentre]
	if !known {
		old.since = now
	}
	old.endsAt = time.Time{}
	s.evacuations[dataCentre] = old
	return !known
}

// EndEvacuation records that a data centre may be used again, and reports whether it
// was evacuated. Its replicas count as just started.
func (s *Set) EndEvacuation(now time.Time, dataCentre string) bool {
	if _, ok := s.evacuations[dataCentre]; !ok {
		return false
	}
	delete(s.evacuations, dataCentre)
	for _, r := range s.replicas {
		if r.DataCentre == dataCentre && r.IsAccepting() {
			r.Since = now
			s.put(s.withWarmUp(r, now.Add(s.warmUps[r.Service].Duration)))
		}
	}
	return true
}

// EndRestoredEvacuation handles an evacuation that is missing from the older copy from
// which the platform's store was restored. It holds for restoredGrace, within which
// the operator writes it again.
func (s *Set) EndRestoredEvacuation(now time.Time, dataCentre string) {
	if e, ok := s.evacuations[dataCentre]; ok {
		e.endsAt = now.Add(restoredGrace)
		s.evacuations[dataCentre] = e
	}
}

// expireEvacuations ends the evacuations that the operator has not written again.
func (s *Set) expireEvacuations(now time.Time) {
	for d, e := range s.evacuations {
		if !e.endsAt.IsZero() && !now.Before(e.endsAt) {
			s.EndEvacuation(now, d)
		}
	}
}

// IsEvacuated reports whether a data centre is evacuated.
func (s *Set) IsEvacuated(dataCentre string) bool {
	_, ok := s.evacuations[dataCentre]
	return ok
}

// Evacuated returns the evacuated data centres, sorted, with the time since this
// process has heard of each.
func (s *Set) Evacuated(now time.Time) []EvacuatedDataCentre {
	l := make([]EvacuatedDataCentre, 0, len(s.evacuations))
	for d, e := range s.evacuations {
		l = append(l, EvacuatedDataCentre{d, now.Sub(e.since)})
	}
	slices.SortFunc(l, func(a, b EvacuatedDataCentre) int { return cmp.Compare(a.Name, b.Name) })
	return l
}

// EvacuatedDataCentre is a data centre to which nothing may be sent.
type EvacuatedDataCentre struct {
	Name string
	// Age is the time since this process has heard of the evacuation.
	Age time.Duration
}

// MoveAwayUntil returns until when generations can be moved away from a replica that
// has to be emptied: until it ends if it leaves, or for a part of EvacuationPeriod. It
// reports false for one that need not be emptied, or cannot be because it has ended.
func (s *Set) MoveAwayUntil(r Replica) (until time.Time, ok bool) {
	if r.IsReplaced {
		return time.Time{}, false
	}
	e, isEvacuated := s.evacuations[r.DataCentre]
	if isEvacuated {
		until = e.since.Add(s.MoveAwayPeriod())
	}
	if r.State == StateLeaving && (!isEvacuated || r.EndsAt.Before(until)) {
		until = r.EndsAt
	}
	return until, isEvacuated || r.State == StateLeaving
}

// MoveAwayPeriod returns how long generations can be moved out of an evacuated data
// centre.
func (s *Set) MoveAwayPeriod() time.Duration {
	return time.Duration(moveAwayShare * float64(s.config.EvacuationPeriod))
}

// checkEvacuation returns ErrEvacuated if a call may not be sent to a replica because
// its data centre is evacuated.
func (s *Set) checkEvacuation(now time.Time, r Replica, p Purpose) error {
	e, ok := s.evacuations[r.DataCentre]
	if ok && (p == PurposeWork || now.Sub(e.since) >= s.MoveAwayPeriod()) {
		return ErrEvacuated
	}
	return nil
}

// Accepts reports whether a replica accepts new work and its data centre is not
// evacuated.
func (s *Set) Accepts(r Replica) bool {
	return r.IsAccepting() && !s.IsEvacuated(r.DataCentre)
}
