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
	// PolicyPredictedPeak admits a request while the predicted peak of the KV cache
	// usage stays within the capacity. The prediction sums, over the running
	// generations, the probability that each is still running after a number of
	// further tokens (compare Past-Future scheduling and S³).
	PolicyPredictedPeak Policy = iota
	// PolicyGreedy admits a request while the KV cache in use is below a
	// watermark, first come first served.
	PolicyGreedy
	// PolicyReservation admits a request if the longest possible outputs of all
	// running generations fit, first come first served.
	PolicyReservation
	// PolicyEngineQueue sends every request to the engine immediately, whose own
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

// ParsePolicy returns the policy whose String is s. It returns an error for any
// other text.
func ParsePolicy(s string) (Policy, error) {
	for _, p := range Policies {
		if p.String() == s {
			return p, nil
		}
	}
	return PolicyPredictedPeak, fmt.Errorf("comfreyadmission: unknown policy %q", s)
}

// Preset selects what admission optimizes for. The zero value is
// PresetStallTime.
type Preset int

// The presets.
const (
	// PresetStallTime minimizes the time during which callers wait for output.
	PresetStallTime Preset = iota
	// PresetPreemptions minimizes preemptions and the tail of the inter-token
	// latency.
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

// ParsePreset returns the preset whose String is s. It returns an error for any
// other text.
func ParsePreset(s string) (Preset, error) {
	for _, p := range []Preset{PresetStallTime, PresetPreemptions} {
		if p.String() == s {
			return p, nil
		}
	}
	return PresetStallTime, fmt.Errorf("comfreyadmission: unknown preset %q", s)
}

// margin returns the default of Config.Margin.
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
	// longOutputTokens is the expected output length from which a request has the
	// full longOutputDelay.
	longOutputTokens = 1000
	// promptTokensPerStep is the number of prompt tokens that are admitted for each
	// step of the engine.
	promptTokensPerStep = 512
	// stallDelay and preemptionsDelay are the presets' values of longOutputDelay.
	stallDelay       = 500 * time.Millisecond
	preemptionsDelay = 4 * time.Second
	// stallMaxQueueTime and preemptionsMaxQueueTime are the presets' defaults of
	// Config.MaxQueueTime.
	stallMaxQueueTime       = 30 * time.Second
	preemptionsMaxQueueTime = 8 * time.Second
)

// longOutputDelay returns the delay that is added to the arrival time of a request
// with a long output when the queue is sorted.
func (p Preset) longOutputDelay() time.Duration {
	if p == PresetPreemptions {
		return preemptionsDelay
	}
	return stallDelay
}

// maxQueueTime returns the default of Config.MaxQueueTime.
func (p Preset) maxQueueTime() time.Duration {
	if p == PresetPreemptions {
		return preemptionsMaxQueueTime
	}
	return stallMaxQueueTime
}
