package comfreyplacement

import (
	"math"
	"time"
)

const (
	// defaultTokenTime and defaultFirstEventTime hold for a service until a generation
	// has shown otherwise: the step of a crowded engine for each token, and a long prompt
	// that is read between those of others.
	defaultTokenTime      = 10 * time.Millisecond
	defaultFirstEventTime = 500 * time.Millisecond
	// meanWeight and deviationWeight are the weights of the newest observation in the
	// moving averages, as for round-trip times in RFC 6298.
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	// deviations is the distance between the mean and the upper bound, in mean deviations.
	deviations = 2
	// longestDecay is the part of its distance to the mean by which the longest time
	// falls with each observation.
	longestDecay = 1.0 / 256
	// boundFactor is how much longer a generation may take in a bound than the longest
	// of late.
	boundFactor = 2
	// unbounded is a time that nothing exceeds.
	unbounded = time.Duration(math.MaxInt64)
)

// TimeEstimate is how long something takes, learned from observations. The zero value has
// none. It is not safe for concurrent use.
type TimeEstimate struct {
	mean, deviation, longest float64
	isKnown                  bool
}

// Observe adds an observation.
func (e *TimeEstimate) Observe(d time.Duration) {
	v := float64(d)
	if !e.isKnown {
		*e = TimeEstimate{mean: v, deviation: v / 2, longest: v, isKnown: true}
		return
	}
	e.longest = max(v, e.longest-longestDecay*(e.longest-e.mean))
	e.deviation += deviationWeight * (max(v-e.mean, e.mean-v) - e.deviation)
	e.mean += meanWeight * (v - e.mean)
}

// Upper returns a time that few observations exceed, or the default if there are none.
func (e *TimeEstimate) Upper(unknown time.Duration) time.Duration {
	if !e.isKnown {
		return unknown
	}
	return time.Duration(e.mean + deviations*e.deviation)
}

// bound returns a time that no observation is expected to exceed. ok is false if there are
// none.
func (e *TimeEstimate) bound() (d float64, ok bool) {
	return boundFactor * e.longest, e.isKnown
}

// GenerationTimes are how long the parts of the generations of a service take, at the
// engines as loaded as they are. The zero value knows none. It is not safe for concurrent
// use.
type GenerationTimes struct {
	firstEvent, token TimeEstimate
}

// ObserveFirstEvent records how long after it was sent a generation had its first event,
// for which its prompt was read.
func (t *GenerationTimes) ObserveFirstEvent(d time.Duration) {
	t.firstEvent.Observe(d)
}

// ObserveTokens records how long a number of consecutive output tokens took.
func (t *GenerationTimes) ObserveTokens(tokens int, d time.Duration) {
	if tokens > 0 {
		t.token.Observe(d / time.Duration(tokens))
	}
}

// Duration returns the time within which most generations with some output tokens end.
func (t *GenerationTimes) Duration(tokens float64) time.Duration {
	return t.firstEvent.Upper(defaultFirstEventTime) + time.Duration(tokens*float64(t.token.Upper(defaultTokenTime)))
}

// Bound returns the time within which every generation with some output tokens is expected to
// end. Unlike Duration, it has no default: without observations there is no bound, and it is
// the longest duration.
func (t *GenerationTimes) Bound(tokens float64) time.Duration {
	first, isFirstKnown := t.firstEvent.bound()
	token, isTokenKnown := t.token.bound()
	d := first + tokens*token
	if !isFirstKnown || !isTokenKnown || !(d < float64(unbounded)) {
		return unbounded
	}
	return time.Duration(d)
}
