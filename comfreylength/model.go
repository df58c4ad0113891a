// Package comfreylength learns the distribution of output lengths while outputs
// are generated. With few observations, the distribution of a customer and
// service falls back to that of the service, and that to the one of all services.
// A distribution can be conditioned on the number of tokens already generated.
//
// Each distribution is a table of hazards over buckets of logarithmic width: the
// share of the outputs reaching a bucket that end in it. Outputs of running
// generations count in the buckets that they have passed (as in the Kaplan-Meier
// estimator).
package comfreylength

import "math"

// The defaults of Config.
const (
	defaultParentWeight = 12
	defaultMaxKeys      = 1024
	defaultMedianTokens = 200
	defaultLogStdDev    = 1.3
)

// Config holds the settings of a Model. The zero value of each field selects
// its default; so does a value below zero.
type Config struct {
	// ParentWeight is the weight of the coarser distribution, as a number of
	// observations.
	ParentWeight float64
	// MaxKeys is the maximum number of keys in the model; the least recently used
	// one is evicted.
	MaxKeys int
	// MedianTokens and LogStdDev are the median, and the standard deviation of the
	// logarithm, of the lognormal distribution that is the prior.
	MedianTokens float64
	LogStdDev    float64
}

// Key identifies a distribution. Class may be empty.
type Key struct {
	Customer string
	Service  string
	Class    string
}

// Model holds the distributions of one process. It is not safe for concurrent
// use.
type Model struct {
	config    Config
	overall   *Distribution
	byService map[string]*Distribution
	byKey     map[Key]*Distribution
	lookups   int
}

// New returns a model without observations, which consists of the prior.
func New(c Config) *Model {
	if c.ParentWeight <= 0 {
		c.ParentWeight = defaultParentWeight
	}
	if c.MaxKeys <= 0 {
		c.MaxKeys = defaultMaxKeys
	}
	if c.MedianTokens <= 0 {
		c.MedianTokens = defaultMedianTokens
	}
	if c.LogStdDev <= 0 {
		c.LogStdDev = defaultLogStdDev
	}
	m := &Model{config: c, byService: map[string]*Distribution{}, byKey: map[Key]*Distribution{}}
	m.overall = m.newChild(prior(c))
	return m
}

// prior returns the distribution at the root of the hierarchy, which is never
// updated.
func prior(c Config) *Distribution {
	r := &Distribution{}
	for b := range buckets {
		r.reached[b] = 1
		r.ended[b] = float32(lognormalHazard(c, lowerBound(b), lowerBound(b+1)))
	}
	return r
}

// lognormalHazard returns the probability that a lognormal length of at least low
// is below high.
func lognormalHazard(c Config, low, high int) float64 {
	s := lognormalSurvival(c, low)
	if s < math.SmallestNonzeroFloat32 {
		return 1
	}
	return 1 - lognormalSurvival(c, high)/s
}

// lognormalSurvival returns the probability that a lognormal length is at least
// tokens.
func lognormalSurvival(c Config, tokens int) float64 {
	if tokens <= 0 {
		return 1
	}
	z := (math.Log(float64(tokens)) - math.Log(c.MedianTokens)) / c.LogStdDev
	return math.Erfc(z/math.Sqrt2) / 2
}

// newChild returns a distribution without observations whose parent is p.
func (m *Model) newChild(p *Distribution) *Distribution {
	return &Distribution{parent: p, parentWeight: float32(m.config.ParentWeight)}
}

// Distribution returns the distribution of k, which it creates if k is new.
func (m *Model) Distribution(k Key) *Distribution {
	m.lookups++
	d, ok := m.byKey[k]
	if !ok {
		m.evict()
		d = m.newChild(m.serviceDistribution(k.Service))
		m.byKey[k] = d
	}
	d.lastUsed = m.lookups
	return d
}

// serviceDistribution returns the distribution of a service, which it creates if
// the service is new; that of all services if there are MaxKeys services already.
func (m *Model) serviceDistribution(name string) *Distribution {
	d, ok := m.byService[name]
	if ok {
		return d
	}
	if len(m.byService) >= m.config.MaxKeys {
		return m.overall
	}
	d = m.newChild(m.overall)
	m.byService[name] = d
	return d
}

// evict removes the least recently used key if there are MaxKeys.
func (m *Model) evict() {
	if len(m.byKey) < m.config.MaxKeys {
		return
	}
	var oldest Key
	lastUsed := math.MaxInt
	for k, d := range m.byKey {
		if d.lastUsed < lastUsed {
			oldest, lastUsed = k, d.lastUsed
		}
	}
	delete(m.byKey, oldest)
}
