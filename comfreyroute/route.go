// Package comfreyroute holds the routing table of one configuration version:
// which request goes to which service, whose key it carries, and what it may
// cost. All values are immutable once built and safe for concurrent use.
package comfreyroute

import (
	"strings"
	"time"
)

// Kind says what may be repeated.
type Kind int

// The kinds of route. The zero value is the one that allows least.
const (
	// KindNonIdempotent requests run at most once.
	KindNonIdempotent Kind = iota
	// KindIdempotent requests may run more than once.
	KindIdempotent
	// KindStreaming requests run at most once and answer with events.
	KindStreaming
)

// String returns the kebab-case name of k.
func (k Kind) String() string {
	switch k {
	case KindIdempotent:
		return "idempotent"
	case KindStreaming:
		return "streaming"
	default:
		return "non-idempotent"
	}
}

// WeightedService is the part of a route's requests that one service receives.
type WeightedService struct {
	Service string
	// Weight is relative to the weights of the other shares; a share with a
	// weight of zero receives nothing.
	Weight float64
}

// Route says how requests to one host and path prefix are served.
type Route struct {
	Name string
	// Host is the authority that callers name, in lower case and without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is how long a caller may be kept waiting; zero means no limit.
	Timeout time.Duration
	// TargetLatency is the time to the answer, or to a stream's first event, within
	// which the answer is on time.
	TargetLatency time.Duration
	// MaxAttempts is how many replicas one request may be sent to.
	MaxAttempts int
	// Priority is the rank of the route; zero is the most urgent.
	Priority     int
	TrafficSplit []WeightedService
	// IsPublic routes need no key.
	IsPublic bool
}

// Select returns the service that receives a request. The draw is in [0, 1).
// It reports false if no share has a weight.
func (r Route) Select(draw float64) (string, bool) {
	var sum float64
	for _, s := range r.TrafficSplit {
		sum += max(s.Weight, 0)
	}
	left := draw * sum
	last := ""
	for _, s := range r.TrafficSplit {
		if s.Weight <= 0 {
			continue
		}
		last = s.Service
		if left < s.Weight {
			return s.Service, true
		}
		left -= s.Weight
	}
	return last, last != ""
}

// hostOnly returns an authority in lower case and without its port.
func hostOnly(authority string) string {
	if i := strings.LastIndexByte(authority, ':'); i >= 0 && !strings.HasSuffix(authority, "]") {
		authority = authority[:i]
	}
	return strings.ToLower(authority)
}
