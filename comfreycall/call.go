// Package comfreycall defines what a gateway reads from a request's headers,
// what it sends to a replica with each attempt, and what it reads from the
// response, independent of the names that these have on the wire.
package comfreycall

import (
	"errors"
	"time"
)

// ErrOtherReplica means that another replica than the one that a call is for has responded
// at its address. It has not run anything.
var ErrOtherReplica = errors.New("comfreycall: expected the replica that the call is for, got a response of another one at its address")

// The errors of a KV copy.
var (
	// ErrUnknownGeneration means that the replica executes no generation for
	// this request.
	ErrUnknownGeneration = errors.New("comfreycall: the replica executes no generation for the request")
	// ErrCopyInProgress means that the generation is already being copied.
	ErrCopyInProgress = errors.New("comfreycall: the generation is already being copied")
	// ErrNoCapacity means that the destination has no free KV cache capacity or
	// cannot be reached.
	ErrNoCapacity = errors.New("comfreycall: the destination has no free capacity or cannot be reached")
)

// Request holds the values of a caller's request headers.
type Request struct {
	// ID identifies one attempt of the caller.
	ID string
	// Timeout is how long the caller waits; it is valid only if HasTimeout is
	// true.
	Timeout    time.Duration
	HasTimeout bool
	// Key is the caller's secret key; empty if there is none.
	Key string
	// PromptTokens and MaxTokens are the length of the prompt and the maximum
	// number of output tokens; zero if the request does not state them.
	PromptTokens, MaxTokens int
	// LastEvent is the id of the event after which the caller resumes its stream;
	// empty if it asks for the whole stream.
	LastEvent string
	// PromptParts are the ids of the parts of the prompt that other requests may
	// share, in the order of the prompt.
	PromptParts []string
}

// Continuation names the KV copy from which a generation continues.
type Continuation struct {
	// Source is the address of the replica that executed the generation before.
	Source string
	Handle string
	// LastEvent is the id of the last event that the caller has; empty if it has none.
	LastEvent string
	// HasProgress means that the generation has sent an event through this gateway.
	HasProgress bool
}

// Attempt is what a gateway sends to a replica in addition to the caller's
// request.
type Attempt struct {
	// Replica is the only replica that may execute the request.
	Replica string
	// Customer is the owner of the caller's key; empty if there was none.
	Customer string
	// Timeout is how long the caller still waits; it is valid only if
	// HasTimeout is true.
	Timeout    time.Duration
	HasTimeout bool
	// Continue is set if another replica executed the generation before.
	Continue *Continuation
	// Reservation identifies the KV cache capacity that the replica reserves
	// for the request; empty if there is none.
	Reservation string
}

// ResponseHeader holds the values of a replica's response headers.
type ResponseHeader struct {
	// Responder is the id of the replica that responded; empty if the response does not
	// state it.
	Responder string
	// IsSigned reports whether the response carries the replica's signature.
	IsSigned bool
	// IsNotRun reports whether the response states that the replica did not run
	// the request and will not run it.
	IsNotRun bool
	// IsOtherReplica reports whether a replica other than the addressed one
	// responded.
	IsOtherReplica bool
	// IsLeaving reports whether the replica accepts no new requests and stops soon.
	IsLeaving bool
	// Pause is how long the replica wants no calls of this gateway; zero if it did
	// not ask for a pause.
	Pause time.Duration
	// RateLimit is what the response says of the rate of requests that the replica
	// takes.
	RateLimit RateLimit
	// WarmUp is how long the replica stays cold; it is valid only if HasWarmUp is
	// true.
	WarmUp    time.Duration
	HasWarmUp bool
	// Pace is how long work takes at the replica at this moment, relative to usual;
	// zero if unknown.
	Pace float64
	// HasLoad reports whether the following counts are known.
	HasLoad                 bool
	Running, Waiting, Slots int
}

// RateLimitKind tells apart what a response can say of a rate limit.
type RateLimitKind int

// The kinds.
const (
	// RateLimitNone means that the replica has no limit.
	RateLimitNone RateLimitKind = iota
	// RateLimitNamed means that the replica takes a rate of requests.
	RateLimitNamed
	// RateLimitUnknown means that the response does not tell.
	RateLimitUnknown
)

// RateLimit is the rate of requests that a replica takes from all gateways
// together.
type RateLimit struct {
	Kind RateLimitKind
	// PerSecond is the number of requests a second, zero or more; it is valid only
	// for RateLimitNamed.
	PerSecond float64
}

// Target is the replica that a call is sent to.
type Target struct {
	// Replica is the id of the replica that the call is for.
	Replica string
	// Address is the replica's IP address and port, at which another replica may have
	// started meanwhile.
	Address string
	// Permit is called immediately before the call is sent; an error ends it.
	Permit func() error
	// Observe is called with the header of the response.
	Observe func(h ResponseHeader)
}

// KVCopy is a copy of a generation's KV cache at another replica.
type KVCopy struct {
	// Handle names the copy; it can be used only once.
	Handle string
	// Events is the number of events that the generation had produced.
	Events int
}
