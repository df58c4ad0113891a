package comfreystream

import (
	"fmt"

	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// Frame is one numbered part of a generation.
type Frame struct {
	// Seq is the sequence number, from 1, without gaps.
	Seq uint64
	// Payload is opaque. Its owner must not change it.
	Payload []byte
	// End says that this is the last frame of the generation.
	End bool
}

// Defaults and costs of a Replay.
const (
	defaultWindowBytes = 256 << 10
	defaultRetainBytes = 64 << 10
	frameOverheadBytes = 40
)

// ReplayWindowConfig holds the bounds of a Replay. The zero value of each field
// selects its default.
type ReplayWindowConfig struct {
	// MaxBytes bounds all kept frames, with their overhead; the default is
	// 256 KiB.
	MaxBytes int
	// MaxAcknowledgedBytes bounds the kept frames that were acknowledged. They are kept
	// at all because a gateway may acknowledge and die before its caller has
	// them; the default is 64 KiB.
	MaxAcknowledgedBytes int
}

// ReplayWindow keeps the latest frames of one generation so that a receiver whose
// connection was lost can resume. The newest frame is always kept, so the end
// of a generation is never lost. A ReplayWindow is not safe for concurrent use.
type ReplayWindow struct {
	config       ReplayWindowConfig
	frames       []Frame
	start        int
	next         uint64
	acknowledged uint64
	keptBytes    int
	ackedBytes   int
	ended        bool
}

// NewReplayWindow returns an empty window whose first frame will have number 1.
func NewReplayWindow(c ReplayWindowConfig) *ReplayWindow {
	if c.MaxBytes <= 0 {
		c.MaxBytes = defaultWindowBytes
	}
	if c.MaxAcknowledgedBytes <= 0 {
		c.MaxAcknowledgedBytes = defaultRetainBytes
	}
	return &ReplayWindow{config: c, next: 1}
}

// Append numbers, copies and keeps one frame and returns it. It returns an
// error after the end.
func (r *ReplayWindow) Append(payload []byte) (Frame, error) {
	return r.append(payload, false)
}

// End appends the last frame of the generation.
func (r *ReplayWindow) End(payload []byte) (Frame, error) {
	return r.append(payload, true)
}

func (r *ReplayWindow) append(payload []byte, end bool) (Frame, error) {
	if r.ended {
		return Frame{}, fmt.Errorf("comfreystream: frame after the end, which was frame %d", r.next-1)
	}
	p := make([]byte, len(payload))
	copy(p, payload)
	f := Frame{Seq: r.next, Payload: p, End: end}
	r.next++
	r.ended = end
	r.compact()
	r.frames = append(r.frames, f)
	r.keptBytes += cost(f)
	r.evict()
	return f, nil
}

// Acknowledge records that the receiver has every frame up to seq. A number
// beyond the last frame is taken as the last frame.
func (r *ReplayWindow) Acknowledge(seq uint64) {
	seq = min(seq, r.next-1)
	if seq <= r.acknowledged {
		return
	}
	for n := max(r.acknowledged+1, r.oldest()); n <= seq; n++ {
		r.ackedBytes += cost(r.frames[r.index(n)])
	}
	r.acknowledged = seq
	r.evict()
}

// From returns the frames from seq on, which may be none. A comfreyverdict
// error with reason replay-window-passed says that frame seq is not kept any
// more, and one with reason sequence-gap that it lies beyond the next frame.
func (r *ReplayWindow) From(seq uint64) ([]Frame, error) {
	return r.AppendFrom(nil, seq)
}

// AppendFrom appends the result of From to s.
func (r *ReplayWindow) AppendFrom(s []Frame, seq uint64) ([]Frame, error) {
	seq = max(seq, 1)
	if seq > r.next {
		return s, comfreyverdict.Ran(comfreyverdict.ReasonSequenceGap, fmt.Sprintf("frame %d is asked for and %d is the next", seq, r.next))
	}
	if seq < r.oldest() {
		return s, comfreyverdict.Ran(comfreyverdict.ReasonReplayWindowPassed, fmt.Sprintf("frame %d is asked for and %d is the oldest kept", seq, r.oldest()))
	}
	return append(s, r.frames[r.index(seq):]...), nil
}

// Next returns the number of the next frame.
func (r *ReplayWindow) Next() uint64 {
	return r.next
}

// Ended reports whether the last frame was appended.
func (r *ReplayWindow) Ended() bool {
	return r.ended
}

// SizeBytes returns the size of the kept frames, with their overhead.
func (r *ReplayWindow) SizeBytes() int {
	return r.keptBytes
}

// oldest returns the number of the oldest kept frame.
func (r *ReplayWindow) oldest() uint64 {
	return r.next - uint64(len(r.frames)-r.start)
}

// index returns where frame seq is kept; it must be at least the oldest.
func (r *ReplayWindow) index(seq uint64) int {
	return r.start + int(seq-r.oldest())
}

// evict drops the oldest frames until the bounds hold, but never the newest.
func (r *ReplayWindow) evict() {
	for r.start < len(r.frames)-1 {
		f := r.frames[r.start]
		acked := f.Seq <= r.acknowledged
		if r.keptBytes <= r.config.MaxBytes && !(acked && r.ackedBytes > r.config.MaxAcknowledgedBytes) {
			return
		}
		r.keptBytes -= cost(f)
		if acked {
			r.ackedBytes -= cost(f)
		}
		r.frames[r.start] = Frame{}
		r.start++
	}
}

// compact moves the kept frames to the front when the free part is the larger
// one, so that appending reuses the memory.
func (r *ReplayWindow) compact() {
	if r.start == 0 || len(r.frames) < cap(r.frames) || r.start < len(r.frames)/2 {
		return
	}
	n := copy(r.frames, r.frames[r.start:])
	clear(r.frames[n:])
	r.frames = r.frames[:n]
	r.start = 0
}

func cost(f Frame) int {
	return len(f.Payload) + frameOverheadBytes
}
