package comfreyadmission

import "time"

// Class is a label that a routing rule may give to a request, such as "quote".
// Requests of one class share a length distribution. The zero value means no
// class.
type Class string

// Request describes a generation that is submitted for admission.
type Request struct {
	// ID is unique among the requests that are queued or running.
	ID string
	// Customer is the name of the customer that the tokens are counted for.
	Customer string
	// Service is the name of the service.
	Service string
	// Class refines the length distribution within Customer and Service.
	Class Class
	// PromptTokens is the length of the prompt; below zero counts as zero.
	PromptTokens int
	// MaxTokens is the maximum output length; zero or below means unknown.
	MaxTokens int
	// Deadline is when the caller times out; the zero time means no deadline.
	Deadline time.Time
	// RetryToken is the ID of an earlier refused request of which this one is the
	// retry after its RetryAfter. It may be empty or unknown.
	RetryToken string
	// IsLastAttempt means that a refusal is returned to the caller, and not to a
	// gateway that tries another replica, so that the controller reserves a place in
	// the queue for the caller's retry.
	IsLastAttempt bool
}

// Outcome says how a generation ended.
type Outcome int

// The outcomes. An out-of-range value counts as OutcomeFailed.
const (
	// OutcomeCompleted means that the engine completed the output.
	OutcomeCompleted Outcome = iota
	// OutcomeFailed means that the engine failed to complete the generation.
	OutcomeFailed
	// OutcomeCancelled means that the caller cancelled the generation.
	OutcomeCancelled
)
