package comfreyreplica

import "time"

// unlistedRetention is how long it is kept that a replica leaves which is not in the set.
const unlistedRetention = 30 * time.Second

// unlistedStart is a start that leaves, of a replica that is not in the set yet.
type unlistedStart struct {
	Start
	until time.Time
}

// LeavingStarts returns the starts of replicas that are known to leave, in no order. They
// are for a process that starts.
func (s *Set) LeavingStarts() []Start {
	var l []Start
	for _, r := range s.replicas {
		if r.IsKnownToLeave() {
			l = append(l, r.Start())
		}
	}
	return l
}

// MergeLeaving marks starts as leaving by the word of another process, also of replicas
// that are listed later.
func (s *Set) MergeLeaving(now time.Time, starts []Start) []Change {
	var c []Change
	for _, k := range starts {
		if _, ok := s.replicas[k.ID]; ok {
			c = append(c, s.MarkStartLeaving(now, k)...)
			continue
		}
		s.unlisted[k.ID] = unlistedStart{k, now.Add(unlistedRetention)}
	}
	return c
}

// expireUnlisted drops starts that were not listed.
func (s *Set) expireUnlisted(now time.Time) {
	for id, u := range s.unlisted {
		if !now.Before(u.until) {
			delete(s.unlisted, id)
		}
	}
}
