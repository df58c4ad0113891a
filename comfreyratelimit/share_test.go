package comfreyratelimit_test

import (
	"math"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyratelimit"
)

// TestReportsUseASmallPartOfTheRate checks the load reports of fleets of several sizes,
// which fetch a report each interval without a limit.
func TestReportsUseASmallPartOfTheRate(t *testing.T) {
	const interval = 2 * time.Second
	for _, gateways := range []int{0, 1, 3, 31, 100} {
		for _, perSecond := range []float64{0.1, 2, 60, 1e5} {
			n := float64(max(gateways, 1))
			p := comfreyratelimit.ReportProbability(perSecond, interval, gateways)
			got, most := p*n/interval.Seconds(), min(0.1*perSecond, n/interval.Seconds())
			if p < 0 || p > 1 || math.Abs(got-most) > 1e-9 {
				t.Errorf("%d gateways, %v a second: expected %v reports a second, got %v", gateways, perSecond, most, got)
			}
		}
	}
}

func TestMaxReturnWait(t *testing.T) {
	for left, want := range map[time.Duration]time.Duration{3 * time.Second: time.Second, 0: 0, -time.Second: 0} {
		if got := comfreyratelimit.MaxReturnWait(left); got != want {
			t.Errorf("%v left: expected %v, got %v", left, want, got)
		}
	}
}
