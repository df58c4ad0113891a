// Package comfreyreplay replays a trace of requests against the admission
// policy and a small engine model on a virtual clock, and reports stall time,
// preemptions, inter-token times, goodput and fairness. A replay is
// deterministic by its trace and seed.
package comfreyreplay

import (
	"fmt"
	"time"
)

// Record is one line of a trace: a request, or an event if Event is set.
type Record struct {
	// At is the time since the start of the trace.
	At time.Duration
	// Request is unique within the trace.
	Request string
	// Customer names the customer that asks.
	Customer string
	// Service names the service that is asked.
	Service string
	// DataCentre is where the caller enters.
	DataCentre string
	// PromptTokens is the length of the prompt, the shared prefix included.
	PromptTokens int
	// Prefix names the prefix that the prompt shares with others; empty means
	// none.
	Prefix string
	// PrefixTokens is the length of the shared prefix.
	PrefixTokens int
	// MaxTokens is the caller's bound on the answer; zero means none.
	MaxTokens int
	// AnswerTokens is the length of the answer, which no policy sees.
	AnswerTokens int
	// Patience is how long the caller waits for the first token.
	Patience time.Duration
	// Event is what happens to a replica; EventNone marks a request.
	Event Event
	// Replica is the number of the replica that the event happens to.
	Replica int
	// For is how long the event lasts.
	For time.Duration
}

// Event is something that happens to a replica.
type Event string

// The events.
const (
	// EventNone marks a record that is a request.
	EventNone Event = ""
	// EventReplicaLost means that the engine dies and returns empty.
	EventReplicaLost Event = "replica-lost"
	// EventReportsLost means that no load report of the replica arrives.
	EventReportsLost Event = "reports-lost"
)

// TraceError says which line of a trace is wrong. It is an immutable value.
type TraceError struct {
	// Line counts from 1.
	Line int
	// Field is the field at fault; it is empty if the line as a whole is.
	Field string
	// Detail says what is wrong.
	Detail string
}

// Error implements the error interface.
func (e TraceError) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("comfreyreplay: line %d: %s", e.Line, e.Detail)
	}
	return fmt.Sprintf("comfreyreplay: line %d: %s: %s", e.Line, e.Field, e.Detail)
}
