package comfreyadmission

import (
	"fmt"
	"time"
)

// Policy selects how the controller decides whether a request fits. The zero
// value is PolicyPredictedPeak.
type Policy int

// The policies.
const (
	// PolicyPredictedPeak admits a request while the predicted peak of the
	// engine's memory stays under its capacity. The prediction sums, over the
	// running generations, the chance that each is still alive after a number
	// of further tokens (compare Past-Future scheduling and S³).
	PolicyPredictedPeak Policy = iota
	// PolicyGreedy admits a request while the memory in use is under a
	// watermark, first come first served.
	PolicyGreedy
	// PolicyReservation admits a request if the longest answers of all running
	// generations fit, first come first served.
	PolicyReservation
	// PolicyEngineQueue hands every request to the engine at once, whose own
	// queue is first come first served (as in Orca and vLLM).
	PolicyEngineQueue
)

// Policies lists every policy.
var Policies = []Policy{PolicyPredictedPeak, PolicyGreedy, PolicyReservation, PolicyEngineQueue}

// String returns the kebab-case name of p. An out-of-range value is reported
// as "unknown".
func (p Policy) String() string {
	switch p {
	case PolicyPredictedPeak:
		return "predicted-peak"
	case PolicyGreedy:
		return "greedy"
	case PolicyReservation:
		return "reservation"
	case PolicyEngineQueue:
		return "engine-queue"
	default:
		return "unknown"
	}
}

// ParsePolicy returns the policy that String names. It returns an error for
// any other text.
func ParsePolicy(s string) (Policy, error) {
	for _, p := range Policies {
		if p.String() == s {
			return p, nil
		}
	}
	return PolicyPredictedPeak, fmt.Errorf("comfreyadmission: unknown policy %q", s)
}

// Preset selects what the operator of a service weighs most. The zero value is
// PresetStallTime.
type Preset int

// The presets.
const (
	// PresetStallTime weighs the time that callers wait with nothing arriving.
	PresetStallTime Preset = iota
	// PresetPreemptions weighs preemptions and the tail of the inter-token
	// time.
	PresetPreemptions
)

// String returns the kebab-case name of p. An out-of-range value is reported
// as "unknown".
func (p Preset) String() string {
	switch p {
	case PresetStallTime:
		return "stall-time"
	case PresetPreemptions:
		return "preemptions"
	default:
		return "unknown"
	}
}

// ParsePreset returns the preset that String names. It returns an error for
// any other text.
func ParsePreset(s string) (Preset, error) {
	for _, p := range []Preset{PresetStallTime, PresetPreemptions} {
		if p.String() == s {
			return p, nil
		}
	}
	return PresetStallTime, fmt.Errorf("comfreyadmission: unknown preset %q", s)
}

// margin returns the standard deviations of the predicted memory that stay
// free.
func (p Preset) margin() float64 {
	if p == PresetPreemptions {
		return preemptionsMargin
	}
	return stallMargin
}

// The margins of the presets, in standard deviations.
const (
	stallMargin       = 2.2
	preemptionsMargin = 2.6
)

const (
	// longAnswerTokens is the expected length that counts as long.
	longAnswerTokens = 1000
	// promptTokensPerStep is how many prompt tokens the engine is given for
	// each step.
	promptTokensPerStep = 512
	// stallDelay and preemptionsDelay are the delays of the presets.
	stallDelay       = 500 * time.Millisecond
	preemptionsDelay = 4 * time.Second
	// stallQueueTime and preemptionsQueueTime are the queue times of the
	// presets.
	stallQueueTime       = 30 * time.Second
	preemptionsQueueTime = 8 * time.Second
)

// delay returns by how much a long answer ranks behind its arrival.
func (p Preset) delay() time.Duration {
	if p == PresetPreemptions {
		return preemptionsDelay
	}
	return stallDelay
}

// queueTime returns the longest wait that a request is queued for.
func (p Preset) queueTime() time.Duration {
	if p == PresetPreemptions {
		return preemptionsQueueTime
	}
	return stallQueueTime
}
