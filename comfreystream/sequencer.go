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
// DispositionForeign, so that a disposition that was never set delivers
// nothing.
type Disposition int

// The dispositions of a received frame.
const (
	// DispositionForeign means that the frame belongs to another generation.
	// Refuse it.
	DispositionForeign Disposition = iota
	// DispositionDeliver means that the frame is the next one. Deliver it.
	DispositionDeliver
	// DispositionDuplicate means that the frame was delivered before. Drop it.
	DispositionDuplicate
	// DispositionGap means that frames before this one are missing, or that it
	// comes after the end. Refuse it and resume the stream from Next.
	DispositionGap
)

// String returns the kebab-case name of a. An out-of-range value is reported
// as "foreign".
func (d Disposition) String() string {
	switch d {
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

// Sequencer decides which received frames are delivered to the caller. It is
// not safe for concurrent use.
type Sequencer struct {
	generation GenerationID
	next       uint64
	ended      bool
	checker    deliveryChecker
}

// NewSequencer returns a sequencer for the frames of g with numbers greater
// than after, which is 0 for a new stream and the number of the caller's last
// frame for a resumed one.
func NewSequencer(g GenerationID, after uint64) *Sequencer {
	return &Sequencer{generation: g, next: after + 1}
}

// Generation returns the generation whose frames the sequencer delivers.
func (s *Sequencer) Generation() GenerationID {
	return s.generation
}

// Next returns the number of the next frame to deliver.
func (s *Sequencer) Next() uint64 {
	return s.next
}

// Accept returns what to do with a received frame of generation g. After
// DispositionDeliver the caller must deliver it.
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
	s.checker.check(g, f)
	s.next++
	s.ended = f.End
	return DispositionDeliver
}

// SwitchGeneration continues with a generation that was started at another
// upstream. It returns a comfreyverdict.Error with ReasonForeignGeneration if a
// frame was delivered or the stream was resumed, because a response must not be
// spliced from two generations.
func (s *Sequencer) SwitchGeneration(g GenerationID) error {
	if s.next != 1 {
		return comfreyverdict.Ran(comfreyverdict.ReasonForeignGeneration, "frames of the previous generation were already delivered")
	}
	s.generation = g
	return nil
}

// Complete reports whether the complete generation was delivered, that is, up
// to its end frame.
func (s *Sequencer) Complete() bool {
	comfreyinvariant.Check(!s.ended || s.checker.ended, invariantExplicitEnd, "stream is complete without an end frame")
	return s.ended
}

// deliveryChecker checks the invariants of the delivered frames, independently
// of the decision to deliver them.
type deliveryChecker struct {
	generation GenerationID
	lastSeq    uint64
	started    bool
	ended      bool
}

// check asserts that f directly follows the previously delivered frame, in the
// same generation.
func (c *deliveryChecker) check(g GenerationID, f Frame) {
	if c.started {
		comfreyinvariant.Check(g == c.generation, invariantOneGeneration, "delivered a frame of another generation")
		comfreyinvariant.Check(f.Seq == c.lastSeq+1, invariantInOrder, "delivered a frame out of order or twice")
		comfreyinvariant.Check(!c.ended, invariantExplicitEnd, "delivered a frame after the end frame")
	}
	c.generation = g
	c.lastSeq = f.Seq
	c.started = true
	c.ended = f.End
}
