package comfreyreconciler

import "time"

// ActionKind is what the sidecar does next for the mover.
type ActionKind int

// The kinds of action.
const (
	// ActionWait does nothing until Action.Until.
	ActionWait ActionKind = iota
	// ActionRevalidate asks the platform or a peer for the newest configuration
	// and then calls SetTarget and Renew.
	ActionRevalidate
	// ActionReadBack reads the upstream's state and then calls Observe.
	ActionReadBack
	// ActionSend calls Confirm, sends Action.Order if that returns true, calls
	// Sent, and calls Answer when the answer has come or the order is given up.
	ActionSend
	// ActionStop does nothing any more: a newer incarnation has taken over.
	ActionStop
)

// String returns the kebab-case name of k, which is "stop" for an out-of-range
// value.
func (k ActionKind) String() string {
	switch k {
	case ActionWait:
		return "wait"
	case ActionRevalidate:
		return "revalidate"
	case ActionReadBack:
		return "read-back"
	case ActionSend:
		return "send"
	default:
		return "stop"
	}
}

// Action is what the sidecar does next for the mover.
type Action struct {
	// Kind selects which of the other fields is set.
	Kind ActionKind
	// Command is the order of ActionSend.
	Command Command
	// Until is when an ActionWait is over.
	Until time.Time
}

// Observation is the state of an upstream as it was read back.
type Observation struct {
	// State is what the upstream runs.
	State State
	// IsBusy means that the upstream is still carrying out an order.
	IsBusy bool
	// FencingNumber is the highest fencing number that the upstream has seen; zero if it
	// does not say.
	FencingNumber FencingNumber
}

// Result is how an order ended.
type Result int

// The results of an order.
const (
	// ResultUnknown means that no answer came: the order may still take effect.
	ResultUnknown Result = iota
	// ResultAccepted means that the upstream took the order.
	ResultAccepted
	// ResultFenced means that the upstream refused an old fencing number.
	ResultFenced
	// ResultRefused means that the upstream refused the order for another cause.
	ResultRefused
)
