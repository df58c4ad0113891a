package comfreyadmission

import (
	"math"

	"comfreyridge.example/comfreyridge/comfreylength"
)

// horizons are the numbers of further output tokens for which the KV cache usage
// is predicted. A batch generates one token a step for each running generation,
// so the horizon is the same for all of them.
var horizons = [...]int{0, 16, 32, 64, 96, 128, 192, 256, 384, 512, 768, 1024, 1536, 2048, 3072, 4096, 6144, 8192}

// A forecast is updated after the output has grown by one part in refreshDivisor
// of its length, and by at least minRefreshTokens.
const (
	refreshDivisor   = 16
	minRefreshTokens = 8
)

// forecast holds the mean and the variance of the KV cache usage at each horizon.
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

// updateForecast computes the forecast of e from its output so far. If e is still
// running after h further tokens, it uses h tokens more than now.
func (e *entry) updateForecast() {
	e.forecastTokens = e.generatedTokens
	for i, h := range horizons {
		p := e.survival(h)
		size := float64(e.usedTokens() + h)
		e.forecast.mean[i] = p * size
		e.forecast.variance[i] = p * (1 - p) * size * size
	}
}

// survival returns the probability that e generates more than h further tokens.
func (e *entry) survival(h int) float64 {
	if m := e.request.MaxTokens; h > 0 && m > 0 && e.generatedTokens+h >= m {
		return 0
	}
	return e.lengths.Survival(e.generatedTokens, h)
}

// needsForecast reports whether e has grown enough for an update of its forecast.
func (e *entry) needsForecast() bool {
	return e.generatedTokens-e.forecastTokens >= max(minRefreshTokens, e.forecastTokens/refreshDivisor)
}

// refreshForecast updates the forecast of a running generation, and the sum.
func (c *Controller) refreshForecast(e *entry) {
	c.forecast.add(&e.forecast, -1)
	e.updateForecast()
	c.forecast.add(&e.forecast, 1)
}

// recomputeForecast recomputes the sum over the running generations, which removes
// the rounding errors of many additions.
func (c *Controller) recomputeForecast() {
	c.forecast = forecast{}
	for _, e := range c.running {
		c.forecast.add(&e.forecast, 1)
	}
}

// peakTokensWith returns the predicted peak of the KV cache usage if e is admitted;
// a nil e means no further generation. The peak is the maximum over the horizons
// of the mean plus margin standard deviations.
func (c *Controller) peakTokensWith(e *entry) float64 {
	peak := float64(c.usedTokens)
	if e != nil {
		peak += float64(e.usedTokens())
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

// lengths returns the output length distribution of a request.
func (c *Controller) lengths(r Request) *comfreylength.Distribution {
	return c.config.Lengths.Distribution(comfreylength.Key{Customer: r.Customer, Service: r.Service, Class: string(r.Class)})
}
