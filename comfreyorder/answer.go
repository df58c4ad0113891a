package comfreyorder

import (
	"crypto/sha256"
	"encoding/binary"

	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// BodyHash identifies the body that a ticket is bound to by its first PUT.
type BodyHash [sha256.Size]byte

// HashBody returns the hash of an order's content type and body.
func HashBody(contentType string, body []byte) BodyHash {
	h := sha256.New()
	h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(contentType))))
	h.Write([]byte(contentType))
	h.Write(body)
	return BodyHash(h.Sum(nil))
}

// Outcome is what an upstream answered to an order, or that no answer came.
// The owner keeps Body without a copy, so nobody may write to it afterwards.
type Outcome struct {
	// Verdict is VerdictRan for a complete answer, VerdictMayHaveRun if the
	// connection was lost after a byte may have left, and VerdictNotRun only if
	// the sidecar proves that no byte left, such as a refused dial.
	Verdict comfreyverdict.Verdict
	// Reason is the cause of a verdict other than VerdictRan.
	Reason comfreyverdict.Reason
	// Status is the HTTP status of the answer; 0 if there is none.
	Status int
	// ContentType is the content type of the answer.
	ContentType string
	// Body is the body of the answer.
	Body []byte
}

// Decision is what the sidecar does with a PUT.
type Decision int

// The decisions. The zero value refuses.
const (
	// DecisionRefuse ends the PUT with Answer.Err.
	DecisionRefuse Decision = iota
	// DecisionRun is given once for each ticket: whoever receives it calls
	// Confirm, hands the order over and calls Complete.
	DecisionRun
	// DecisionWait means that the same body is on its way already: wait until
	// Confirm has refused or Complete was called, and call Begin again.
	DecisionWait
	// DecisionRecorded ends the PUT with Answer.Outcome.
	DecisionRecorded
)

// String returns the kebab-case name of d, which is "refuse" for an
// out-of-range value.
func (d Decision) String() string {
	switch d {
	case DecisionRun:
		return "run"
	case DecisionWait:
		return "wait"
	case DecisionRecorded:
		return "recorded"
	default:
		return "refuse"
	}
}

// BeginResult is what Owner.Begin decided.
type BeginResult struct {
	// Decision selects which of the other fields is set.
	Decision Decision
	// Outcome is the recorded outcome for DecisionRecorded.
	Outcome Outcome
	// Err is the refusal for DecisionRefuse. Its verdict speaks of the order,
	// not of this one PUT.
	Err comfreyverdict.Error
}

// State is how far an order has come at its owner.
type State int

// The states of an order.
const (
	// StateUnknown means that this owner holds no record: the ticket belongs to
	// another incarnation, or its record has passed its retention. Such an order
	// never begins here, and whether it ran is not known.
	StateUnknown State = iota
	// StateMinted means that no body has come yet.
	StateMinted
	// StateBegun means that a body is bound and nothing was handed over yet.
	StateBegun
	// StateHandedOver means that the upstream may have received the order.
	StateHandedOver
	// StateCompleted means that the outcome is recorded.
	StateCompleted
	// StateVoid means that the order did not run and never will.
	StateVoid
)

// String returns the kebab-case name of s, which is "unknown" for an
// out-of-range value.
func (s State) String() string {
	switch s {
	case StateMinted:
		return "minted"
	case StateBegun:
		return "begun"
	case StateHandedOver:
		return "handed-over"
	case StateCompleted:
		return "completed"
	case StateVoid:
		return "void"
	default:
		return "unknown"
	}
}

// StateReport is the state of an order with what can be said about it.
type StateReport struct {
	// State is how far the order has come.
	State State
	// Verdict is VerdictNotRun only in StateVoid; an order that has not begun
	// yet has VerdictMayHaveRun, because it can still begin.
	Verdict comfreyverdict.Verdict
	// Reason is the cause of a void or unknown order.
	Reason comfreyverdict.Reason
	// Outcome is set in StateCompleted. Its body is missing if it was dropped to
	// bound the owner's memory.
	Outcome Outcome
}
