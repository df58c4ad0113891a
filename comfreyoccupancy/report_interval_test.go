package comfreyoccupancy_test

import (
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyoccupancy"
)

func TestReportInterval(t *testing.T) {
	for name, c := range map[string]struct {
		gateways int
		storeAge time.Duration
		want     time.Duration
	}{
		"small fleet":                {4, 0, 4 * time.Second},
		"cell of a large fleet":      {20, 700 * time.Millisecond, 8 * time.Second},
		"alone, store is silent":     {1, time.Second, 250 * time.Millisecond},
		"cell, store is silent":      {20, time.Second, 5 * time.Second},
		"cell, store is a bit stale": {20, 900 * time.Millisecond, 8 * time.Second},
	} {
		if got := comfreyoccupancy.ReportInterval(c.gateways, c.storeAge); got != c.want {
			t.Errorf("%s: got %v, want %v", name, got, c.want)
		}
	}
}

// TestLeavingEngineIsNoticedWhileStoreIsSilent replays a store that falls silent
// at the moment at which an engine begins to leave with 1.54 s of notice. The
// gateways of a cell fetch its report in turn; the first one after that moment
// must leave 0.3 s for a copy, whatever the size of the cell.
func TestLeavingEngineIsNoticedWhileStoreIsSilent(t *testing.T) {
	const notice, copyTime, step = 1540 * time.Millisecond, 300 * time.Millisecond, time.Millisecond
	for _, gateways := range []int{1, 4, 26, 40} {
		noticed := notice
		// The store confirmed the cache just before. Gateway i begins at its
		// share of the interval.
		next := make([]time.Duration, gateways)
		for i := range next {
			next[i] = -1
		}
		for now := time.Duration(0); now < notice && noticed == notice; now += step {
			interval := comfreyoccupancy.ReportInterval(gateways, now)
			if interval > time.Duration(gateways)*300*time.Millisecond {
				continue // The store is not known to be silent yet.
			}
			for i := range next {
				if next[i] < 0 {
					next[i] = now + interval*time.Duration(i+1)/time.Duration(gateways)
				}
				if now >= next[i] {
					noticed = min(noticed, now)
				}
			}
		}
		if noticed > notice-copyTime {
			t.Errorf("%d gateways notice after %v, want at most %v", gateways, noticed, notice-copyTime)
		}
	}
}

// TestEngineThatRespondsNeedsNoReport checks when reports are fetched from engines whose
// responses are known, and that all are while the store does not respond.
func TestEngineThatRespondsNeedsNoReport(t *testing.T) {
	for _, c := range []struct {
		sinceResponse, storeAge time.Duration
		want                    bool
	}{{time.Second, 200 * time.Millisecond, false}, {4 * time.Second, 200 * time.Millisecond, true}, {time.Second, 2 * time.Second, true}} {
		if got := comfreyoccupancy.NeedsReport(c.sinceResponse, c.storeAge); got != c.want {
			t.Errorf("%v after a response, store age %v: expected %v, got %v", c.sinceResponse, c.storeAge, c.want, got)
		}
	}
}
