package comfreyrouter

import (
	"time"

	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// Policy selects how a router chooses among upstreams. The zero value is
// PolicyFewChoices.
type Policy int

// The policies. docs/design/routing.md weighs them.
const (
	// PolicyFewChoices takes the least loaded of a few upstreams drawn from
	// the subset (Mitzenmacher, "The Power of Two Choices in Randomized Load
	// Balancing").
	PolicyFewChoices Policy = iota
	// PolicyRandom draws one upstream from all.
	PolicyRandom
	// PolicyLeastLoaded takes the least loaded of the subset.
	PolicyLeastLoaded
	// PolicyProbePool takes the upstream with the shortest wait among those
	// whose hint is fresh and whose load is not hot (Wydrowski and others,
	// "Load is not what you should balance: Introducing Prequal").
	PolicyProbePool
)

// String returns the kebab-case name of p. An out-of-range value is reported
// as "few-choices".
func (p Policy) String() string {
	switch p {
	case PolicyRandom:
		return "random"
	case PolicyLeastLoaded:
		return "least-loaded"
	case PolicyProbePool:
		return "probe-pool"
	default:
		return "few-choices"
	}
}

// reason returns the reason of the choices that the policy makes.
func (p Policy) reason() comfreyverdict.Reason {
	switch p {
	case PolicyRandom:
		return comfreyverdict.ReasonRandom
	case PolicyLeastLoaded:
		return comfreyverdict.ReasonLeastLoaded
	case PolicyProbePool:
		return comfreyverdict.ReasonProbePool
	default:
		return comfreyverdict.ReasonFewChoices
	}
}

// Defaults of a Config.
const (
	defaultDraws         = 3
	defaultSubsetSize    = 32
	defaultMaxHintAge    = 5 * time.Second
	defaultProbesASecond = 8
	defaultSpillLoad     = 1.0
	defaultSpillMargin   = 0.25
	defaultBoundFactor   = 1.0
)

// Config holds the parts of a Router. The zero value of each field selects
// its default.
type Config struct {
	// Gateway is the host name of this gateway. It selects the subset and
	// seeds the random choices.
	Gateway string
	// DataCentre is the data centre of this gateway, which is preferred.
	DataCentre string
	// Policy is how upstreams are chosen; the default is PolicyFewChoices.
	Policy Policy
	// ChoiceCount is how many upstreams PolicyFewChoices compares; the default is 3.
	ChoiceCount int
	// SubsetSize is how many upstreams of a service and data centre the
	// router keeps hints on; the default is 32.
	SubsetSize int
	// MaxHintAge is the age past which a hint says nothing; the default is
	// 5 s.
	MaxHintAge time.Duration
	// ProbesPerSecond bounds the probes; the default is 8. A negative value
	// turns probes off.
	ProbesPerSecond float64
	// SpillThreshold is the load from which a near upstream is overloaded, so that
	// farther ones are looked at; the default is 1.
	SpillThreshold float64
	// SpillMargin is by how much a farther upstream must be less loaded; the
	// default is 0.25.
	SpillMargin float64
	// AffinityLoadFactor bounds the load of the upstream that a prefix belongs to, as
	// a multiple of the mean, to which one request is added; the default is 1.
	AffinityLoadFactor float64
	// Seed changes the random choices of gateways with the same name.
	Seed uint64
}

// withDefaults returns c with defaults in place of zero values.
func (c Config) withDefaults() Config {
	if c.ChoiceCount <= 0 {
		c.ChoiceCount = defaultDraws
	}
	if c.SubsetSize <= 0 {
		c.SubsetSize = defaultSubsetSize
	}
	if c.MaxHintAge <= 0 {
		c.MaxHintAge = defaultMaxHintAge
	}
	if c.ProbesPerSecond == 0 {
		c.ProbesPerSecond = defaultProbesASecond
	}
	if c.SpillThreshold <= 0 {
		c.SpillThreshold = defaultSpillLoad
	}
	if c.SpillMargin <= 0 {
		c.SpillMargin = defaultSpillMargin
	}
	if c.AffinityLoadFactor <= 0 {
		c.AffinityLoadFactor = defaultBoundFactor
	}
	return c
}
