package comfreyadmission

import (
	"time"

	"comfreyridge.example/comfreyridge/comfreylength"
)

// The defaults of Config.
const (
	defaultCapacityTokens  = 65536
	defaultMaxRunning      = 256
	defaultQueueLimit      = 512
	defaultMaxLengthTokens = 4096
	defaultWatermark       = 0.99
)

// Config holds the settings of a Controller. The zero value of each field
// selects its default; so does a value below zero.
type Config struct {
	// Policy selects how requests are admitted.
	Policy Policy
	// Preset selects what the operator weighs most.
	Preset Preset
	// CapacityTokens is the engine's memory for prompts and answers.
	CapacityTokens int
	// MaxRunning bounds the generations that the engine holds.
	MaxRunning int
	// QueueLimit bounds the requests that wait in the controller.
	QueueLimit int
	// MaxQueueTime is the longest wait that a request is queued for; one that is
	// expected to wait longer is refused at once and told when to return. The
	// default is what Preset asks for.
	MaxQueueTime time.Duration
	// DefaultMaxTokens is the answer length that PolicyReservation assumes for a
	// request whose MaxTokens is unknown.
	DefaultMaxTokens int
	// Watermark is the share of CapacityTokens that PolicyGreedy fills, above 0
	// and at most 1.
	Watermark float64
	// Margin is the number of standard deviations of the predicted memory that
	// PolicyPredictedPeak keeps free; zero selects what Preset asks for.
	Margin float64
	// Weights returns the weight of a customer's share of the tokens. A result
	// of zero or below counts as 1. The default weighs all customers equally.
	Weights func(customer string) float64
	// Lengths are the length distributions; the default is a model of its own.
	Lengths *comfreylength.Model
}

// withDefaults returns a copy of c with every field set.
func (c Config) withDefaults() Config {
	c.CapacityTokens = positive(c.CapacityTokens, defaultCapacityTokens)
	c.MaxRunning = positive(c.MaxRunning, defaultMaxRunning)
	c.QueueLimit = positive(c.QueueLimit, defaultQueueLimit)
	c.DefaultMaxTokens = positive(c.DefaultMaxTokens, defaultMaxLengthTokens)
	if c.Watermark <= 0 || c.Watermark > 1 {
		c.Watermark = defaultWatermark
	}
	if c.MaxQueueTime <= 0 {
		c.MaxQueueTime = c.Preset.queueTime()
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
