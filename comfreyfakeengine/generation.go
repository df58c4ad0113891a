package comfreyfakeengine

import (
	"time"
)

// phase is where a generation stands.
type phase int

const (
	phaseWaiting phase = iota
	phaseRunning
	phaseFinished
	phaseCancelled
	phaseLost
)

// over reports whether the generation will emit no further token.
func (p phase) over() bool {
	return p >= phaseFinished
}

// generation is one answer in the making. It is guarded by the engine's mutex,
// but for the fields above the blank line, which never change.
type generation struct {
	id           string
	mark         string
	request      string
	chat         bool
	model        string
	priority     int
	arrival      uint64
	promptTokens int
	blocks       []uint64
	length       int
	finish       string
	poison       bool

	phase   phase
	began   bool
	emitted int
	// uncomputed counts the tokens to prefill before the next token.
	uncomputed int
	// wake belongs to the connection that reads the generation.
	wake   chan struct{}
	linger *time.Timer
}

// usedTokens returns the token memory that g takes while it runs.
func (g *generation) usedTokens() int {
	return g.promptTokens + g.emitted
}

// signal wakes the reader.
func (g *generation) signal() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// before reports whether g is served before h: a smaller priority number goes
// first, then the earlier arrival.
func (g *generation) before(h *generation) bool {
	if g.priority != h.priority {
		return g.priority < h.priority
	}
	return g.arrival < h.arrival
}
