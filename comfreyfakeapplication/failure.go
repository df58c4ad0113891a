package comfreyfakeapplication

import (
	"net/http"
	"time"
)

// FailurePoint is where the application crashes on an order.
type FailurePoint int

// The failure points.
const (
	// FailureNone crashes on no order.
	FailureNone FailurePoint = iota
	// FailureBeforeRun crashes when the order is read and has not begun.
	FailureBeforeRun
	// FailureAfterRun crashes when the order has run and before its answer.
	FailureAfterRun
)

// FailNext makes the next order crash the application at the given point.
func (a *Application) FailNext(f FailurePoint) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.failure = f
}

// takeFailure returns the failure that waits for the next order, and ends it.
func (a *Application) takeFailure() FailurePoint {
	a.mu.Lock()
	defer a.mu.Unlock()
	f := a.failure
	a.failure = FailureNone
	return f
}

// Crash ends every running request without an answer. For the given time the
// application answers nothing.
func (a *Application) Crash(down time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.crashes++
	a.downUntil = a.config.Now().Add(down)
	close(a.died)
	a.died = make(chan struct{})
}

// Crashes returns how often the application has crashed.
func (a *Application) Crashes() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.crashes
}

// crashAndAbort crashes the application and drops the caller's connection.
func (a *Application) crashAndAbort() {
	a.Crash(0)
	panic(http.ErrAbortHandler)
}

// isDown reports whether a crash keeps the application from answering.
func (a *Application) isDown() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.config.Now().Before(a.downUntil)
}
