package comfreyplacement

import "time"

const (
	// stopRefusalMargin is how long before its connection is closed a request is
	// refused, so that the refusal still reaches its caller.
	stopRefusalMargin = 500 * time.Millisecond
	// minStopRetryAfter is the least time after which a caller returns that a stopping
	// gateway refuses.
	minStopRetryAfter = 50 * time.Millisecond
	// minChanceBeforeRemoval is the probability with which a request has to end before
	// the stop while the load balancer may send its caller here again.
	minChanceBeforeRemoval = 0.8
	// maxStopRetryShare is the part of its caller's remaining time that a caller waits
	// before it returns.
	maxStopRetryShare = 1.0 / 3
	// minFinalMargin is the least time before the connections are closed at which the
	// requests without a response get a final one, and finalResponseTime what each of them
	// needs.
	minFinalMargin    = 300 * time.Millisecond
	finalResponseTime = 2 * time.Millisecond
	// maxFinalShare is the part of the grace period before its end in which final responses
	// are written, so that replicas have the rest of it.
	maxFinalShare = 1.0 / 6
)

// PlannedStop is the planned stop of a gateway as it stands at one moment.
//
// It is built for this load: generations of many seconds wait at every gateway, and the
// gateways are stopped one after the other. A request that begins too late at one of them
// is cut off with it, and one that waits to the end gets no answer; both would be served
// by another gateway.
type PlannedStop struct {
	// EndsIn is the time until the gateway closes all connections, and DeregisteredIn
	// that until the load balancer sends no new ones.
	EndsIn, DeregisteredIn time.Duration
	// GracePeriod is how long the stop may take, and KilledIn the time until it is over.
	GracePeriod, KilledIn time.Duration
}

// MinChance returns the probability with which a request has to end before the stop so
// that its caller gains by it. It is 1 once the load balancer sends the caller elsewhere: a
// refusal then costs one short retry, while a request that does not end here has run in vain,
// and its caller may not know whether it has. What has ended before tells nothing of the next
// request then, only the request's own limits do.
func (s PlannedStop) MinChance() float64 {
	if s.DeregisteredIn > 0 {
		return minChanceBeforeRemoval
	}
	return 1
}

// CanServe reports whether a response that is expected to take some time from now on is
// complete before the end of the stop. A waiting request is refused once it is not.
func (s PlannedStop) CanServe(expected time.Duration) bool {
	return s.EndsIn-stopRefusalMargin > expected
}

// MustRespond reports whether the requests without a response, given their number, have to
// get a final one now, so that the last is written before the end of the stop.
//
// It is built for this load: hundreds of requests are at replicas that do not respond, and
// the gateway has a small share of a core.
func (s PlannedStop) MustRespond(unanswered int) bool {
	longest := time.Duration(maxFinalShare*float64(s.GracePeriod)) - (s.KilledIn - s.EndsIn)
	margin := min(time.Duration(unanswered)*finalResponseTime, longest)
	return s.EndsIn <= max(margin, minFinalMargin)
}

// RetryAfter returns when the caller of a refused request may return and reach another
// gateway, given the time that the caller has left.
func (s PlannedStop) RetryAfter(left time.Duration) time.Duration {
	longest := time.Duration(maxStopRetryShare * float64(left))
	return max(min(s.DeregisteredIn, longest), minStopRetryAfter)
}
