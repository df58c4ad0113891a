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
	// ResumeAfterStop means that its replica has to be asked to stop it first.
	ResumeAfterStop
)

// RunState is what is known of the execution of a generation whose stream has ended
// early. The end of a stream does not tell: a replica may lose a response and work on.
type RunState int

// The states.
const (
	// RunOver means that the replica does not execute the generation any more.
	RunOver RunState = iota
	// RunPossible means that nothing is known yet.
	RunPossible
	// RunUnclear means that the replica was asked to stop it, without a clear response.
	RunUnclear
)

// ResumeState is what is known of a generation that has to be resumed.
type ResumeState struct {
	// HasCopy means that there is a copy that was not tried yet.
	HasCopy bool
	// WasTried means that a replica was asked to resume the generation, which did not
	// succeed, and MayRun that this replica may have begun to execute it.
	WasTried, MayRun bool
	// Run is the execution whose stream has ended.
	Run RunState
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
// source. A copy can be used once, so each replica is asked once. Other replicas lose
// responses and work on while their generations are being moved.
func (s ResumeState) Next() Resumption {
	switch {
	case s.IsHeld:
		return ResumeNowhere
	case s.HasCopy && (!s.WasTried || s.MayRun):
		switch s.Run {
		case RunOver:
			return ResumeAtCopy
		case RunPossible:
			return ResumeAfterStop
		}
	case s.WasTried && !s.MayRun && s.MayBeStopped:
		return ResumeAtSource
	}
	return ResumeNowhere
}

// StopResult is what a call that stops a generation at a replica has shown.
type StopResult int

// The results.
const (
	// StopUnclear means that the replica may execute the generation.
	StopUnclear StopResult = iota
	// StopTooEarly means that the replica cannot stop it before the end of another copy.
	StopTooEarly
	// StopEnded means that the replica does not execute it any more.
	StopEnded
	// StopUnreachable means that no connection to the replica can be opened.
	StopUnreachable
)

// StopTiming is when a call that stops a generation is written.
type StopTiming struct {
	// HasStreamEnded means that the stream of the generation has ended before.
	HasStreamEnded bool
	// MayBeCopying means that the replica may still make an earlier copy, and refuse the
	// call.
	MayBeCopying bool
}

// ExplainsEnd reports whether the call ends the stream, so that its end shows that the
// generation was stopped unless the call is refused.
//
// It is built for this load: a replica that leaves has a queue of copies on its link, and
// responds to such a call only once the rest of the KV cache has been transferred.
func (t StopTiming) ExplainsEnd() bool {
	return !t.HasStreamEnded && !t.MayBeCopying
}

// RunState returns the state of the execution.
func (r StopResult) RunState() RunState {
	if r == StopEnded || r == StopUnreachable {
		return RunOver
	}
	return RunUnclear
}

// MayRetry reports whether a further call may tell more.
func (r StopResult) MayRetry() bool {
	return r.RunState() != RunOver
}
