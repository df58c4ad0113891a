// Package comfreyroute holds the routing table of one configuration version:
// which service serves a request, which customer owns its key, and which limits
// apply. All values are immutable once built and safe for concurrent use.
package comfreyroute

import (
	"strings"
	"time"
)

// Kind says whether requests may run more than once, and how they respond.
type Kind int

// The kinds of route. The zero value is the most restrictive one.
const (
	// KindNonIdempotent requests run at most once.
	KindNonIdempotent Kind = iota
	// KindIdempotent requests may run more than once.
	KindIdempotent
	// KindStreaming requests run at most once and respond with a stream of events.
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

// WeightedService is one destination of a route's traffic split.
type WeightedService struct {
	Service string
	// Weight is relative to the weights of the route's other services; a service
	// with a weight of zero receives no requests.
	Weight float64
}

// Route describes how requests to one host and path prefix are served.
type Route struct {
	Name string
	// Host is the host of the request, in lower case and without a port.
	Host string
	// Prefix is the path prefix; it begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller waits; zero means no limit.
	Timeout time.Duration
	// TargetLatency is the target for the time to the response, or to a stream's
	// first event.
	TargetLatency time.Duration
	// MaxAttempts is the number of replicas that one request may be sent to.
	MaxAttempts int
	// Priority is the priority of the route; zero is the highest.
	Priority     int
	TrafficSplit []WeightedService
	// IsPublic means that requests need no key.
	IsPublic bool
	// Homes are the regions in which requests may be served.
	Homes Homes
	// TargetPause is the longest pause between two events of a stream for which a
	// response is on time; zero means no bound.
	TargetPause time.Duration
}

// Select returns the service that receives a request. The draw is a random
// number in [0, 1). It reports false if no service has a weight above zero.
func (r Route) Select(draw float64) (string, bool) {
	var sum float64
	for _, s := range r.TrafficSplit {
		sum += max(s.Weight, 0)
	}
	rest := draw * sum
	last := ""
	for _, s := range r.TrafficSplit {
		if s.Weight <= 0 {
			continue
		}
		last = s.Service
		if rest < s.Weight {
			return s.Service, true
		}
		rest -= s.Weight
	}
	return last, last != ""
}

// normalizeHost returns an authority in lower case and without its port. It keeps
// a bracketed IPv6 address without a port.
func normalizeHost(authority string) string {
	if i := strings.LastIndexByte(authority, ':'); i >= 0 && !strings.HasSuffix(authority, "]") {
		authority = authority[:i]
	}
	return strings.ToLower(authority)
}
