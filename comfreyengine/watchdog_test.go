package comfreyengine

import (
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

const watchTimeout = time.Second

func TestWatchdogCancelsOnlyAWaitingRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var cancelled atomic.Bool
		w := newWatchdog(watchTimeout, func() { cancelled.Store(true) })
		defer w.stop()
		time.Sleep(10 * watchTimeout)
		if cancelled.Load() || w.isExpired() {
			t.Error("cancelled without a waiting read")
		}
		w.beginRead()
		for range 10 {
			time.Sleep(watchTimeout * 9 / 10)
			w.endRead()
			w.beginRead()
		}
		if cancelled.Load() || w.isExpired() {
			t.Error("cancelled although reads ended in time")
		}
		time.Sleep(2*watchTimeout + 1)
		if !cancelled.Load() || !w.isExpired() {
			t.Error("a read without data was not cancelled")
		}
	})
}

func TestStoppedWatchdogCancelsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWatchdog(watchTimeout, func() { t.Error("cancelled") })
		w.beginRead()
		w.stop()
		time.Sleep(10 * watchTimeout)
	})
}

// TestCommentsKeepStreamOpen sends only comments for several timeouts; they
// must reset the watchdog.
func TestCommentsKeepStreamOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, w := io.Pipe()
		s := textStream("")
		s.connection.reader = newLineReader(r, 1<<16)
		s.connection.watchdog = newWatchdog(watchTimeout, func() { _ = r.Close() })
		go func() {
			for range 10 {
				time.Sleep(watchTimeout * 9 / 10)
				_, _ = io.WriteString(w, ": wait\n\n")
			}
			_, _ = io.WriteString(w, tokenEvent+finishEvent+doneEvent)
			_ = w.Close()
		}()
		if err := readToEnd(s); err != io.EOF || s.Tokens() != 1 {
			t.Errorf("got %v after %d tokens", err, s.Tokens())
		}
	})
}
