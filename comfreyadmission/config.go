package comfreyadmission

import (
	"time"

	"comfreyridge.example/comfreyridge/comfreylength"
)

// The defaults of Config.
const (
	defaultCapacityTokens = 65536
	defaultMaxRunning     = 256
	defaultQueueLimit     = 512
	defaultMaxTokens      = 4096
	defaultWatermark      = 0.99
)

// Config holds the settings of a Controller. The zero value of each field
// selects its default; so does a value below zero.
type Config struct {
	// Policy selects how requests are admitted.
	Policy Policy
	// Preset selects what admission optimizes for.
	Preset Preset
	// CapacityTokens is the size of the engine's KV cache.
	CapacityTokens int
	// MaxRunning is the maximum number of generations that the engine holds.
	MaxRunning int
	// QueueLimit is the maximum number of requests that wait in the controller.
	QueueLimit int
	// MaxQueueTime is the longest expected wait time with which a request is
	// queued; a request that is expected to wait longer is refused immediately
	// with a RetryAfter. The default depends on Preset.
	MaxQueueTime time.Duration
	// DefaultMaxTokens is the output length that PolicyReservation assumes for a
	// request whose MaxTokens is unknown.
	DefaultMaxTokens int
	// Watermark is the share of CapacityTokens that PolicyGreedy fills, above 0
	// and at most 1.
	Watermark float64
	// Margin is the number of standard deviations of the predicted KV cache usage
	// that PolicyPredictedPeak keeps free; the default depends on Preset.
	Margin float64
	// Weights returns the weight of a customer for its fair share of the output
	// tokens. A result of zero or below counts as 1. The default gives all
	// customers the same weight.
	Weights func(customer string) float64
	// Lengths is the model of the output lengths; the default is a new model.
	Lengths *comfreylength.Model
}

// withDefaults returns a copy of c with every field set.
func (c Config) withDefaults() Config {
	c.CapacityTokens = positive(c.CapacityTokens, defaultCapacityTokens)
	c.MaxRunning = positive(c.MaxRunning, defaultMaxRunning)
	c.QueueLimit = positive(c.QueueLimit, defaultQueueLimit)
	c.DefaultMaxTokens = positive(c.DefaultMaxTokens, defaultMaxTokens)
	if c.Watermark <= 0 || c.Watermark > 1 {
		c.Watermark = defaultWatermark
	}
	if c.MaxQueueTime <= 0 {
		c.MaxQueueTime = c.Preset.maxQueueTime()
	}
	if c.Weights == nil {
		c.Weights = func(string) float64 { return 1 }
	}
	if c.Margin <= 0 {
		c.Margin = c.Preset.margin()
	}
	if c.Lengths == nil {
		c.Lengths = comfreylength.New(comfreylength.Config{})
	}
	return c
}

// positive returns v, or fallback if v is zero or below.
func positive(v, fallback int) int {
	if v <= 0 {
		return fallback
	}
	return v
}
