package comfreystream

import (
	"comfreyridge.example/comfreyridge/comfreyinvariant"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// The invariants of a delivered stream.
const (
	invariantInOrder       comfreyinvariant.Name = "stream-once-in-order"
	invariantOneGeneration comfreyinvariant.Name = "stream-one-generation"
	invariantExplicitEnd   comfreyinvariant.Name = "stream-explicit-end"
)

// Disposition says what to do with a received frame. The zero value is
// AcceptanceForeign, which delivers nothing.
type Disposition int

// The ways to treat a received frame.
const (
	// DispositionForeign means that the frame belongs to another generation:
	// refuse it.
	DispositionForeign Disposition = iota
	// DispositionDeliver means that the frame is the next one: deliver it.
	DispositionDeliver
	// DispositionDuplicate means that the frame was delivered before: drop it.
	DispositionDuplicate
	// DispositionGap means that frames before it are missing, or that it lies
	// beyond the end: refuse it and resume from Next.
	DispositionGap
)

// String returns the kebab-case name of a. An out-of-range value is reported
// as "foreign".
func (a Disposition) String() string {
	switch a {
	case DispositionDeliver:
		return "deliver"
	case DispositionDuplicate:
		return "duplicate"
	case DispositionGap:
		return "gap"
	default:
		return "foreign"
	}
}

// Sequencer decides which received frames reach the caller. A Sequencer is
// not safe for concurrent use.
type Sequencer struct {
	generation GenerationID
	next       uint64
	ended      bool
	audit      audit
}

// NewSequencer returns a sequencer for the frames of g after number after,
// which is 0 for a new stream and the caller's last event for a resumed one.
func NewSequencer(g GenerationID, after uint64) *Sequencer {
	return &Sequencer{generation: g, next: after + 1}
}

// Generation returns the generation whose frames are delivered.
func (s *Sequencer) Generation() GenerationID {
	return s.generation
}

// Next returns the number of the frame that is delivered next.
func (s *Sequencer) Next() uint64 {
	return s.next
}

// Accept says what to do with a frame of generation g.
func (s *Sequencer) Accept(g GenerationID, f Frame) Disposition {
	if g != s.generation {
		return DispositionForeign
	}
	if f.Seq < s.next {
		return DispositionDuplicate
	}
	if f.Seq > s.next || s.ended {
		return DispositionGap
	}
	s.audit.deliver(g, f)
	s.next++
	s.ended = f.End
	return DispositionDeliver
}

// SwitchGeneration changes to a generation that was started elsewhere. It refuses with
// reason foreign-generation once a frame was delivered or resumed from,
// because two generations must not be spliced.
func (s *Sequencer) SwitchGeneration(g GenerationID) error {
	if s.next != 1 {
		return comfreyverdict.Ran(comfreyverdict.ReasonForeignGeneration, "frames of another generation were delivered")
	}
	s.generation = g
	return nil
}

// Complete reports whether the whole generation was delivered, which only its
// end frame can say.
func (s *Sequencer) Complete() bool {
	comfreyinvariant.Check(!s.ended || s.audit.ended, invariantExplicitEnd, "complete without an end frame")
	return s.ended
}

// audit watches what is delivered, independently of the decision to deliver.
type audit struct {
	generation GenerationID
	last       uint64
	begun      bool
	ended      bool
}

// deliver asserts that f follows the frame before it in the same generation.
func (a *audit) deliver(g GenerationID, f Frame) {
	if a.begun {
		comfreyinvariant.Check(g == a.generation, invariantOneGeneration, "delivered another generation")
		comfreyinvariant.Check(f.Seq == a.last+1, invariantInOrder, "delivered out of order or twice")
		comfreyinvariant.Check(!a.ended, invariantExplicitEnd, "delivered after the end")
	}
	a.generation = g
	a.last = f.Seq
	a.begun = true
	a.ended = f.End
}
