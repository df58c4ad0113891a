package comfreyadmission

import (
	"math"

	"comfreyridge.example/comfreyridge/comfreylength"
)

// horizons are the numbers of further tokens for which the memory is
// predicted. A batch gives each running generation one token a step, so the
// horizon is the same for all of them.
var horizons = [...]int{0, 16, 32, 64, 96, 128, 192, 256, 384, 512, 768, 1024, 1536, 2048, 3072, 4096, 6144, 8192}

// refreshShare is the part of its length by which an answer grows before its
// prediction is renewed; refreshTokens is the least growth.
const (
	refreshShare  = 16
	refreshTokens = 8
)

// forecast holds, for each horizon, the mean and the variance of the memory
// that is taken then.
type forecast struct {
	mean     [len(horizons)]float64
	variance [len(horizons)]float64
}

// add adds g to f with a sign of 1 or -1.
func (f *forecast) add(g *forecast, sign float64) {
	for i := range f.mean {
		f.mean[i] += sign * g.mean[i]
		f.variance[i] += sign * g.variance[i]
	}
}

// predict fills the forecast of e from what e has generated so far. A
// generation that is alive after h further tokens takes its memory and h.
func (e *entry) predict() {
	e.forecastAt = e.generated
	for i, h := range horizons {
		p := e.survival(h)
		size := float64(e.tokens() + h)
		e.forecast.mean[i] = p * size
		e.forecast.variance[i] = p * (1 - p) * size * size
	}
}

// survival returns the chance that e goes on for more than h further tokens.
func (e *entry) survival(h int) float64 {
	if m := e.request.MaxTokens; h > 0 && m > 0 && e.generated+h >= m {
		return 0
	}
	return e.curve.Survival(e.generated, h)
}

// stale reports whether e has grown so much that its forecast is renewed.
func (e *entry) stale() bool {
	return e.generated-e.forecastAt >= max(refreshTokens, e.forecastAt/refreshShare)
}

// renew replaces the forecast of a running generation.
func (c *Controller) renew(e *entry) {
	c.forecast.add(&e.forecast, -1)
	e.predict()
	c.forecast.add(&e.forecast, 1)
}

// resum recomputes the sums over the running generations, which removes the
// rounding errors of many additions.
func (c *Controller) resum() {
	c.forecast = forecast{}
	for _, e := range c.running {
		c.forecast.add(&e.forecast, 1)
	}
}

// peakWith returns the predicted peak of the memory if e runs too; a nil e
// stands for no further generation. The peak is the greatest over the horizons
// of the mean plus margin standard deviations.
func (c *Controller) peakWith(e *entry) float64 {
	peak := float64(c.used)
	if e != nil {
		peak += float64(e.tokens())
	}
	for i := range horizons {
		m, v := c.forecast.mean[i], c.forecast.variance[i]
		if e != nil {
			m += e.forecast.mean[i]
			v += e.forecast.variance[i]
		}
		peak = max(peak, m+c.margin*math.Sqrt(max(v, 0)))
	}
	return peak
}

// curveOf returns the length distribution of a request.
func (c *Controller) curveOf(r Request) *comfreylength.Distribution {
	return c.config.Lengths.Distribution(comfreylength.Key{Customer: r.Customer, Service: r.Service, Class: string(r.Class)})
}
