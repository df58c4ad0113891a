package comfreyroute

import "time"

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many generations run at once on one replica.
	Slots int
	// CapacityTokens is the memory of one replica.
	CapacityTokens int
	// KVBytesPerToken is the size of one token's memory when it is copied.
	KVBytesPerToken int
	// LinkBitsPerSecond is the bandwidth between the memories of two replicas.
	LinkBitsPerSecond float64
	// TokensPerEvent is how many tokens one event of a stream holds.
	TokensPerEvent int
	// CanMove engines copy a running generation to another replica.
	CanMove bool
	// MaxReservationTime is how long a replica keeps room for a request that has
	// not arrived yet; zero if it cannot.
	MaxReservationTime time.Duration
}

// CopyTokensPerSecond returns how many tokens a second an idle link carries; zero if that
// is unknown.
func (e Engine) CopyTokensPerSecond() float64 {
	if e.KVBytesPerToken <= 0 {
		return 0
	}
	return e.LinkBitsPerSecond / 8 / float64(e.KVBytesPerToken)
}

// Service is what replicas of one kind offer.
type Service struct {
	Name string
	// MaxConnections is how many connections a replica accepts from all callers.
	MaxConnections int
	// HasEngine is true for services whose replicas generate text.
	HasEngine bool
	Engine    Engine
}

// Customer is the owner of a key.
type Customer struct {
	Name string
	// HasPriority means that Priority replaces that of the route.
	HasPriority bool
	Priority    int
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderSizeBytes int
	BodySizeBytes   int
	HeaderTimeout   time.Duration
	IdleTimeout     time.Duration
}
