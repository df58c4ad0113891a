package comfreyfakeengine

import "time"

// Fencing says how an engine treats an order with an old fencing number.
type Fencing int

// The ways to treat an old fencing number.
const (
	// FencingEnforced refuses an order whose number is below the highest seen.
	FencingEnforced Fencing = iota
	// FencingIgnored obeys every order.
	FencingIgnored
)

// Defaults of Config.
const (
	defaultCapacityTokens = 100_000
	defaultCacheTokens    = 20_000
	defaultPrefillTokens  = 2048
	defaultBatchSize      = 256
	defaultMedianTokens   = 200
	defaultLinger         = 2 * time.Second
	defaultModel          = "template-1"
)

// Config holds the settings of an Engine. The zero value of each field
// selects its default; negative values count as zero.
type Config struct {
	// Name tells engines apart; it enters the identity of each incarnation.
	Name string
	// Seed fixes the answer lengths.
	Seed uint64
	// StepTime is the time of one step of an empty batch. Zero steps as fast
	// as possible.
	StepTime time.Duration
	// SequenceTime is added to StepTime for each running generation.
	SequenceTime time.Duration
	// CapacityTokens is the token memory; the default is 100,000.
	CapacityTokens int
	// CacheTokens bounds the prefix cache; the default is 20,000.
	CacheTokens int
	// PrefillTokens is how many prompt tokens one step computes; the default
	// is 2,048.
	PrefillTokens int
	// BatchSize is how many generations run at most; the default is 256.
	BatchSize int
	// MedianTokens is the median answer length; the default is 200.
	MedianTokens int
	// Linger is how long a generation outlives its connection; the default is
	// 2 seconds.
	Linger time.Duration
	// LoadLag is the age of load reports and cache events.
	LoadLag time.Duration
	// CacheEventGap drops every n-th cache event; zero drops none.
	CacheEventGap int
	// Model is the model that is loaded at the start.
	Model string
	// Role is the role at the start.
	Role string
	// Fencing says how old fencing numbers are treated.
	Fencing Fencing
	// LoadTime is how long an order takes.
	LoadTime time.Duration
	// FetchWeights asks the weight store for the weights of an order; an error
	// fails the order. The default always succeeds.
	FetchWeights func() error
	// WriteTimeout is how long a write to a slow reader may block before its
	// connection is cut; zero waits for ever. The generation goes on meanwhile.
	WriteTimeout time.Duration
	// Now is the clock; the default is time.Now.
	Now func() time.Time
}

// withDefaults returns c with its defaults filled in.
func (c Config) withDefaults() Config {
	c.CapacityTokens = positive(c.CapacityTokens, defaultCapacityTokens)
	c.CacheTokens = positive(c.CacheTokens, defaultCacheTokens)
	c.PrefillTokens = positive(c.PrefillTokens, defaultPrefillTokens)
	c.BatchSize = positive(c.BatchSize, defaultBatchSize)
	c.MedianTokens = positive(c.MedianTokens, defaultMedianTokens)
	if c.Linger <= 0 {
		c.Linger = defaultLinger
	}
	if c.Model == "" {
		c.Model = defaultModel
	}
	if c.FetchWeights == nil {
		c.FetchWeights = func() error { return nil }
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return c
}

func positive(n, fallback int) int {
	if n <= 0 {
		return fallback
	}
	return n
}
