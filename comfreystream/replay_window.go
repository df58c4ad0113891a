package comfreystream

import (
	"fmt"

	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// Frame is a numbered part of a generation's output.
type Frame struct {
	// Seq is the sequence number, from 1, without gaps.
	Seq uint64
	// Payload is opaque and must not be modified.
	Payload []byte
	// End reports whether this is the last frame of the generation.
	End bool
}

// The defaults of ReplayWindowConfig, and the bytes counted for a frame in
// addition to its payload.
const (
	defaultMaxBytes             = 256 << 10
	defaultMaxAcknowledgedBytes = 64 << 10
	frameOverheadBytes          = 40
)

// ReplayWindowConfig holds the limits of a ReplayWindow. The zero value of each
// field selects its default.
type ReplayWindowConfig struct {
	// MaxBytes limits all retained frames, with their overhead. The default is
	// 256 KiB.
	MaxBytes int
	// MaxAcknowledgedBytes limits the retained frames that were acknowledged. Some
	// are retained because a gateway may acknowledge frames and crash before its
	// caller has received them. The default is 64 KiB.
	MaxAcknowledgedBytes int
}

// ReplayWindow retains the latest frames of one generation so that a receiver
// whose connection was lost can resume. The newest frame is always retained, so
// the end of a generation is never lost. A ReplayWindow is not safe for
// concurrent use.
type ReplayWindow struct {
	config            ReplayWindowConfig
	frames            []Frame
	start             int
	next              uint64
	acknowledged      uint64
	retainedBytes     int
	acknowledgedBytes int
	ended             bool
}

// NewReplayWindow returns an empty window whose first frame will have number 1.
func NewReplayWindow(c ReplayWindowConfig) *ReplayWindow {
	if c.MaxBytes <= 0 {
		c.MaxBytes = defaultMaxBytes
	}
	if c.MaxAcknowledgedBytes <= 0 {
		c.MaxAcknowledgedBytes = defaultMaxAcknowledgedBytes
	}
	return &ReplayWindow{config: c, next: 1}
}

// Append adds a frame with the next number and a copy of payload, and returns
// it. It returns an error after End.
func (r *ReplayWindow) Append(payload []byte) (Frame, error) {
	return r.append(payload, false)
}

// End appends the last frame of the generation, as Append does.
func (r *ReplayWindow) End(payload []byte) (Frame, error) {
	return r.append(payload, true)
}

func (r *ReplayWindow) append(payload []byte, end bool) (Frame, error) {
	if r.ended {
		return Frame{}, fmt.Errorf("comfreystream: cannot append a frame: the generation ended with frame %d", r.next-1)
	}
	p := make([]byte, len(payload))
	copy(p, payload)
	f := Frame{Seq: r.next, Payload: p, End: end}
	r.next++
	r.ended = end
	r.compact()
	r.frames = append(r.frames, f)
	r.retainedBytes += frameBytes(f)
	r.evict()
	return f, nil
}

// Acknowledge records that the receiver has every frame up to seq. A number
// greater than that of the last frame counts as the last frame's.
func (r *ReplayWindow) Acknowledge(seq uint64) {
	seq = min(seq, r.next-1)
	if seq <= r.acknowledged {
		return
	}
	for n := max(r.acknowledged+1, r.oldest()); n <= seq; n++ {
		r.acknowledgedBytes += frameBytes(r.frames[r.index(n)])
	}
	r.acknowledged = seq
	r.evict()
}

// From returns the frames from number seq on; there may be none. It returns a
// comfreyverdict.Error with ReasonReplayWindowPassed if frame seq is no longer
// retained, and with ReasonSequenceGap if seq is greater than Next.
func (r *ReplayWindow) From(seq uint64) ([]Frame, error) {
	return r.AppendFrom(nil, seq)
}

// AppendFrom appends the result of From to s.
func (r *ReplayWindow) AppendFrom(s []Frame, seq uint64) ([]Frame, error) {
	seq = max(seq, 1)
	if seq > r.next {
		return s, comfreyverdict.Ran(comfreyverdict.ReasonSequenceGap, fmt.Sprintf("frame %d was requested, but the next frame is %d", seq, r.next))
	}
	if seq < r.oldest() {
		return s, comfreyverdict.Ran(comfreyverdict.ReasonReplayWindowPassed, fmt.Sprintf("frame %d was requested, but the oldest retained frame is %d", seq, r.oldest()))
	}
	return append(s, r.frames[r.index(seq):]...), nil
}

// Next returns the number of the next frame.
func (r *ReplayWindow) Next() uint64 {
	return r.next
}

// Ended reports whether the last frame of the generation was appended.
func (r *ReplayWindow) Ended() bool {
	return r.ended
}

// SizeBytes returns the size of the retained frames, with their overhead.
func (r *ReplayWindow) SizeBytes() int {
	return r.retainedBytes
}

// oldest returns the number of the oldest retained frame.
func (r *ReplayWindow) oldest() uint64 {
	return r.next - uint64(len(r.frames)-r.start)
}

// index returns the index of frame seq in r.frames. The frame must be retained.
func (r *ReplayWindow) index(seq uint64) int {
	return r.start + int(seq-r.oldest())
}

// evict drops the oldest frames until the limits are met, but never the newest.
func (r *ReplayWindow) evict() {
	for r.start < len(r.frames)-1 {
		f := r.frames[r.start]
		acked := f.Seq <= r.acknowledged
		if r.retainedBytes <= r.config.MaxBytes && !(acked && r.acknowledgedBytes > r.config.MaxAcknowledgedBytes) {
			return
		}
		r.retainedBytes -= frameBytes(f)
		if acked {
			r.acknowledgedBytes -= frameBytes(f)
		}
		r.frames[r.start] = Frame{}
		r.start++
	}
}

// compact moves the retained frames to the start of a full slice if at least
// half of it is free, so that append reuses the memory.
func (r *ReplayWindow) compact() {
	if r.start == 0 || len(r.frames) < cap(r.frames) || r.start < len(r.frames)/2 {
		return
	}
	n := copy(r.frames, r.frames[r.start:])
	clear(r.frames[n:])
	r.frames = r.frames[:n]
	r.start = 0
}

func frameBytes(f Frame) int {
	return len(f.Payload) + frameOverheadBytes
}
