package comfreyreplica

// Start identifies one start of a replica.
type Start struct {
	ID string
	// StartMillis is when the replica started, in Unix milliseconds; zero if
	// unknown.
	StartMillis int64
}

// isSame reports whether two starts of one replica can be the same.
func (s Start) isSame(t Start) bool {
	return s.ID == t.ID && (s.StartMillis == t.StartMillis || s.StartMillis == 0 || t.StartMillis == 0)
}

// startOf returns the start of a replica, as far as it is known.
func (s *Set) startOf(id string) Start {
	return Start{id, s.replicas[id].StartMillis}
}

// startMap holds what is known of one start of each replica. What was learned before
// the start was known belongs to the first start that is.
type startMap[V any] map[string]startEntry[V]

type startEntry[V any] struct {
	start Start
	value V
}

// get returns the value of a start.
func (m startMap[V]) get(k Start) (V, bool) {
	e, ok := m[k.ID]
	if !ok || !e.start.isSame(k) {
		var none V
		return none, false
	}
	return e.value, true
}

// set replaces the value of a replica by that of a start. It reports false, and has no
// effect, if there is one of a later start.
func (m startMap[V]) set(k Start, v V) bool {
	switch e, ok := m[k.ID]; {
	case ok && k.StartMillis == 0:
		k = e.start
	case ok && k.StartMillis < e.start.StartMillis:
		return false
	}
	m[k.ID] = startEntry[V]{k, v}
	return true
}

// learn records the start at which a replica is. It drops the value of an earlier
// one.
func (m startMap[V]) learn(k Start) {
	e, ok := m[k.ID]
	switch {
	case !ok || k.StartMillis == 0:
	case e.start.isSame(k):
		m.set(k, e.value)
	case e.start.StartMillis < k.StartMillis:
		delete(m, k.ID)
	}
}
