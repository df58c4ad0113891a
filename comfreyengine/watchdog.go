package comfreyengine

import (
	"context"
	"math"
	"sync/atomic"
	"time"
)

// watchdog cancels a read on which nothing arrives for a while. It looks at the
// reads once in each limit, so that a read costs no timer; a silence is noticed
// after one to two limits.
type watchdog struct {
	limit  time.Duration
	cancel context.CancelFunc
	timer  *time.Timer
	// reads is odd while a read waits. It grows with every read.
	reads   atomic.Uint64
	seen    uint64
	silent  atomic.Bool
	stopped atomic.Bool
}

// newWatchdog returns a watchdog that looks until stop. A limit of zero or
// below never cancels.
func newWatchdog(limit time.Duration, cancel context.CancelFunc) *watchdog {
	w := &watchdog{limit: limit, cancel: cancel}
	if limit <= 0 {
		return w
	}
	// The timer is set before it can fire, since look resets it.
	w.timer = time.AfterFunc(math.MaxInt64, w.look)
	w.timer.Reset(limit)
	return w
}

// look cancels the read that has waited since the last look.
func (w *watchdog) look() {
	n := w.reads.Load()
	if n%2 == 1 && n == w.seen {
		w.silent.Store(true)
		w.cancel()
		return
	}
	w.seen = n
	if !w.stopped.Load() {
		w.timer.Reset(w.limit)
	}
}

// enter notes that a read waits.
func (w *watchdog) enter() {
	w.reads.Add(1)
}

// leave notes that the read has ended.
func (w *watchdog) leave() {
	w.reads.Add(1)
}

// feed notes that the read goes on and that something has arrived.
func (w *watchdog) feed() {
	w.reads.Add(2)
}

// stop ends the looking.
func (w *watchdog) stop() {
	w.stopped.Store(true)
	if w.timer != nil {
		w.timer.Stop()
	}
}

// isSilent reports whether a read was cancelled.
func (w *watchdog) isSilent() bool {
	return w.silent.Load()
}
