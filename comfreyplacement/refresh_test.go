package comfreyplacement_test

import (
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyplacement"
)

func TestRefresh(t *testing.T) {
	for name, c := range map[string]struct {
		refresh comfreyplacement.Refresh
		want    bool
	}{
		"many tokens are missing": {comfreyplacement.Refresh{MissingTokens: 300, TimeLeft: time.Second}, true},
		"one step of prefill":     {comfreyplacement.Refresh{MissingTokens: 100, TimeLeft: time.Second}, false},
		"the source ends soon":    {comfreyplacement.Refresh{MissingTokens: 300, TimeLeft: 300 * time.Millisecond}, false},
		"others are not copied":   {comfreyplacement.Refresh{MissingTokens: 300, TimeLeft: time.Second, HasWaiting: true}, false},
	} {
		if got := c.refresh.IsWorthwhile(); got != c.want {
			t.Errorf("%s: got %v", name, got)
		}
	}
}

// TestLeavingReplicaCopiesAllInTime replays a replica that leaves within 1.6 s.
// Its eight generations belong to two gateways, and its link transfers one copy
// of 180 ms at a time. All of them must have been copied once before it ends.
func TestLeavingReplicaCopiesAllInTime(t *testing.T) {
	const (
		notice = 1600 * time.Millisecond
		copied = 180 * time.Millisecond
		// tokenTime is the time in which a generation produces a token.
		tokenTime = 10 * time.Millisecond
	)
	// Each gateway requests a copy as soon as its previous one is complete.
	now, first := time.Duration(0), 0
	requested := [2]time.Duration{}
	for waiting := [2]int{4, 4}; now < notice && waiting[0]+waiting[1] > 0; {
		g := 0
		if requested[1] < requested[0] {
			g = 1
		}
		now = max(now, requested[g]) + copied
		if now >= notice {
			break
		}
		first++
		waiting[g]--
		r := comfreyplacement.Refresh{MissingTokens: int((now - requested[g]) / tokenTime), TimeLeft: 4*time.Second - now, HasWaiting: waiting[g] > 0}
		if r.IsWorthwhile() {
			now += copied
		}
		requested[g] = now
	}
	if first != 8 {
		t.Errorf("%d of 8 generations were copied before the replica ended", first)
	}
}
