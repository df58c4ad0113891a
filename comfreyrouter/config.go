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
	// PolicyFewChoices takes the least loaded of a few upstreams sampled from the
	// subset (Mitzenmacher, "The Power of Two Choices in Randomized Load
	// Balancing").
	PolicyFewChoices Policy = iota
	// PolicyRandom takes a random upstream, not only from the subset.
	PolicyRandom
	// PolicyLeastLoaded takes the least loaded of the subset.
	PolicyLeastLoaded
	// PolicyProbePool takes the upstream with the shortest expected wait among
	// those whose hint is fresh and whose load is at most the mean (Wydrowski and
	// others, "Load is not what you should balance: Introducing Prequal").
	PolicyProbePool
)

// String returns the kebab-case name of p, which is "few-choices" for an
// out-of-range value.
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

// reason returns the reason that is reported for choices of the policy.
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
	defaultChoiceCount        = 3
	defaultSubsetSize         = 32
	defaultMaxHintAge         = 5 * time.Second
	defaultProbesPerSecond    = 8
	defaultSpillThreshold     = 1.0
	defaultSpillMargin        = 0.25
	defaultAffinityLoadFactor = 1.0
)

// Config configures a Router. The zero value of each field selects its default.
type Config struct {
	// Gateway is the host name of this gateway. It selects the subset and seeds
	// the random number generator.
	Gateway string
	// DataCentre is the data centre of this gateway, which is preferred.
	DataCentre string
	// Policy is how upstreams are chosen; the default is PolicyFewChoices.
	Policy Policy
	// ChoiceCount is the number of upstreams that PolicyFewChoices samples and
	// compares, and every policy in other data centres; the default is 3.
	ChoiceCount int
	// SubsetSize is the number of upstreams of a service in each data centre that
	// the router probes and prefers; the default is 32.
	SubsetSize int
	// MaxHintAge is the age from which a hint is ignored; the default is 5 s.
	MaxHintAge time.Duration
	// ProbesPerSecond bounds the rate of probes; the default is 8. A negative
	// value turns probes off.
	ProbesPerSecond float64
	// SpillThreshold is the load from which an upstream is overloaded, so that
	// other data centres are considered; the default is 1.
	SpillThreshold float64
	// SpillMargin is by how much the load of an upstream in another data centre
	// must be lower; the default is 0.25.
	SpillMargin float64
	// AffinityLoadFactor bounds the load of the owner of a prefix to this multiple
	// of the mean load, plus the load of one request; the default is 1.
	AffinityLoadFactor float64
	// Seed distinguishes the random choices of gateways with the same name.
	Seed uint64
}

// withDefaults returns c with defaults in place of zero values.
func (c Config) withDefaults() Config {
	if c.ChoiceCount <= 0 {
		c.ChoiceCount = defaultChoiceCount
	}
	if c.SubsetSize <= 0 {
		c.SubsetSize = defaultSubsetSize
	}
	if c.MaxHintAge <= 0 {
		c.MaxHintAge = defaultMaxHintAge
	}
	if c.ProbesPerSecond == 0 {
		c.ProbesPerSecond = defaultProbesPerSecond
	}
	if c.SpillThreshold <= 0 {
		c.SpillThreshold = defaultSpillThreshold
	}
	if c.SpillMargin <= 0 {
		c.SpillMargin = defaultSpillMargin
	}
	if c.AffinityLoadFactor <= 0 {
		c.AffinityLoadFactor = defaultAffinityLoadFactor
	}
	return c
}
