package comfreyroute

import "time"

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of generations that run concurrently on one replica.
	Slots int
	// CapacityTokens is the size of one replica's KV cache.
	CapacityTokens int
	// KVBytesPerToken is the size of one token's KV cache when it is copied.
	KVBytesPerToken int
	// LinkBitsPerSecond is the bandwidth for KV copies between two replicas.
	LinkBitsPerSecond float64
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
	// CanMove means that a running generation can move to another replica by a KV
	// copy.
	CanMove bool
	// MaxReservationTime is how long a replica can reserve KV cache for a request
	// that has not arrived yet; zero if it cannot.
	MaxReservationTime time.Duration
}

// CopyTokensPerSecond returns the throughput of KV copies over an idle link;
// zero if it is unknown.
func (e Engine) CopyTokensPerSecond() float64 {
	if e.KVBytesPerToken <= 0 {
		return 0
	}
	return e.LinkBitsPerSecond / 8 / float64(e.KVBytesPerToken)
}

// Service describes a service and its replicas.
type Service struct {
	Name string
	// MaxConnections is the number of connections that a replica accepts from all
	// callers together.
	MaxConnections int
	// HasEngine means that the replicas are model engines.
	HasEngine bool
	Engine    Engine
	// WarmUpTime is how long a replica is cold after its start, and WarmUpPerSecond
	// the rate of requests that a cold one takes from all gateways together; zero
	// means no bound.
	WarmUpTime      time.Duration
	WarmUpPerSecond float64
}

// Customer is the owner of a key.
type Customer struct {
	Name string
	// HasPriority means that Priority replaces the priority of the route.
	HasPriority bool
	Priority    int
	// Homes are the regions in which the customer's requests may be served.
	Homes Homes
}

// Limits bound the size of a request, and the time that a caller takes to send
// its headers and between two requests.
type Limits struct {
	HeaderSizeBytes int
	BodySizeBytes   int
	HeaderTimeout   time.Duration
	IdleTimeout     time.Duration
}
