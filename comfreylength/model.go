// Package comfreylength learns, while answers are generated, how long answers
// are. A distribution backs off from customer and service to the service and
// to all services while it has seen little, and can be conditioned on the
// number of tokens that already exist.
//
// Each distribution is a table of hazards over buckets of logarithmic width:
// the share of the answers that reach a bucket and end in it. Answers that are
// still running count in the buckets that they have left (as in the
// Kaplan-Meier estimator).
package comfreylength

import "math"

// The defaults of Config.
const (
	defaultParentWeight      = 12
	defaultMaxKeys    = 1024
	defaultMedianTokens = 200
	defaultLogStdDev       = 1.3
)

// Config holds the settings of a Model. The zero value of each field selects
// its default; so does a value below zero.
type Config struct {
	// ParentWeight is how many observations the coarser distribution counts for.
	ParentWeight float64
	// MaxKeys bounds the keys that the model remembers; the least recently
	// used one is evicted.
	MaxKeys int
	// MedianTokens and Spread are the median, and the standard deviation of the
	// logarithm, of the lognormal distribution that the model starts from.
	MedianTokens float64
	LogStdDev    float64
}

// Key names a distribution. Class may be empty.
type Key struct {
	Customer string
	Service  string
	Class    string
}

// Model holds the distributions of one process. It is not safe for concurrent
// use.
type Model struct {
	config   Config
	overall    *Distribution
	byService map[string]*Distribution
	byKey   map[Key]*Distribution
	lookups    int
}

// New returns a model that knows nothing but its prior.
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

// prior returns the root distribution, which is never updated.
func prior(c Config) *Distribution {
	r := &Distribution{}
	for b := range buckets {
		r.reached[b] = 1
		r.ended[b] = float32(lognormalHazard(c, lowerBound(b), lowerBound(b+1)))
	}
	return r
}

// lognormalHazard returns the chance that a lognormal length of at least low
// is below high.
func lognormalHazard(c Config, low, high int) float64 {
	s := lognormalSurvival(c, low)
	if s < math.SmallestNonzeroFloat32 {
		return 1
	}
	return 1 - lognormalSurvival(c, high)/s
}

// lognormalSurvival returns the chance that a lognormal length is at least
// tokens.
func lognormalSurvival(c Config, tokens int) float64 {
	if tokens <= 0 {
		return 1
	}
	z := (math.Log(float64(tokens)) - math.Log(c.MedianTokens)) / c.LogStdDev
	return math.Erfc(z/math.Sqrt2) / 2
}

// newChild returns an empty curve that backs off to p.
func (m *Model) newChild(p *Distribution) *Distribution {
	return &Distribution{parent: p, parentWeight: float32(m.config.ParentWeight)}
}

// Distribution returns the distribution of k, which it creates if k is new.
func (m *Model) Distribution(k Key) *Distribution {
	m.lookups++
	c, ok := m.byKey[k]
	if !ok {
		m.evict()
		c = m.newChild(m.serviceDistribution(k.Service))
		m.byKey[k] = c
	}
	c.lastUsed = m.lookups
	return c
}

// serviceDistribution returns the distribution of a serviceDistribution.
func (m *Model) serviceDistribution(name string) *Distribution {
	c, ok := m.byService[name]
	if ok {
		return c
	}
	if len(m.byService) >= m.config.MaxKeys {
		return m.overall
	}
	c = m.newChild(m.overall)
	m.byService[name] = c
	return c
}

// evict makes room for one more key.
func (m *Model) evict() {
	if len(m.byKey) < m.config.MaxKeys {
		return
	}
	var oldest Key
	used := math.MaxInt
	for k, c := range m.byKey {
		if c.lastUsed < used {
			oldest, used = k, c.lastUsed
		}
	}
	delete(m.byKey, oldest)
}
