package comfreyadmission

import (
	"time"

	"comfreyridge.example/comfreyridge/comfreylength"
)

// state is where a request is. A request that ended has no entry.
type state int

const (
	stateQueued state = iota
	stateRunning
)

// entry is a request that is queued or running.
type entry struct {
	request   Request
	state     state
	preempted bool
	generated int
	submitted time.Time
	admitted  time.Time
	last      time.Time // of the latest progress
	rank      time.Time // orders the queue
	expected  float64   // tokens of the answer
	index     int       // in Controller.running

	curve      *comfreylength.Distribution
	forecast   forecast
	forecastAt int // generated tokens at the last prediction
}

// tokens returns the memory that e takes in the engine.
func (e *entry) tokens() int {
	return e.request.PromptTokens + e.generated
}

// reserved returns the memory that e takes if its answer is as long as it may
// be.
func (e *entry) reserved(maxLength int) int {
	if e.request.MaxTokens > 0 {
		maxLength = e.request.MaxTokens
	}
	return e.request.PromptTokens + max(maxLength, e.generated)
}
