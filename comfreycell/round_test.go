package comfreycell

import (
	"testing"
	"time"
)

// TestPlacementsLeaveMostOfALinkToCallers guards against placements that fill the link
// of a gateway, or of those that receive them, so that responses wait behind them.
func TestPlacementsLeaveMostOfALinkToCallers(t *testing.T) {
	const mbit = 1e6 / 8
	for _, c := range []struct {
		link            float64
		receivers, size int
	}{
		{10 * mbit, 25, 250}, {10 * mbit, 25, 2600}, {10 * mbit, 25, 10_000}, {10 * mbit, 1, 2600}, {10 * mbit, 40, 7000},
		{200 * mbit, 25, 2600}, {1000 * mbit, 40, 250}, {1000 * mbit, 3, 5000}, {0, 25, 2600},
	} {
		d := RoundTime(c.size, c.receivers, c.link)
		rate := float64(c.size) / d.Seconds()
		if own := rate * float64(c.receivers); c.link > 0 && own > 1.001*placementLinkShare*c.link {
			t.Errorf("%d bytes to %d receivers on a link of %.0f bytes a second: expected at most %.0f a second, got %.0f", c.size, c.receivers, c.link, placementLinkShare*c.link, own)
		}
		if received := rate * float64(c.receivers); received > 1.001*maxReceivedRate {
			t.Errorf("%d bytes from each of %d gateways: expected at most %.0f bytes a second at a receiver, got %.0f", c.size, c.receivers, maxReceivedRate, received)
		}
		// Others drop placements that are 1.5 s old.
		if d > 900*time.Millisecond {
			t.Errorf("%d bytes to %d receivers on a link of %.0f bytes a second take %v", c.size, c.receivers, c.link, d)
		}
		// The few gateways of a small fleet need not wait.
		if c.receivers <= 3 && c.link > 10*mbit && d > 30*time.Millisecond {
			t.Errorf("%d bytes to %d receivers on a link of %.0f bytes a second take %v", c.size, c.receivers, c.link, d)
		}
	}
}
