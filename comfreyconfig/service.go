package comfreyconfig

import "time"

// ServiceKind says what stands behind a service. The zero value is
// ServiceKindGeneration.
type ServiceKind int

// The kinds of service.
const (
	// ServiceKindGeneration is a model engine that streams tokens.
	ServiceKindGeneration ServiceKind = iota
	// ServiceKindPlain is an ordinary HTTP application.
	ServiceKindPlain
)

// String returns the kebab-case name of k.
func (k ServiceKind) String() string {
	if k == ServiceKindPlain {
		return "plain"
	}
	return "generation"
}

// Preset is the operator's choice between waiting and preemption. The
// zero value is PresetStallTime.
type Preset int

// The presets.
const (
	// PresetStallTime keeps the time short in which a caller receives nothing.
	PresetStallTime Preset = iota
	// PresetPreemptions keeps preemptions rare and inter-token time even.
	PresetPreemptions
)

// String returns the kebab-case name of p.
func (p Preset) String() string {
	if p == PresetPreemptions {
		return "preemptions"
	}
	return "stall-time"
}

// Limits and defaults of a service's values.
const (
	maxDuration            = 24 * time.Hour
	maxBodyBytes           = 256 << 20
	defaultBodyBytes       = 1 << 20
	maxTokens              = 100_000_000
	defaultCapacityTokens  = 200_000
	defaultMaxTokens       = 4096
	maxQueue               = 100_000
	defaultQueue           = 64
	defaultDrainLimit      = 2 * time.Minute
	defaultFirstTokenLimit = 30 * time.Second
	defaultDeadline        = 15 * time.Minute
)

// Service is one service that callers can name. Services are immutable values.
type Service struct {
	// Name is what callers give as the model or in the path.
	Name string
	// Kind says what stands behind the service; generation by default.
	Kind ServiceKind
	// Idempotent says that a request may safely run twice. It is true by
	// default for a generation service and false for a plain one.
	Idempotent bool
	// Preset chooses the admission policy of a generation service; stall-time
	// by default.
	Preset Preset
	// DrainLimit is how long a leaving sidecar lets requests run on, up to
	// 24 h; 2 min by default.
	DrainLimit time.Duration
	// MaxBodyBytes is the largest request body, from 1 to 256 MiB; 1 MiB by
	// default.
	MaxBodyBytes int
	// CapacityTokens is the token memory of one replica, from 1 to
	// 100,000,000; 200,000 by default. It has no meaning for a plain service.
	CapacityTokens int
	// DefaultMaxTokens is the answer limit of a request that states none, from
	// 1 to CapacityTokens; 4,096 by default.
	DefaultMaxTokens int
	// QueueLimit is how many requests wait at one replica, from 0 to 100,000;
	// 64 by default.
	QueueLimit int
	// FirstTokenLimit is how long a request may wait for its first token, from
	// 10 ms to 24 h; 30 s by default.
	FirstTokenLimit time.Duration
	// Deadline is how long a request may take, from 10 ms to 24 h; 15 min by
	// default.
	Deadline time.Duration
}

const minWait = 10 * time.Millisecond

var serviceFields = []field[Service]{
	enumField("kind", []ServiceKind{ServiceKindGeneration, ServiceKindPlain}, func(s *Service) *ServiceKind { return &s.Kind }),
	boolField("idempotent", func(s *Service) *bool { return &s.Idempotent }),
	enumField("preset", []Preset{PresetStallTime, PresetPreemptions}, func(s *Service) *Preset { return &s.Preset }),
	durationField("drain-limit", 0, maxDuration, func(s *Service) *time.Duration { return &s.DrainLimit }),
	intField("max-body-bytes", 1, maxBodyBytes, func(s *Service) *int { return &s.MaxBodyBytes }),
	intField("capacity-tokens", 1, maxTokens, func(s *Service) *int { return &s.CapacityTokens }),
	intField("max-tokens", 1, maxTokens, func(s *Service) *int { return &s.DefaultMaxTokens }),
	intField("queue-limit", 0, maxQueue, func(s *Service) *int { return &s.QueueLimit }),
	durationField("first-token", minWait, maxDuration, func(s *Service) *time.Duration { return &s.FirstTokenLimit }),
	durationField("deadline", minWait, maxDuration, func(s *Service) *time.Duration { return &s.Deadline }),
}

// NewService returns a service of that kind with the default limits.
func NewService(name string, k ServiceKind) Service {
	return Service{
		Name:             name,
		Kind:             k,
		Idempotent:       k == ServiceKindGeneration,
		DrainLimit:       defaultDrainLimit,
		MaxBodyBytes:     defaultBodyBytes,
		CapacityTokens:   defaultCapacityTokens,
		DefaultMaxTokens: defaultMaxTokens,
		QueueLimit:       defaultQueue,
		FirstTokenLimit:  defaultFirstTokenLimit,
		Deadline:         defaultDeadline,
	}
}
