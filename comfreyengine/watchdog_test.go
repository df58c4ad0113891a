package comfreyengine

import (
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

const watchLimit = time.Second

func TestWatchdogCancelsOnlyAWaitingRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var cancelled atomic.Bool
		w := newWatchdog(watchLimit, func() { cancelled.Store(true) })
		defer w.stop()
		time.Sleep(10 * watchLimit)
		if cancelled.Load() || w.isSilent() {
			t.Error("cancelled while nobody read")
		}
		w.enter()
		for range 10 {
			time.Sleep(watchLimit * 9 / 10)
			w.leave()
			w.enter()
		}
		if cancelled.Load() || w.isSilent() {
			t.Error("cancelled while reads ended")
		}
		time.Sleep(2*watchLimit + 1)
		if !cancelled.Load() || !w.isSilent() {
			t.Error("a silent read goes on")
		}
	})
}

func TestStoppedWatchdogCancelsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWatchdog(watchLimit, func() { t.Error("cancelled") })
		w.enter()
		w.stop()
		time.Sleep(10 * watchLimit)
	})
}

// TestCommentsKeepAStream sends only comments for many limits.
func TestCommentsKeepAStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, w := io.Pipe()
		s := textStream("")
		s.connection.reader = newLineReader(r, 1<<16)
		s.connection.watchdog = newWatchdog(watchLimit, func() { _ = r.Close() })
		go func() {
			for range 10 {
				time.Sleep(watchLimit * 9 / 10)
				_, _ = io.WriteString(w, ": wait\n\n")
			}
			_, _ = io.WriteString(w, tokenEvent+finishEvent+doneEvent)
			_ = w.Close()
		}()
		if err := drainAll(s); err != io.EOF || s.Tokens() != 1 {
			t.Errorf("%v after %d tokens", err, s.Tokens())
		}
	})
}
