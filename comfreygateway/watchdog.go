package comfreygateway

import (
	"sync"
	"sync/atomic"
	"time"
)

// watchdog calls a function once if nothing has arrived for the timeout. An
// arrival costs one atomic store: the timer is reset only when it fires.
type watchdog struct {
	timeout   time.Duration
	startedAt time.Time
	onTimeout func()
	// lastArrival is the time of the last arrival as nanoseconds since startedAt.
	lastArrival atomic.Int64

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

func startWatchdog(timeout time.Duration, onTimeout func()) *watchdog {
	w := &watchdog{timeout: timeout, startedAt: time.Now(), onTimeout: onTimeout}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(timeout, w.check)
	return w
}

// recordArrival restarts the timeout.
func (w *watchdog) recordArrival() {
	w.lastArrival.Store(int64(time.Since(w.startedAt)))
}

// check runs when the timer fires. It resets the timer if something has arrived
// in the meantime.
func (w *watchdog) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	silence := time.Since(w.startedAt) - time.Duration(w.lastArrival.Load())
	if silence >= w.timeout {
		w.onTimeout()
		return
	}
	w.timer.Reset(w.timeout - silence)
}

// stop stops the watchdog. The function is not called afterwards.
func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}
