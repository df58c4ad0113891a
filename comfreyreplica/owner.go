package comfreyreplica

import "time"

// TakeAddress records that a replica that is listed has its address, and marks the one as
// replaced that was listed there before, if it started earlier. What both state of their
// start comes from the clock of one host. A replica whose start is unknown replaces none.
//
// It is built for this load: replicas crash in series, and others start at their addresses
// while the registrations of the former owners stand for seconds, or longer while the
// store is unreachable.
func (s *Set) TakeAddress(now time.Time, id string) []Change {
	r, ok := s.replicas[id]
	if !ok || r.StartMillis == 0 || r.IsReplaced {
		return nil
	}
	former, ok := s.replicas[s.owners[r.Address]]
	switch {
	case !ok || former.ID == id || former.Address != r.Address:
		s.owners[r.Address] = id
		return nil
	case former.StartMillis >= r.StartMillis:
		return nil
	}
	s.owners[r.Address] = id
	return s.MarkReplaced(now, former.Start(), former.Address)
}

// IsCurrent reports whether a start of a replica may still run: it is known, no other
// replica has its address, and the replica has not started again.
func (s *Set) IsCurrent(k Start) bool {
	r, ok := s.replicas[k.ID]
	return ok && !r.IsReplaced && r.Start().isSame(k)
}
