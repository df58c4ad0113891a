// Package comfreycall holds what a gateway reads from a caller's request, what
// it tells a replica with an attempt, and what it learns from the answer,
// without the names that these have on the wire.
package comfreycall

import (
	"errors"
	"time"
)

// The outcomes of a copy that failed.
var (
	// ErrUnknownGeneration means that the replica runs no such request.
	ErrUnknownGeneration = errors.New("comfreycall: the replica runs no such request")
	// ErrCopyInProgress means that the run is being copied already.
	ErrCopyInProgress = errors.New("comfreycall: the run is being copied already")
	// ErrNoCapacity means that the destination has no room or cannot be reached.
	ErrNoCapacity = errors.New("comfreycall: the destination has no room or cannot be reached")
)

// Request is what the headers of a caller's request say.
type Request struct {
	// ID names one attempt of the caller.
	ID string
	// Timeout is how long the caller waits; it counts only if HasBudget is true.
	Timeout    time.Duration
	HasTimeout bool
	// Key is the caller's secret; empty if there is none.
	Key string
	// PromptTokens and MaxTokens are the sizes of the prompt and of the longest
	// answer; zero if the request does not say.
	PromptTokens, MaxTokens int
}

// Continuation names the copied memory from which a generation goes on.
type Continuation struct {
	// Source is the address of the replica where the generation ran.
	Source string
	Handle string
	// LastEvent is the id of the last event that was passed on; empty if none
	// was.
	LastEvent string
}

// Attempt is what a replica is told beside the caller's request.
type Attempt struct {
	// Replica is the only replica that may run the request.
	Replica string
	// Customer is the owner of the caller's key; empty if there was none.
	Customer string
	// Timeout is how long the caller still waits; it counts only if HasLeft is
	// true.
	Timeout    time.Duration
	HasTimeout bool
	// Continue is set if the generation ran elsewhere before.
	Continue *Continuation
	// Reservation names the room that the replica keeps for the request; empty
	// if there is none.
	Reservation string
}

// ResponseHeader is what the head of a replica's answer says.
type ResponseHeader struct {
	// IsSigned answers bear the replica's signature.
	IsSigned bool
	// IsNotRun answers state that the replica did not run the request and will
	// not run it.
	IsNotRun bool
	// IsOtherReplica means that another replica answers at the address.
	IsOtherReplica bool
	// HasLoad tells that the following counts are known.
	HasLoad                 bool
	Running, Waiting, Slots int
}

// KVCopy is the copy of a run's memory at another replica.
type KVCopy struct {
	// Handle names the copy; it can be used once.
	Handle string
	// Events is how many events the run had made.
	Events int
}
