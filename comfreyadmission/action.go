package comfreyadmission

import (
	"time"

	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// ActionKind says what the owner of the controller does with a request.
type ActionKind int

// The kinds of action.
const (
	// ActionAdmit means: hand the request to the engine now.
	ActionAdmit ActionKind = iota
	// ActionQueue means: the request waits in the controller's queue.
	ActionQueue
	// ActionRefuse means: tell the caller at once that the request did not run
	// and when to come back. The controller has forgotten the request.
	ActionRefuse
	// ActionPreempt means: ask the engine to preempt the generation. The
	// owner confirms by Preempted, and by Resumed once it runs again. No policy
	// asks for it yet: the engine itself picks what it preempts.
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
	// Kind says what to do.
	Kind ActionKind
	// ID names the request.
	ID string
	// Reason is the closed-set cause.
	Reason comfreyverdict.Reason
	// RetryAfter is when a refused caller is expected to be served, counted
	// from now. Zero means that coming back does not help.
	RetryAfter time.Duration
	// Snapshot are the values that the decision was taken on.
	Snapshot Snapshot
}

// Snapshot are the values that a decision was taken on.
type Snapshot struct {
	// Running is the number of generations that the engine holds.
	Running int
	// Queued is the number of requests that wait.
	Queued int
	// UsedTokens is the memory in use.
	UsedTokens int
	// PeakTokens is the predicted peak of the memory with the request admitted.
	PeakTokens int
	// CapacityTokens is the engine's memory.
	CapacityTokens int
	// Waited is how long the request has been queued.
	Waited time.Duration
}

// Load is a value that describes the state of a controller to gateways.
type Load struct {
	// Running is the number of generations that the engine holds, those pushed
	// aside included.
	Running int
	// Queued is the number of requests that wait in the controller.
	Queued int
	// UsedTokens is the memory in use.
	UsedTokens int
	// PeakTokens is the predicted peak of the memory.
	PeakTokens int
	// CapacityTokens is the engine's memory.
	CapacityTokens int
	// ExpectedWait is how long a new request is expected to be queued.
	ExpectedWait time.Duration
	// InterTokenLatency is the smoothed time between two tokens of one generation;
	// zero means not measured yet.
	InterTokenLatency time.Duration
}
