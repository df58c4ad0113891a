package comfreyreplica

import (
	"math"
	"time"
)

const (
	// outcomeWeight is the weight of one outcome in the moving average: a replica
	// that fails four of ten requests stands out after about five.
	outcomeWeight = 0.25
	// failureRateHalfLife is the half-life of a failure rate without new
	// requests, so that a replica that recovered receives requests again.
	failureRateHalfLife = 4 * time.Second
	// expiryHalfLives is the number of half-lives after which a failure rate,
	// which is below 0.001 by then, is dropped.
	expiryHalfLives = 10
)

type failureRecord struct {
	failureRate float64
	updatedAt   time.Time
}

// Health tracks the failure rate of each replica's requests. It detects replicas
// that fail part of their requests while their health check passes. It is not
// safe for concurrent use.
type Health struct {
	records map[string]failureRecord
}

// NewHealth returns a Health with a failure rate of zero for every replica.
func NewHealth() *Health {
	return &Health{records: map[string]failureRecord{}}
}

// Record records the outcome of one request.
func (h *Health) Record(now time.Time, id string, failed bool) {
	s := h.FailureRate(now, id) * (1 - outcomeWeight)
	if failed {
		s += outcomeWeight
	}
	h.records[id] = failureRecord{s, now}
}

// Forget drops the outcomes of a replica that has started anew.
func (h *Health) Forget(id string) {
	delete(h.records, id)
}

// FailureRate returns the exponentially weighted share of recent requests that
// failed, from 0 to 1. It decays over time without new requests.
func (h *Health) FailureRate(now time.Time, id string) float64 {
	o, ok := h.records[id]
	if !ok {
		return 0
	}
	return o.failureRate * math.Exp2(-now.Sub(o.updatedAt).Seconds()/failureRateHalfLife.Seconds())
}

// Expire drops failure rates that have decayed to almost zero, such as those of
// replicas that no longer exist. The caller calls it about once a second.
func (h *Health) Expire(now time.Time) {
	for id, o := range h.records {
		if now.Sub(o.updatedAt) > expiryHalfLives*failureRateHalfLife {
			delete(h.records, id)
		}
	}
}
