package comfreyreconciler

import (
	"slices"
	"time"
)

// LoadSchedule holds the time slots in which one upstream may load weights from
// the weight store, so that all upstreams together stay within the store's rate
// limit. Time is divided into slots of one load each, and the upstreams take
// turns by their rank in the sorted host list. Processes with the same list and
// synchronized clocks stay within the limit without communication. The zero
// value does not limit loads.
type LoadSchedule struct {
	slotLength time.Duration
	rank       int
	hostCount  int
}

// NewLoadSchedule returns the schedule of host among hosts, for a published
// limit of loads per second over all of them. A host that is not listed yet
// shares the slots of the host at its place in the sorted list. A limit of 0 or
// less allows no load.
func NewLoadSchedule(host string, hosts []string, loadsPerSecond float64) LoadSchedule {
	s := slices.Sorted(slices.Values(hosts))
	i, _ := slices.BinarySearch(s, host)
	n := max(1, len(s))
	if loadsPerSecond <= 0 {
		return LoadSchedule{slotLength: -1}
	}
	return LoadSchedule{slotLength: max(1, time.Duration(float64(time.Second)/loadsPerSecond)), rank: i % n, hostCount: n}
}

// slotAt returns the number of the slot at t, or -1 without slots, and whether
// a load may start in it.
func (s LoadSchedule) slotAt(t time.Time) (int64, bool) {
	if s.slotLength == 0 {
		return -1, true
	}
	if s.slotLength < 0 {
		return -1, false
	}
	n := t.UnixNano() / int64(s.slotLength)
	return n, n%int64(s.hostCount) == int64(s.rank)
}

// nextSlot returns the start of this upstream's first slot after the slot of t.
// It reports false if there is none.
func (s LoadSchedule) nextSlot(t time.Time) (time.Time, bool) {
	if s.slotLength <= 0 {
		return time.Time{}, false
	}
	n := t.UnixNano()/int64(s.slotLength) + 1
	c := int64(s.hostCount)
	n += ((int64(s.rank)-n)%c + c) % c
	return time.Unix(0, n*int64(s.slotLength)), true
}
