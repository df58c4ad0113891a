package comfreyadmission

import (
	"time"

	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// ActionKind says what the owner of the controller has to do with a request.
type ActionKind int

// The kinds of action.
const (
	// ActionAdmit means: send the request to the engine now.
	ActionAdmit ActionKind = iota
	// ActionQueue means: the request waits in the controller's queue.
	ActionQueue
	// ActionRefuse means: respond to the caller now that the request did not run
	// and when to retry. The controller has dropped the request.
	ActionRefuse
	// ActionPreempt means: request the engine to preempt the generation. The
	// owner confirms by Preempted, and by Resumed once it runs again. No policy
	// uses it yet: the engine itself selects the generations that it preempts.
	ActionPreempt
)

// String returns the kebab-case name of k. An out-of-range value is reported
// as "unknown".
func (k ActionKind) String() string {
	switch k {
	case ActionAdmit:
		return "admit"
	case ActionQueue:
		return "queue"
	case ActionRefuse:
		return "refuse"
	case ActionPreempt:
		return "preempt"
	default:
		return "unknown"
	}
}

// Action is one decision of the controller.
type Action struct {
	Kind ActionKind
	// ID is the id of the request.
	ID string
	// Reason is the reason of the decision, one of a closed set.
	Reason comfreyverdict.Reason
	// RetryAfter is the time after which a refused request is expected to be
	// served. Zero means that a retry does not help.
	RetryAfter time.Duration
	// Snapshot is the state of the controller at the decision.
	Snapshot Snapshot
}

// Snapshot is the state of a controller at a decision about a request.
type Snapshot struct {
	// Running is the number of generations that the engine holds.
	Running int
	// Queued is the number of queued requests.
	Queued int
	// UsedTokens is the KV cache in use.
	UsedTokens int
	// PeakTokens is the predicted peak of the KV cache; it includes the request if
	// it was admitted.
	PeakTokens int
	// CapacityTokens is the size of the engine's KV cache.
	CapacityTokens int
	// Waited is how long the request has been queued.
	Waited time.Duration
}

// Load is the load of a controller's engine, as reported to gateways.
type Load struct {
	// Running is the number of generations that the engine holds, including
	// preempted ones.
	Running int
	// Queued is the number of requests that wait in the controller.
	Queued int
	// UsedTokens is the KV cache in use.
	UsedTokens int
	// PeakTokens is the predicted peak of the KV cache.
	PeakTokens int
	// CapacityTokens is the size of the engine's KV cache.
	CapacityTokens int
	// ExpectedWait is the expected wait time of a new request in the queue.
	ExpectedWait time.Duration
	// InterTokenLatency is the smoothed time between two tokens of one generation;
	// zero if it was not measured yet.
	InterTokenLatency time.Duration
}
