package comfreyplacement

import "time"

const (
	// patientTargetRatio is how many times the shortest target of a service the target
	// of a route must be for its requests to yield to those with the shortest one.
	patientTargetRatio = 2
	// patientQueueShare is the part of its target that a patient request may spend in
	// the queue.
	patientQueueShare = 0.6
	// returnQueueTimeout is how long a request waits whose caller has returned. It is
	// late already, and its caller does not return once more.
	returnQueueTimeout = 6 * time.Second
	// returnQueueShare is the part of its caller's remaining time that it may wait.
	returnQueueShare = 0.5
	// yieldShare is the part of its time in the queue for which a patient request
	// leaves room for generations that move.
	yieldShare = 0.6
	// returnYieldShare is the part of its time in the queue for which a request whose
	// caller has returned leaves room for those that can still be on time.
	returnYieldShare = 0.8
)

// Patience is how long a request can wait for a placement, and for whom it leaves room
// meanwhile. The zero value is that of a request that yields to nobody.
//
// It is built for this load: drafts that are due in 4 s fill the memory of the engines
// for many seconds, and checks that are due in 1.5 s need as much memory for half a
// second each. A sixth of the replicas leaves every few seconds, and what runs there
// needs room elsewhere.
type Patience struct {
	// Target is the target latency of the request, and ShortestTarget the shortest one
	// of its service.
	Target, ShortestTarget time.Duration
	// LongestTarget is the longest one of its service.
	LongestTarget time.Duration
	// IsReturn means that the request was refused before, and its caller has returned.
	IsReturn bool
}

// isServicePatient reports whether a service has requests that yield to others.
func (p Patience) isServicePatient() bool {
	return p.ShortestTarget > 0 && p.LongestTarget >= patientTargetRatio*p.ShortestTarget
}

// IsPatient reports whether the request can wait longer than others of its service.
func (p Patience) IsPatient() bool {
	return p.isServicePatient() && (p.IsReturn || p.Yields(p.ShortestTarget))
}

// Yields reports whether the request leaves room for waiting ones with another target
// that are at least as urgent.
func (p Patience) Yields(target time.Duration) bool {
	return target > 0 && p.Target >= patientTargetRatio*target
}

// QueueClass tells apart the queues of a service. How long requests of one class wait
// says nothing of the wait of another.
type QueueClass int

// The classes. A service without patient requests has the first one only.
const (
	QueueUsual QueueClass = iota
	QueuePatient
	QueueReturn
)

// QueueClass returns the class of the queue in which the request waits.
func (p Patience) QueueClass() QueueClass {
	switch {
	case !p.IsPatient():
		return QueueUsual
	case p.IsReturn:
		return QueueReturn
	default:
		return QueuePatient
	}
}

// TracksReturns reports whether callers of refused requests are recognized when they
// return.
func (p Patience) TracksReturns() bool {
	return p.isServicePatient()
}

// QueueTimeout is the function QueueTimeout, and more for a patient request. The time
// left is that until its caller gives up.
func (p Patience) QueueTimeout(waited, left time.Duration, promptTokens int) time.Duration {
	t := QueueTimeout(p.Target, waited, promptTokens)
	switch {
	case !p.isServicePatient():
		return t
	case p.IsReturn:
		return max(t, min(returnQueueTimeout, time.Duration(returnQueueShare*float64(left))))
	case p.IsPatient():
		return max(t, min(spareTime(p.Target, waited, promptTokens), time.Duration(patientQueueShare*float64(p.Target))))
	default:
		return t
	}
}

// LeavesRoomForMoves reports whether the request does not take the memory that
// generations need which move away from leaving replicas, given the time for which it
// has been in the queue.
func (p Patience) LeavesRoomForMoves(queued, timeout time.Duration) bool {
	return p.IsPatient() && float64(queued) < yieldShare*float64(timeout)
}
