package comfreyadmission

import (
	"time"

	"comfreyridge.example/comfreyridge/comfreylength"
)

// state is the state of a request. A request that ended has no entry.
type state int

const (
	stateQueued state = iota
	stateRunning
)

// entry is a request that is queued or running.
type entry struct {
	request              Request
	state                state
	preempted            bool
	generatedTokens      int
	submitted            time.Time
	admitted             time.Time
	lastProgress         time.Time // time of the latest progress
	rank                 time.Time // sort key of the queue
	expectedOutputTokens float64   // expected at submission
	index                int       // in Controller.running

	lengths        *comfreylength.Distribution
	forecast       forecast
	forecastTokens int // generated tokens at the last update of forecast
}

// usedTokens returns the KV cache that e uses.
func (e *entry) usedTokens() int {
	return e.request.PromptTokens + e.generatedTokens
}

// reservedTokens returns the KV cache that e uses at its longest possible output,
// which is maxTokens unless the request has a bound.
func (e *entry) reservedTokens(maxTokens int) int {
	if e.request.MaxTokens > 0 {
		maxTokens = e.request.MaxTokens
	}
	return e.request.PromptTokens + max(maxTokens, e.generatedTokens)
}
