package comfreygateway

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestWatchdog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		var silentAt time.Duration
		w := startWatchdog(time.Second, func() { silentAt = time.Since(began) })
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			w.arrived()
		}
		time.Sleep(time.Minute)
		if silentAt != 6*time.Second {
			t.Errorf("silent after %s, want 6 s: the last arrival was at 5 s", silentAt)
		}
		w.stop()
		calls := 0
		w = startWatchdog(time.Second, func() { calls++ })
		w.stop()
		time.Sleep(time.Minute)
		if calls != 0 {
			t.Error("a stopped watchdog fired")
		}
	})
}
