package comfreyplacement

// Resumption is what can be done next about a generation whose stream has ended early.
type Resumption int

// The kinds.
const (
	// ResumeNowhere means that the stream cannot be continued.
	ResumeNowhere Resumption = iota
	// ResumeAtCopy resumes the generation at the replica that has its copy.
	ResumeAtCopy
	// ResumeAtSource resumes it at the replica at which it was stopped to be moved, which
	// keeps its KV cache.
	ResumeAtSource
)

// ResumeState is what is known of a generation that has to be resumed.
type ResumeState struct {
	// HasCopy means that there is a copy that was not tried yet.
	HasCopy bool
	// WasTried means that a replica was asked to resume the generation, which did not
	// succeed, and MayRun that this replica may still execute it.
	WasTried, MayRun bool
	// IsHeld means that the request may not be sent to replicas now.
	IsHeld bool
	// MayBeStopped means that the source may have stopped the generation for the copy
	// that was tried, and has not been asked to resume it.
	MayBeStopped bool
}

// Next returns what to do next.
//
// It is built for this load: replicas leave on notice every few seconds, and a destination
// is full, unreachable or gone by the time at which the generation has been stopped at its
// source. A copy can be used once, so each replica is asked once.
func (s ResumeState) Next() Resumption {
	switch {
	case s.IsHeld:
		return ResumeNowhere
	case s.HasCopy && (!s.WasTried || s.MayRun):
		// The replica that was asked has been stopped meanwhile, or broke off.
		return ResumeAtCopy
	case s.WasTried && !s.MayRun && s.MayBeStopped:
		return ResumeAtSource
	}
	return ResumeNowhere
}
