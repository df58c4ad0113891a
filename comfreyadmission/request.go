package comfreyadmission

import "time"

// Class is a label that a routing rule may give to a request, such as "quote".
// Requests of one class share a length distribution. The zero value is no class.
type Class string

// Request describes a generation that asks to run.
type Request struct {
	// ID is unique among the requests that are queued or running.
	ID string
	// Customer names the customer that the tokens are charged to.
	Customer string
	// Service names the service.
	Service string
	// Class refines the length distribution within Customer and Service.
	Class Class
	// PromptTokens is the length of the prompt; below zero counts as zero.
	PromptTokens int
	// MaxTokens bounds the answer; zero or below means unknown.
	MaxTokens int
	// Deadline is when the caller gives up; the zero time means never.
	Deadline time.Time
	// RetryToken is the ID of an earlier refusal whose RetryAfter the caller
	// follows. It may be empty or unknown.
	RetryToken string
	// IsLastAttempt says that a refusal goes to the caller, not to a gateway that tries
	// elsewhere, so that the controller keeps a place for the caller's return.
	IsLastAttempt bool
}

// Outcome says how a generation ended.
type Outcome int

// The outcomes. An out-of-range value counts as OutcomeFailed.
const (
	// OutcomeCompleted means that the engine ended the answer.
	OutcomeCompleted Outcome = iota
	// OutcomeFailed means that the engine lost the generation.
	OutcomeFailed
	// OutcomeCancelled means that the caller gave the generation up.
	OutcomeCancelled
)
