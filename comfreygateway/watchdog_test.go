package comfreygateway

import (
	"testing"
	"testing/synctest"
	"time"
)

// Arrivals must postpone the timeout, and a stopped watchdog must not fire.
func TestWatchdogFiresAfterLastArrival(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		startedAt := time.Now()
		var firedAfter time.Duration
		w := startWatchdog(time.Second, func() { firedAfter = time.Since(startedAt) })
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			w.recordArrival()
		}
		time.Sleep(time.Minute)
		synctest.Wait()
		if firedAfter != 6*time.Second {
			t.Errorf("fired after %s, want 6 s: the last arrival was at 5 s", firedAfter)
		}
		w.stop()
		calls := 0
		w = startWatchdog(time.Second, func() { calls++ })
		w.stop()
		time.Sleep(time.Minute)
		synctest.Wait()
		if calls != 0 {
			t.Error("a stopped watchdog fired")
		}
	})
}
