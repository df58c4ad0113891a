package comfreyplacement

import "time"

const (
	// stepTokens is how many tokens an engine prefills in one step. A generation
	// whose copy lacks no more than that resumes as quickly as with a complete
	// copy.
	stepTokens = 112
	// minRefreshTime is how much time must remain until the source ends for a
	// second copy to be made.
	minRefreshTime = 400 * time.Millisecond
)

// Refresh is the choice whether the KV cache of a generation that moves is copied
// a second time, before the generation is stopped at its source.
//
// It is built for this load: a replica with a dozen generations leaves within
// 1.5 s, and its link transfers their copies one after the other. A second copy
// of one generation delays the first copy of another, which is lost if the
// replica ends before.
type Refresh struct {
	// MissingTokens is how many output tokens the first copy lacks.
	MissingTokens int
	// TimeLeft is the expected time until the source ends.
	TimeLeft time.Duration
	// HasWaiting means that other generations wait for their first copy.
	HasWaiting bool
}

// IsWorthwhile reports whether the second copy should be made.
func (r Refresh) IsWorthwhile() bool {
	return !r.HasWaiting && r.MissingTokens > stepTokens && r.TimeLeft > minRefreshTime
}
