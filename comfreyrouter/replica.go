package comfreyrouter

import (
	"time"

	"comfreyridge.example/comfreyridge/comfreyfleet"
)

// replica is what a router knows of one upstream.
type replica struct {
	member   comfreyfleet.Member
	hash     uint64
	hint     Hint
	load     float64
	known    bool
	pending  int
	probedAt time.Time
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
	p.known = true
	p.pending = 0
	return true
}

// fresh reports whether the hint may be trusted at now.
func (p *replica) fresh(now time.Time, limit time.Duration) bool {
	return p.known && now.Sub(p.hint.At) <= limit
}

// usable reports whether the sidecar is not known to refuse all work.
func (p *replica) usable() bool {
	return !p.known || p.hint.Accepting
}

// cost returns the load expected at now: that of the hint while it is fresh,
// and otherwise the mean of the others, plus what was sent since.
func (p *replica) cost(now time.Time, limit time.Duration, mean float64) float64 {
	l := mean
	if p.fresh(now, limit) {
		l = p.load
	}
	return l + float64(p.pending)*p.hint.share()
}
