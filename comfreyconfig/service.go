package comfreyconfig

import "time"

// ServiceKind is the kind of upstream that serves a service. The zero value is
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

// Preset is the operator's choice between short stalls and few preemptions. The
// zero value is PresetStallTime.
type Preset int

// The presets.
const (
	// PresetStallTime minimizes the time during which a caller receives no
	// tokens.
	PresetStallTime Preset = iota
	// PresetPreemptions minimizes preemptions and the variation of inter-token
	// latency.
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
	// Kind is the kind of upstream; generation by default.
	Kind ServiceKind
	// Idempotent reports whether a request may safely be executed twice. It is
	// true by default for a generation service and false for a plain one.
	Idempotent bool
	// Preset chooses the admission policy of a generation service; stall-time
	// by default.
	Preset Preset
	// DrainLimit is how long a draining sidecar lets open requests continue, up
	// to 24 h; 2 min by default.
	DrainLimit time.Duration
	// MaxBodyBytes is the largest request body, from 1 to 256 MiB; 1 MiB by
	// default.
	MaxBodyBytes int
	// CapacityTokens is the KV cache capacity of one replica in tokens, from 1
	// to 100,000,000; 200,000 by default. It does not apply to a plain service.
	CapacityTokens int
	// DefaultMaxTokens is the maximum number of output tokens of a request that
	// sets none, from 1 to CapacityTokens; 4,096 by default.
	DefaultMaxTokens int
	// QueueLimit is the maximum number of requests queued at one replica, from
	// 0 to 100,000; 64 by default.
	QueueLimit int
	// FirstTokenLimit is the timeout for the first token of a request, from 10
	// ms to 24 h and at most Deadline; 30 s by default.
	FirstTokenLimit time.Duration
	// Deadline is the timeout of a request, from 10 ms to 24 h; 15 min by
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
