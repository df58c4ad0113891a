package comfreyrouter

import (
	"slices"
	"time"

	"comfreyridge.example/comfreyridge/comfreyfleet"
)

// probeBudget is the token bucket that limits the rate of probes.
type probeBudget struct {
	rate   float64
	tokens float64
	at     time.Time
}

// take returns how many probes may be sent at now. The bucket holds at most one
// second's worth, so that a process that was paused sends no burst.
func (b *probeBudget) take(now time.Time) int {
	if b.rate <= 0 {
		return 0
	}
	if !b.at.IsZero() {
		b.tokens = min(b.tokens+now.Sub(b.at).Seconds()*b.rate, max(b.rate, 1))
	}
	b.at = now
	n := int(max(b.tokens, 0))
	b.tokens -= float64(n)
	return n
}

// Probes returns the upstreams to probe at now: those of the subsets with the
// oldest hint or probe, at no more than the configured rate. An upstream whose
// hint or probe is younger than a quarter of the maximum hint age is not
// probed. Probes is meant to be called several times a second.
func (r *Router) Probes(now time.Time) []comfreyfleet.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.probes.take(now)
	if n == 0 {
		return nil
	}
	due := r.dueForProbe(now)
	slices.SortFunc(due, func(a, b *upstream) int { return a.lastUpdate().Compare(b.lastUpdate()) })
	var s []comfreyfleet.Member
	for _, p := range due[:min(n, len(due))] {
		p.probedAt = now
		s = append(s, p.member)
	}
	return s
}

// dueForProbe returns the upstreams of the subsets whose latest hint or probe
// is at least a quarter of the maximum hint age old.
func (r *Router) dueForProbe(now time.Time) []*upstream {
	var due []*upstream
	for _, p := range r.pools {
		for _, c := range p.dataCentres {
			for _, q := range c.subset {
				if now.Sub(q.lastUpdate()) >= r.config.MaxHintAge/4 {
					due = append(due, q)
				}
			}
		}
	}
	return due
}

// lastUpdate returns when the latest hint was received or the latest probe was
// sent.
func (u *upstream) lastUpdate() time.Time {
	if u.probedAt.After(u.hint.At) {
		return u.probedAt
	}
	return u.hint.At
}
