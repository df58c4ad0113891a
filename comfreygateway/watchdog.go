package comfreygateway

import (
	"sync"
	"sync/atomic"
	"time"
)

// watchdog calls a function once nothing has arrived for a limit. An arrival
// costs one store: the timer is moved only when it fires.
type watchdog struct {
	limit  time.Duration
	began  time.Time
	silent func()
	// last is the time of the last arrival since began.
	last atomic.Int64

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

func startWatchdog(limit time.Duration, silent func()) *watchdog {
	w := &watchdog{limit: limit, began: time.Now(), silent: silent}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(limit, w.check)
	return w
}

// arrived begins the limit anew.
func (w *watchdog) arrived() {
	w.last.Store(int64(time.Since(w.began)))
}

// check runs when the timer fires.
func (w *watchdog) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	idle := time.Since(w.began) - time.Duration(w.last.Load())
	if idle >= w.limit {
		w.silent()
		return
	}
	w.timer.Reset(w.limit - idle)
}

// stop ends the watch. The function does not run afterwards.
func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}
