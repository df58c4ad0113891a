package comfreyreconciler

import (
	"slices"
	"time"
)

// LoadSchedule is one upstream's part of the weight store's rate limit. Time is cut
// into slots of one load each, and the upstreams take turns by their place in
// the sorted host list, so that processes with the same list and clocks that
// agree stay within the limit without a message. The zero value does not limit
// loads.
type LoadSchedule struct {
	slot  time.Duration
	rank  int
	count int
}

// NewLoadSchedule returns the share of host among hosts, for a published limit of
// loads a second over all of them. A host that is not listed yet shares the
// slots of the place where it would stand. A limit of 0 or less allows no
// load.
func NewLoadSchedule(host string, hosts []string, loadsPerSecond float64) LoadSchedule {
	s := slices.Sorted(slices.Values(hosts))
	i, _ := slices.BinarySearch(s, host)
	n := max(1, len(s))
	if loadsPerSecond <= 0 {
		return LoadSchedule{slot: -1}
	}
	return LoadSchedule{slot: max(1, time.Duration(float64(time.Second)/loadsPerSecond)), rank: i % n, count: n}
}

// isOpen reports whether a load may start at t, and returns the number of the
// slot.
func (s LoadSchedule) isOpen(t time.Time) (int64, bool) {
	if s.slot == 0 {
		return -1, true
	}
	if s.slot < 0 {
		return -1, false
	}
	n := t.UnixNano() / int64(s.slot)
	return n, n%int64(s.count) == int64(s.rank)
}

// nextOpen returns when the first slot after the one of t opens. It reports
// false if none ever does.
func (s LoadSchedule) nextOpen(t time.Time) (time.Time, bool) {
	if s.slot <= 0 {
		return time.Time{}, false
	}
	n := t.UnixNano()/int64(s.slot) + 1
	c := int64(s.count)
	n += ((int64(s.rank)-n)%c + c) % c
	return time.Unix(0, n*int64(s.slot)), true
}
