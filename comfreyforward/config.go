// Package comfreyforward is a gateway that forwards callers' requests unchanged
// to the replicas of a platform. It asks the decision packages where a request
// runs, whether it waits and what moves, and it carries out what they say.
package comfreyforward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"comfreyridge.example/comfreyridge/comfreycall"
	"comfreyridge.example/comfreyridge/comfreyconnection"
	"comfreyridge.example/comfreyridge/comfreydecision"
	"comfreyridge.example/comfreyridge/comfreygroup"
	"comfreyridge.example/comfreyridge/comfreyreplica"
	"comfreyridge.example/comfreyridge/comfreyroute"
	"comfreyridge.example/comfreyridge/comfreystorecache"
)

// Protocol translates the headers of requests and answers.
type Protocol struct {
	// IDHeader names the header that bears the id of a caller's attempt.
	IDHeader string
	// ParseRequestHeaders reads a caller's headers.
	ParseRequestHeaders func(h http.Header) comfreycall.Request
	// SetAttemptHeaders replaces the headers that the system sets.
	SetAttemptHeaders func(h http.Header, a comfreycall.Attempt)
	// ParseResponseHeaders reads the head of a replica's answer.
	ParseResponseHeaders func(status int, h http.Header) comfreycall.ResponseHeader
	// RemoveInternalHeaders removes headers that are not for callers.
	RemoveInternalHeaders func(h http.Header)
	// RetryAfter returns the value of the Retry-After header.
	RetryAfter func(d time.Duration) string
}

// EngineClient makes calls to replicas that generate text.
type EngineClient struct {
	// FetchReport asks for the replica's load.
	FetchReport func(ctx context.Context, address string) (comfreyreplica.Report, error)
	// Reserve keeps room for a request that arrives within the given time. It
	// returns comfreycall.ErrNoRoom if there is none.
	Reserve func(ctx context.Context, address string, tokens int, life time.Duration) (string, error)
	// CopyKVCache copies the memory of a run to the replica at another address. With
	// isLast, the run stops first. The errors are those of comfreycall.
	CopyKVCache func(ctx context.Context, address, request, target string, isLast bool) (comfreycall.KVCopy, error)
	// ReleaseKVCopy frees a copy.
	ReleaseKVCopy func(ctx context.Context, address, handle string) error
}

// Store reads and decodes what the platform publishes.
type Store struct {
	// List returns every item and the revision at which the listing began.
	List func(ctx context.Context) (uint64, []comfreystorecache.Item, error)
	// Watch waits for changes after a revision. It returns
	// comfreystorecache.ErrHistoryGone if everything has to be listed again.
	Watch func(ctx context.Context, after uint64, wait time.Duration) (uint64, []comfreystorecache.Item, error)
	// IsConfigurationKey and IsRegistrationKey tell what a key holds.
	IsConfigurationKey, IsRegistrationKey func(key string) bool
	// ReplicaIDFromKey returns the replica that the key of a listing belongs to.
	ReplicaIDFromKey func(key string) string
	// DecodeConfiguration decodes the routing table.
	DecodeConfiguration func(value []byte) (*comfreyroute.Table, error)
	// DecodeRegistration decodes the entry of a replica.
	DecodeRegistration func(key string, value []byte) (comfreyreplica.Registration, error)
}

// RetryLimit bounds what the replicas of a service receive beyond the first
// attempt of each request, over all gateways together.
type RetryLimit struct {
	// Ratio is the number of further attempts for each request.
	Ratio float64
	// Slack is the number allowed besides in each window.
	Slack float64
}

// Config holds the parts of a Gateway. Protocol, Engines, Store, Pool and
// Recorder are needed; the zero value of every other field selects its default.
type Config struct {
	// DataCentre is where this gateway runs.
	DataCentre string
	Protocol   Protocol
	Engines    EngineClient
	Store      Store
	Pool       *comfreyconnection.Pool
	Recorder   *comfreydecision.Recorder
	Group      *comfreygroup.Group
	Retry      RetryLimit
	// DrainPeriod is how long a leaving replica serves; see comfreyreplica.Config.
	DrainPeriod time.Duration
	// Announce is called when the other gateways should soon hear of a change: a
	// placed generation, a replica that leaves, news from the store. It does
	// nothing by default and must not block.
	Announce func()
	// Peers returns the other gateways; none by default.
	Peers func() []comfreystorecache.Peer
	// Address is this gateway's address among them.
	Address string
	// Now is the clock; time.Now by default.
	Now func() time.Time
	// Rand returns a number in [0, 1); math/rand/v2 by default.
	Rand func() float64
}

func (c Config) withDefaults() Config {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Rand == nil {
		c.Rand = rand.Float64
	}
	if c.Peers == nil {
		c.Peers = func() []comfreystorecache.Peer { return nil }
	}
	if c.Announce == nil {
		c.Announce = func() {}
	}
	return c
}
