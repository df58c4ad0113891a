package comfreyconfig

import "time"

// Limits are the settings that apply to the whole fleet.
type Limits struct {
	// RetryRatio is the maximum ratio of retries to requests, from 0 to 1; 0.1
	// by default.
	RetryRatio float64
	// Heartbeat is the longest time without a message on a stream between two
	// processes, from 10 ms to 1 min; 1 s by default.
	Heartbeat time.Duration
	// Grace is how long a sidecar retains a generation to which no gateway is
	// connected, up to 1 h; 30 s by default.
	Grace time.Duration
	// WeightLoadsPerMinute is the maximum number of replicas in the whole fleet
	// that may start to load model weights per minute, above 0 and up to
	// 10,000; 6 by default.
	WeightLoadsPerMinute float64
}

const (
	maxHeartbeat       = time.Minute
	maxGrace           = time.Hour
	minWeightLoads     = 0.01
	maxWeightLoads     = 10_000
	defaultRetryRatio  = 0.1
	defaultHeartbeat   = time.Second
	defaultGrace       = 30 * time.Second
	defaultWeightLoads = 6
)

var limitsFields = []field[Limits]{
	numberField("retry-ratio", 0, 1, func(l *Limits) *float64 { return &l.RetryRatio }),
	durationField("heartbeat", minWait, maxHeartbeat, func(l *Limits) *time.Duration { return &l.Heartbeat }),
	durationField("grace", 0, maxGrace, func(l *Limits) *time.Duration { return &l.Grace }),
	numberField("weight-loads-per-minute", minWeightLoads, maxWeightLoads, func(l *Limits) *float64 { return &l.WeightLoadsPerMinute }),
}

// NewLimits returns the default limits.
func NewLimits() Limits {
	return Limits{
		RetryRatio:           defaultRetryRatio,
		Heartbeat:            defaultHeartbeat,
		Grace:                defaultGrace,
		WeightLoadsPerMinute: defaultWeightLoads,
	}
}
