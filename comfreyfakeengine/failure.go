package comfreyfakeengine

import (
	"bytes"
	"sync/atomic"
	"time"
)

// PoisonText crashes the engine that begins to compute a prompt with it.
const PoisonText = "poison-pill"

// failures holds the switches that are read without the engine's mutex.
type failures struct {
	loadMissing atomic.Bool
}

func isPoison(prompt []byte) bool {
	return bytes.Contains(prompt, []byte(PoisonText))
}

// Crash drops every connection and every generation. For the given time the
// engine answers nothing; then it serves under a new identity.
func (e *Engine) Crash(down time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash(down)
}

// crash is Crash for a caller that holds e.mu.
func (e *Engine) crash(down time.Duration) {
	for _, g := range e.generations {
		e.drop(g, phaseLost)
	}
	e.downUntil = e.config.Now().Add(down)
	e.incarnation++
	e.crashes++
	e.reset()
}

// Crashes returns how often the engine has crashed.
func (e *Engine) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashes
}

// Stall stops the engine's steps until Resume, while its connections stay open.
func (e *Engine) Stall() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stalled = true
}

// Resume ends a stall.
func (e *Engine) Resume() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stalled = false
	e.poke()
}

// Preempt preempts the running generation that is last in serving order. It
// reports false if none runs.
func (e *Engine) Preempt() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.batch.running) == 0 {
		return false
	}
	e.batch.preempt(e.batch.last())
	e.poke()
	return true
}

// Reclaim announces in the state that the platform takes the engine back, and
// crashes it for good after the notice.
func (e *Engine) Reclaim(notice time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reclaimed = true
	if e.reclaim != nil {
		e.reclaim.Stop()
	}
	e.reclaim = time.AfterFunc(notice, func() { e.Crash(forever) })
}

// forever is longer than any test or demonstration runs.
const forever = 100 * 365 * 24 * time.Hour

// SetLoadMissing makes the engine publish no load reports while b is true.
func (e *Engine) SetLoadMissing(b bool) {
	e.failures.loadMissing.Store(b)
}

// isDown reports whether a crash keeps the engine from answering.
func (e *Engine) isDown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.config.Now().Before(e.downUntil)
}
