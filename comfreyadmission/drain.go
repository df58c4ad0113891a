package comfreyadmission

import (
	"math"
	"time"
)

const (
	// drainWindow is the time constant of the smoothed token rate.
	drainWindow = 5 * time.Second
	// minimumRate keeps a wait finite while nothing was measured, in tokens a
	// second.
	minimumRate = 100
	// gapWeight is the weight of one more gap in the smoothed inter-token time.
	gapWeight = 0.005
	// biasWeight is the weight of one more wait in the correction of the
	// estimate, which stays between the two limits.
	biasWeight  = 0.02
	lowestBias  = 0.5
	highestBias = 2
	// biasWait is the least estimate that corrects the later ones.
	biasWait = time.Second
)

// drain measures how fast the engine works its requests off.
type drain struct {
	last    time.Time
	rate    float64 // tokens a second
	pending int     // tokens since last
	gap     float64 // seconds between two tokens of a generation
	bias    float64 // real waits over estimated ones; zero stands for 1
}

// tokens counts n generated tokens, the last of them after gap.
func (d *drain) tokens(now time.Time, n int, gap time.Duration) {
	g := gap.Seconds() / float64(n)
	if d.gap == 0 {
		d.gap = g
	}
	d.gap += gapWeight * (g - d.gap)
	if d.last.IsZero() {
		d.last = now
	}
	d.pending += n
	t := now.Sub(d.last)
	if t < drainWindow/50 {
		return
	}
	w := 1 - math.Exp(-t.Seconds()/drainWindow.Seconds())
	d.rate += w * (float64(d.pending)/t.Seconds() - d.rate)
	d.pending = 0
	d.last = now
}

// waited compares the wait of a request with its estimate.
func (d *drain) waited(real, estimated time.Duration) {
	if estimated < biasWait {
		return
	}
	b := d.correction()
	x := b * real.Seconds() / estimated.Seconds()
	d.bias = min(max(b+biasWeight*(x-b), lowestBias), highestBias)
}

// correction returns the factor of estimated waits.
func (d *drain) correction() float64 {
	if d.bias == 0 {
		return 1
	}
	return d.bias
}

// tokenRate returns the tokens a second that drain what waits.
func (d *drain) tokenRate() float64 {
	return max(d.rate, minimumRate) / d.correction()
}

// interToken returns the smoothed time between two tokens.
func (d *drain) interToken() time.Duration {
	return time.Duration(d.gap * float64(time.Second))
}

// expectedWait returns how long a new request waits for its start, from the
// queued answers and the measured rate.
func (c *Controller) expectedWait() time.Duration {
	if len(c.queue) == 0 {
		return 0
	}
	return time.Duration(c.queued / c.drain.tokenRate() * float64(time.Second))
}
