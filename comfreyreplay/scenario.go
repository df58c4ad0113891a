package comfreyreplay

import (
	"context"
	"math/rand/v2"
	"time"

	"comfreyridge.example/comfreyridge/comfreyadmission"
)

// Scenario names a family of traces whose parameters vary with the seed.
type Scenario string

// The scenarios.
const (
	// ScenarioCrowded offers 95% to 110% of the capacity with bursts and a
	// large customer that crowds; every other seed loses a replica.
	ScenarioCrowded Scenario = "crowded"
	// ScenarioSteady offers 85% of the capacity without bursts.
	ScenarioSteady Scenario = "steady"
	// ScenarioOverload offers 150% of the capacity with a large customer that
	// crowds.
	ScenarioOverload Scenario = "overload"
)

// scenarioDuration is the length of a scenario's trace.
const scenarioDuration = 2 * time.Minute

// Options returns the trace parameters of a seed.
func (s Scenario) Options(seed uint64, replicas int) GenerateOptions {
	r := rand.New(rand.NewPCG(seed, 77))
	between := func(low, high float64) float64 { return low + (high-low)*r.Float64() }
	o := GenerateOptions{Seed: seed, Duration: scenarioDuration, Replicas: replicas, Burst: 1, Crowd: 1}
	switch s {
	case ScenarioCrowded:
		o.Load = between(0.95, 1.1)
		o.Burst = between(1.3, 2)
		o.Crowd = between(1.5, 3)
		o.Lost = seed%2 == 1
	case ScenarioSteady:
		o.Load = 0.85
	default:
		o.Load = 1.5
		o.Burst = between(1, 1.3)
		o.Crowd = between(1.5, 3)
	}
	return o
}

// Run replays the scenario's trace of a seed with each policy.
func (s Scenario) Run(ctx context.Context, shape Shape, seed uint64, replicas int, policies ...comfreyadmission.Policy) ([]Result, error) {
	return runOptions(ctx, shape, s.Options(seed, replicas), policies...)
}

// runOptions replays one generated trace with each policy.
func runOptions(ctx context.Context, shape Shape, o GenerateOptions, policies ...comfreyadmission.Policy) ([]Result, error) {
	var setups []Setup
	for _, p := range policies {
		u := NewSetup(shape, p, shape.Preset())
		u.Seed = o.Seed
		if o.Replicas > 0 {
			u.Replicas = o.Replicas
		}
		setups = append(setups, u)
	}
	return ReplayAll(ctx, setups, Generate(shape, o))
}
