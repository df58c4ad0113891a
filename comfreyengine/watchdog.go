package comfreyengine

import (
	"context"
	"math"
	"sync/atomic"
	"time"
)

// watchdog cancels a read that receives no data for one to two timeouts. It
// checks the reads once per timeout, so that no read needs a timer of its own.
type watchdog struct {
	timeout time.Duration
	cancel  context.CancelFunc
	timer   *time.Timer
	// reads is odd while a read is waiting. It grows with every read.
	reads     atomic.Uint64
	lastReads uint64
	expired   atomic.Bool
	stopped   atomic.Bool
}

// newWatchdog returns a watchdog that checks the reads until stop is called. A
// timeout of zero or below disables it.
func newWatchdog(timeout time.Duration, cancel context.CancelFunc) *watchdog {
	w := &watchdog{timeout: timeout, cancel: cancel}
	if timeout <= 0 {
		return w
	}
	// The timer must be assigned before it can fire, because check resets it.
	w.timer = time.AfterFunc(math.MaxInt64, w.check)
	w.timer.Reset(timeout)
	return w
}

// check cancels the read if it has been waiting since the previous check.
func (w *watchdog) check() {
	n := w.reads.Load()
	if n%2 == 1 && n == w.lastReads {
		w.expired.Store(true)
		w.cancel()
		return
	}
	w.lastReads = n
	if !w.stopped.Load() {
		w.timer.Reset(w.timeout)
	}
}

// beginRead records that a read is waiting.
func (w *watchdog) beginRead() {
	w.reads.Add(1)
}

// endRead records that the read has ended.
func (w *watchdog) endRead() {
	w.reads.Add(1)
}

// reset records that data has arrived while the read is still waiting.
func (w *watchdog) reset() {
	w.reads.Add(2)
}

// stop ends the checks.
func (w *watchdog) stop() {
	w.stopped.Store(true)
	if w.timer != nil {
		w.timer.Stop()
	}
}

// isExpired reports whether the watchdog has cancelled a read.
func (w *watchdog) isExpired() bool {
	return w.expired.Load()
}
