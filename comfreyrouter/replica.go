package comfreyrouter

import (
	"time"

	"comfreyridge.example/comfreyridge/comfreyfleet"
)

// sentSlots is how many of the latest requests to an upstream are remembered.
const sentSlots = 32

// replica is what a router knows of one upstream.
type replica struct {
	member   comfreyfleet.Member
	hash     uint64
	hint     Hint
	load     float64
	share    float64
	known    bool
	hintAt   int64
	probedAt time.Time
	// sent is a ring of the times at which requests were sent there, in
	// nanoseconds; pending counts those after the hint was taken.
	sent     [sentSlots]int64
	sentNext int
	pending  int
}

// observe takes a newer hint. It reports whether the hint was taken.
func (p *replica) observe(h Hint) bool {
	if p.known && (h.Incarnation < p.hint.Incarnation || h.At.Before(p.hint.At)) {
		return false
	}
	if p.known && h.Incarnation == p.hint.Incarnation {
		h.Accepting = h.Accepting && p.hint.Accepting
	}
	p.hint = h
	p.load = h.load()
	p.share = h.share()
	p.known = true
	p.hintAt = h.At.UnixNano()
	p.pending = p.sentAfter(p.hintAt)
	return true
}

// send records that a request was sent at now.
func (p *replica) send(now int64) {
	p.sent[p.sentNext] = now
	p.sentNext = (p.sentNext + 1) % sentSlots
	p.pending = min(p.pending+1, sentSlots)
}

// sentAfter returns how many of the remembered requests were sent after limit.
func (p *replica) sentAfter(limit int64) int {
	for n := range sentSlots {
		if p.sent[(p.sentNext+2*sentSlots-1-n)%sentSlots] <= limit {
			return n
		}
	}
	return sentSlots
}

// fresh reports whether the hint still says anything at now.
func (p *replica) fresh(now int64, limit time.Duration) bool {
	return p.known && now-p.hintAt < int64(limit)
}

// cost returns the load expected at now. A hint counts less the older it is
// and gives way to the mean of all, because the load of an upstream returns
// there; the requests sent since it was taken are added.
func (p *replica) cost(now int64, limit time.Duration, mean float64) float64 {
	l := mean
	if p.fresh(now, limit) {
		age := max(now-p.hintAt, 0)
		l += (p.load - mean) * (1 - float64(age)/float64(limit))
	}
	return l + float64(p.pending)*p.share
}

// usable reports whether the sidecar is not known to refuse all work.
func (p *replica) usable() bool {
	return !p.known || p.hint.Accepting
}
