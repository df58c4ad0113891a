package comfreyrelay

import (
	"fmt"
	"net"
	"time"
)

// Direction is a direction of a connection.
type Direction int

// The directions.
const (
	// DirectionBoth selects both directions.
	DirectionBoth Direction = iota
	// DirectionToTarget selects the bytes from the caller to the target.
	DirectionToTarget
	// DirectionToCaller selects the bytes from the target to the caller.
	DirectionToCaller
)

// covers reports whether d selects the single direction s.
func (d Direction) covers(s Direction) bool {
	return d == DirectionBoth || d == s
}

// Mode says what becomes of the bytes of a silent connection.
type Mode int

// The modes.
const (
	// ModeDiscard reads and discards the bytes, so that the sender's writes
	// succeed.
	ModeDiscard Mode = iota
	// ModeBlock stops reading, so that the sender's writes block once the
	// buffers are full.
	ModeBlock
)

// cutPoint is the count of bytes in a direction after which a connection is
// closed.
type cutPoint struct {
	direction Direction
	bytes     int
}

// Freeze silences the established connections for good. New ones work. Neither
// end learns that the other has closed a direction that is silent.
func (r *Relay) Freeze(d Direction, m Mode) {
	for _, p := range r.established() {
		p.freeze(d, m)
	}
}

// Cut closes the established connections. New ones work.
func (r *Relay) Cut() {
	for _, p := range r.established() {
		p.close()
	}
}

// CutAfter closes each new connection once n bytes have passed in the given
// direction, until Restore. It panics if d is DirectionBoth or n is negative.
func (r *Relay) CutAfter(d Direction, n int) {
	if d == DirectionBoth || n < 0 {
		panic("comfreyrelay: CutAfter needs one direction and a count of bytes")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults.cut = &cutPoint{direction: d, bytes: n}
}

// Refuse refuses new connections until Restore. Established ones go on.
func (r *Relay) Refuse() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listener != nil {
		_ = r.listener.Close()
		r.listener = nil
	}
}

// Delay holds back each block of bytes of new connections for d, until
// Restore.
func (r *Relay) Delay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults.delay = d
}

// Restore ends Refuse, Delay and CutAfter. Silent connections stay silent.
func (r *Relay) Restore() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = faults{}
	if r.listener != nil || r.closed {
		return nil
	}
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return fmt.Errorf("comfreyrelay: %w", err)
	}
	r.listen(l)
	return nil
}

// established returns the connections that are open now.
func (r *Relay) established() []*pair {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := make([]*pair, 0, len(r.pairs))
	for p := range r.pairs {
		s = append(s, p)
	}
	return s
}
