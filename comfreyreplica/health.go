package comfreyreplica

import (
	"math"
	"time"
)

const (
	// healthWeight is the weight of one outcome in the average: a replica that
	// fails four of ten requests stands out after about five.
	healthWeight = 0.25
	// healthHalfLife is how fast a suspicion fades without new requests, so
	// that a replica that recovered is tried again.
	healthHalfLife = 4 * time.Second
	// fadedHalfLives is after how many half-lives a suspicion, then below one in
	// a thousand, is dropped.
	fadedHalfLives = 10
)

type outcome struct {
	suspicion float64
	at        time.Time
}

// Health remembers how requests to each replica ended. It answers replicas
// that fail part of their requests while their health check passes. It is not
// safe for concurrent use.
type Health struct {
	outcomes map[string]outcome
}

// NewHealth returns a memory that suspects nobody.
func NewHealth() *Health {
	return &Health{outcomes: map[string]outcome{}}
}

// Record records the outcome of one request.
func (h *Health) Record(now time.Time, id string, failed bool) {
	s := h.FailureRate(now, id) * (1 - healthWeight)
	if failed {
		s += healthWeight
	}
	h.outcomes[id] = outcome{s, now}
}

// FailureRate returns the weighted share of recent requests that failed, from 0
// to 1.
func (h *Health) FailureRate(now time.Time, id string) float64 {
	o, ok := h.outcomes[id]
	if !ok {
		return 0
	}
	return o.suspicion * math.Exp2(-now.Sub(o.at).Seconds()/healthHalfLife.Seconds())
}

// Expire drops the outcomes that have faded, such as those of replicas that are
// gone. It is to be called about every second.
func (h *Health) Expire(now time.Time) {
	for id, o := range h.outcomes {
		if now.Sub(o.at) > fadedHalfLives*healthHalfLife {
			delete(h.outcomes, id)
		}
	}
}
