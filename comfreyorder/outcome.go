package comfreyorder

import (
	"crypto/sha256"
	"encoding/binary"

	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// BodyHash is the SHA-256 hash of an order's content type and body. The first
// PUT on a ticket binds the ticket to its hash.
type BodyHash [sha256.Size]byte

// HashBody returns the BodyHash of an order. The hash includes the length of
// the content type, so that no two pairs of content type and body give the same
// input.
func HashBody(contentType string, body []byte) BodyHash {
	h := sha256.New()
	h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(contentType))))
	h.Write([]byte(contentType))
	h.Write(body)
	return BodyHash(h.Sum(nil))
}

// Outcome is the upstream's response to an order, or the fact that there was
// none. The owner retains Body without copying it, so it must not be modified
// afterwards.
type Outcome struct {
	// Verdict is VerdictRan for a complete response, VerdictMayHaveRun if the
	// connection was lost after a byte of the order may have been sent, and
	// VerdictNotRun only if it is certain that no byte was sent, as after a
	// refused dial.
	Verdict comfreyverdict.Verdict
	// Reason is the cause of a verdict other than VerdictRan.
	Reason comfreyverdict.Reason
	// Status is the HTTP status of the response; 0 if there is no response.
	Status int
	// ContentType is the content type of the response.
	ContentType string
	// Body is the response body.
	Body []byte
}

// Decision is what the sidecar does with a PUT of an order.
type Decision int

// The decisions. The zero value is DecisionRefuse.
const (
	// DecisionRefuse means that the PUT is refused with BeginResult.Err.
	DecisionRefuse Decision = iota
	// DecisionRun is returned at most once for each ticket. The sidecar then
	// calls Confirm, forwards the order to the upstream and calls Complete.
	DecisionRun
	// DecisionWait means that an earlier PUT of the same body is in progress:
	// wait until Confirm has returned an error or Complete was called, then call
	// Begin again.
	DecisionWait
	// DecisionRecorded means that the PUT gets the recorded response,
	// BeginResult.Outcome.
	DecisionRecorded
)

// String returns the kebab-case name of d. An out-of-range value is reported as
// "refuse".
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

// BeginResult is the result of Owner.Begin.
type BeginResult struct {
	// Decision says what to do with the PUT, and so which of the other fields is
	// set.
	Decision Decision
	// Outcome is the recorded outcome for DecisionRecorded.
	Outcome Outcome
	// Err is the refusal for DecisionRefuse. Its verdict is about the order, not
	// about this one PUT.
	Err comfreyverdict.Error
}

// State is the state of an order at its owner.
type State int

// The states of an order.
const (
	// StateUnknown means that this owner has no record of the ticket: it belongs
	// to another incarnation, or its record was removed after the retention
	// period. Such an order never begins here, and whether it ran is unknown.
	StateUnknown State = iota
	// StateMinted means that no body has been received yet.
	StateMinted
	// StateBegun means that the ticket is bound to a body, and the order has not
	// been forwarded to the upstream yet.
	StateBegun
	// StateHandedOver means that the order was forwarded: the upstream may have
	// received it.
	StateHandedOver
	// StateCompleted means that the outcome is recorded.
	StateCompleted
	// StateVoid means that the order did not run and never will.
	StateVoid
)

// String returns the kebab-case name of s. An out-of-range value is reported as
// "unknown".
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

// StateReport is the state of an order with its verdict and outcome, as far as
// they are known.
type StateReport struct {
	// State is the state of the order at its owner.
	State State
	// Verdict is VerdictNotRun only in StateVoid. An order that has not begun has
	// VerdictMayHaveRun, because it can still begin.
	Verdict comfreyverdict.Verdict
	// Reason says why the order is void, or why a completed one has no response.
	Reason comfreyverdict.Reason
	// Outcome is set in StateCompleted. Its body is nil if it was dropped to
	// limit the owner's memory.
	Outcome Outcome
}
