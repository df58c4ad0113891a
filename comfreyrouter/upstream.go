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
func (p *upstream) observe(h Hint) bool {
	if p.known && (h.Incarnation < p.hint.Incarnation || h.At.Before(p.hint.At)) {
		return false
	}
	if p.known && h.Incarnation == p.hint.Incarnation {
		h.Accepting = h.Accepting && p.hint.Accepting
	}
	p.hint = h
	p.load = h.load()
	p.loadPerRequest = h.loadPerRequest()
	p.known = true
	p.hintAt = h.At.UnixNano()
	p.pending = p.sentAfter(p.hintAt)
	return true
}

// recordSent records that a request was sent at now.
func (p *upstream) recordSent(now int64) {
	p.sentTimes[p.nextSent] = now
	p.nextSent = (p.nextSent + 1) % sentTimesSize
	p.pending = min(p.pending+1, sentTimesSize)
}

// sentAfter returns how many of the recorded requests were sent after limit.
func (p *upstream) sentAfter(limit int64) int {
	for n := range sentTimesSize {
		if p.sentTimes[(p.nextSent+2*sentTimesSize-1-n)%sentTimesSize] <= limit {
			return n
		}
	}
	return sentTimesSize
}

// fresh reports whether there is a hint that is younger than limit at now.
func (p *upstream) fresh(now int64, limit time.Duration) bool {
	return p.known && now-p.hintAt < int64(limit)
}

// expectedLoad returns the load expected at now. The weight of a hint falls
// linearly with its age in favour of the mean load, to which the load of an
// upstream tends to return. The load of the requests sent since the hint is
// added.
func (p *upstream) expectedLoad(now int64, limit time.Duration, meanLoad float64) float64 {
	l := meanLoad
	if p.fresh(now, limit) {
		age := max(now-p.hintAt, 0)
		l += (p.load - meanLoad) * (1 - float64(age)/float64(limit))
	}
	return l + float64(p.pending)*p.loadPerRequest
}

// mayAccept reports whether the sidecar takes new work as far as is known.
func (p *upstream) mayAccept() bool {
	return !p.known || p.hint.Accepting
}
