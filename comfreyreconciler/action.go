package comfreyreconciler

import "time"

// ActionKind is what the sidecar does next for the reconciler.
type ActionKind int

// The kinds of action.
const (
	// ActionWait does nothing until Action.Until.
	ActionWait ActionKind = iota
	// ActionRevalidate asks the platform or another process for the newest
	// configuration and then calls SetDesiredState and RenewLease.
	ActionRevalidate
	// ActionReadBack reads the upstream's state and then calls Observe.
	ActionReadBack
	// ActionSend calls BeginSend, sends Action.Command if that returns true, calls
	// RecordSent, and calls RecordResult when there is a result or the command is
	// given up.
	ActionSend
	// ActionStop does nothing any more: a newer incarnation of the sidecar has
	// taken over.
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

// Action is what the sidecar does next for the reconciler.
type Action struct {
	// Kind selects which of the other fields is set.
	Kind ActionKind
	// Command is the command of ActionSend.
	Command Command
	// Until is when an ActionWait ends.
	Until time.Time
}

// Observation is the state of an upstream as it was read back.
type Observation struct {
	// State is the state that the upstream reports.
	State State
	// IsBusy means that the upstream is still carrying out a command.
	IsBusy bool
	// FencingNumber is the highest fencing number that the upstream has seen; zero
	// if it does not report one.
	FencingNumber FencingNumber
}

// Result is how a command ended.
type Result int

// The results of a command.
const (
	// ResultUnknown means that no result was received: the command may still take
	// effect.
	ResultUnknown Result = iota
	// ResultAccepted means that the upstream accepted the command.
	ResultAccepted
	// ResultFenced means that the upstream refused an old fencing number.
	ResultFenced
	// ResultRefused means that the upstream refused the command for another
	// reason.
	ResultRefused
)
