package comfreyrouter

import (
	"time"

	"comfreyridge.example/comfreyridge/comfreyfleet"
)

// sentTimesSize is the number of recent requests to an upstream whose times are
// kept.
const sentTimesSize = 32

// upstream is the state of one upstream in a router: its latest hint and the
// requests sent to it since.
type upstream struct {
	member         comfreyfleet.Member
	hash           uint64
	hint           Hint
	load           float64
	loadPerRequest float64
	known          bool
	hintAt         int64
	probedAt       time.Time
	// sentTimes is a ring buffer of the times at which requests were sent to the
	// upstream, in Unix nanoseconds; pending counts those after the hint.
	sentTimes [sentTimesSize]int64
	nextSent  int
	pending   int
}

// observe applies a hint and reports whether it did. Hints of older
// incarnations and hints that arrive out of order are dropped. Within one
// incarnation a sidecar that has stopped accepting work does not start again.
func (u *upstream) observe(h Hint) bool {
	if u.known && (h.Incarnation < u.hint.Incarnation || h.At.Before(u.hint.At)) {
		return false
	}
	if u.known && h.Incarnation == u.hint.Incarnation {
		h.Accepting = h.Accepting && u.hint.Accepting
	}
	u.hint = h
	u.load = h.load()
	u.loadPerRequest = h.loadPerRequest()
	u.known = true
	u.hintAt = h.At.UnixNano()
	u.pending = u.sentAfter(u.hintAt)
	return true
}

// recordSent records that a request was sent at now.
func (u *upstream) recordSent(now int64) {
	u.sentTimes[u.nextSent] = now
	u.nextSent = (u.nextSent + 1) % sentTimesSize
	u.pending = min(u.pending+1, sentTimesSize)
}

// sentAfter returns how many of the recorded requests were sent after limit.
func (u *upstream) sentAfter(limit int64) int {
	for n := range sentTimesSize {
		if u.sentTimes[(u.nextSent+2*sentTimesSize-1-n)%sentTimesSize] <= limit {
			return n
		}
	}
	return sentTimesSize
}

// fresh reports whether there is a hint that is younger than limit at now.
func (u *upstream) fresh(now int64, limit time.Duration) bool {
	return u.known && now-u.hintAt < int64(limit)
}

// expectedLoad returns the load expected at now. The weight of a hint falls
// linearly with its age in favour of the mean load, to which the load of an
// upstream tends to return. The load of the requests sent since the hint is
// added.
func (u *upstream) expectedLoad(now int64, limit time.Duration, meanLoad float64) float64 {
	l := meanLoad
	if u.fresh(now, limit) {
		age := max(now-u.hintAt, 0)
		l += (u.load - meanLoad) * (1 - float64(age)/float64(limit))
	}
	return l + float64(u.pending)*u.loadPerRequest
}

// mayAccept reports whether the sidecar takes new work as far as is known.
func (u *upstream) mayAccept() bool {
	return !u.known || u.hint.Accepting
}
