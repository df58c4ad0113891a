// Package comfreyforward implements a gateway that forwards callers' requests
// unchanged to the replicas of a platform. The decision packages determine
// where a request is executed, whether it is queued and which generations move;
// this package carries their decisions out.
package comfreyforward

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"comfreyridge.example/comfreyridge/comfreycall"
	"comfreyridge.example/comfreyridge/comfreycell"
	"comfreyridge.example/comfreyridge/comfreyconnection"
	"comfreyridge.example/comfreyridge/comfreydecision"
	"comfreyridge.example/comfreyridge/comfreygroup"
	"comfreyridge.example/comfreyridge/comfreyquarantine"
	"comfreyridge.example/comfreyridge/comfreyratelimit"
	"comfreyridge.example/comfreyridge/comfreyreplica"
	"comfreyridge.example/comfreyridge/comfreyroute"
	"comfreyridge.example/comfreyridge/comfreystorecache"
)

// Protocol translates between HTTP headers and the values that a gateway works
// with.
type Protocol struct {
	// IDHeader names the header that holds the id of a caller's attempt.
	IDHeader string
	// ParseRequestHeaders parses the headers of a caller's request.
	ParseRequestHeaders func(h http.Header) comfreycall.Request
	// SetAttemptHeaders replaces the headers that a gateway sets for an
	// attempt.
	SetAttemptHeaders func(h http.Header, a comfreycall.Attempt)
	// ParseResponseHeaders parses the status and headers of a replica's
	// response.
	ParseResponseHeaders func(status int, h http.Header) comfreycall.ResponseHeader
	// RemoveInternalHeaders removes headers that are not meant for callers.
	RemoveInternalHeaders func(h http.Header)
	// RetryAfter returns the value of the Retry-After header.
	RetryAfter func(d time.Duration) string
}

// EngineClient makes calls to replicas with engines.
type EngineClient struct {
	// FetchReport fetches the replica's load report.
	FetchReport func(ctx context.Context, t comfreycall.Target) (comfreyreplica.Report, error)
	// Reserve reserves memory for a request that arrives within the given time,
	// and returns the id of the reservation. The error is comfreycall.ErrNoCapacity
	// if there is not enough free capacity.
	Reserve func(ctx context.Context, t comfreycall.Target, tokens int, life time.Duration) (string, error)
	// CopyKVCache copies the KV cache of a generation to the replica at the
	// destination address. With isLast, the generation is stopped first. The errors
	// are those of comfreycall.
	CopyKVCache func(ctx context.Context, t comfreycall.Target, request, destination string, isLast bool) (comfreycall.KVCopy, error)
	// ReleaseKVCopy frees the memory of a KV copy.
	ReleaseKVCopy func(ctx context.Context, t comfreycall.Target, handle string) error
}

// StoreClient reads the platform's key-value store and decodes its values.
type StoreClient struct {
	// ListPage returns the page of a listing of all keys that begins after a key,
	// or the first one if that is empty.
	ListPage func(ctx context.Context, after string, t comfreyconnection.Timeouts) (comfreystorecache.Page, error)
	// Watch waits for changes after a version, and returns them with the version
	// from which to watch next. It returns comfreystorecache.ErrCompacted if
	// everything has to be listed again, and comfreystorecache.ErrTooManyChanges if
	// the present state is smaller than the changes.
	Watch func(ctx context.Context, r comfreystorecache.WatchRequest, t comfreyconnection.Timeouts) (comfreystorecache.Version, []comfreystorecache.Item, error)
	// ReadConfiguration returns the item with the newest configuration, if there is
	// one, and the version of the store.
	ReadConfiguration func(ctx context.Context, t comfreyconnection.Timeouts) (comfreystorecache.Version, []comfreystorecache.Item, error)
	// RegistrationPrefix and EvacuationPrefix are those of the keys whose values are
	// small: of registrations, and of data centres that the operator wants to be empty.
	RegistrationPrefix, EvacuationPrefix string
	// IsConfigurationKey and IsRegistrationKey report what kind of value a key
	// holds.
	IsConfigurationKey, IsRegistrationKey func(key string) bool
	// EvacuatedDataCentre returns the data centre that the operator wants to be empty
	// as long as a key exists. It reports false for any other key, and for all by
	// default.
	EvacuatedDataCentre func(key string) (string, bool)
	// ReplicaIDFromKey returns the id of the replica to which a registration
	// key belongs.
	ReplicaIDFromKey func(key string) string
	// DecodeConfiguration decodes a configuration into a routing table.
	DecodeConfiguration func(value []byte) (*comfreyroute.Table, error)
	// DecodeRegistration decodes the registration of a replica.
	DecodeRegistration func(key string, value []byte) (comfreyreplica.Registration, error)
}

// RetryLimit bounds the attempts that the replicas of a service receive beyond
// the first one of each request, from all gateways together.
type RetryLimit struct {
	// Ratio is the number of further attempts for each request.
	Ratio float64
	// Slack is the number of further attempts that is allowed in each window in
	// addition to the ratio.
	Slack float64
}

// Config holds the parts of a Gateway. Protocol, Engines, Store, Pool, Recorder
// and Group are needed; the zero value of every other field selects its
// default.
type Config struct {
	// DataCentre is where this gateway runs.
	DataCentre string
	Protocol   Protocol
	Engines    EngineClient
	Store      StoreClient
	Pool       *comfreyconnection.Pool
	Recorder   *comfreydecision.Recorder
	Group      *comfreygroup.Group
	Retry      RetryLimit
	// WriteTimeout is how long the write of one event to a caller may take; 5 s by
	// default.
	WriteTimeout time.Duration
	// Replicas are the periods of replicas that leave, and of data centres that are
	// evacuated.
	Replicas comfreyreplica.Config
	// Region returns the region of a data centre, or an empty string if it is not
	// known, which it is not by default.
	Region func(dataCentre string) string
	// TriggerGossip is called when a gossip message should soon be sent to the
	// other gateways: after the placement of a generation, the leaving of a
	// replica or a change in the store. It does nothing by default and must not
	// block.
	TriggerGossip func()
	// CellChanged is called when this gateway learns from a source other than
	// the store that a replica leaves, which other cells have to know. It does
	// nothing by default and must not block.
	CellChanged func()
	// ShareStoreChanges is called after each response of the store with the
	// changes after a version and up to another one of the same era, which may be
	// none. If the two are the same, the changes are some of those after them. It does
	// nothing by default and must not block.
	ShareStoreChanges func(after, version comfreystorecache.Version, changes []comfreystorecache.Item)
	// ShareSilentLosses sends the other gateways requests that have no response when
	// this gateway ends, by the upstreams at which they were. It does nothing by default.
	ShareSilentLosses func(l []comfreyquarantine.CrashRecord)
	// Layout returns the division of the fleet into cells; this gateway alone by
	// default.
	Layout func() comfreycell.Layout
	// Address is the address at which the other gateways reach this one.
	Address string
	// RequestPermit asks the gateway at an address for a permit; see
	// comfreygossip.Gossip. It fails by default.
	RequestPermit func(ctx context.Context, address string, r comfreyratelimit.Request, hops int) (comfreyratelimit.Reply, error)
	// Now is the clock; time.Now by default.
	Now func() time.Time
	// Rand returns a number in [0, 1); math/rand/v2 by default.
	Rand func() float64
}

var errNoPeers = errors.New("comfreyforward: expected a way to reach other gateways, got none")

func (c Config) withDefaults() Config {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.WriteTimeout <= 0 {
		c.WriteTimeout = defaultWriteTimeout
	}
	if c.Rand == nil {
		c.Rand = rand.Float64
	}
	if c.Store.EvacuatedDataCentre == nil {
		c.Store.EvacuatedDataCentre = func(string) (string, bool) { return "", false }
	}
	if c.Region == nil {
		c.Region = func(string) string { return "" }
	}
	if c.Layout == nil {
		alone := comfreycell.New(comfreycell.Gateway{Address: c.Address, DataCentre: c.DataCentre, AliveFor: comfreyratelimit.SettlingPeriod}, nil, nil)
		c.Layout = func() comfreycell.Layout { return alone }
	}
	if c.RequestPermit == nil {
		c.RequestPermit = func(context.Context, string, comfreyratelimit.Request, int) (comfreyratelimit.Reply, error) {
			return comfreyratelimit.Reply{}, errNoPeers
		}
	}
	if c.ShareSilentLosses == nil {
		c.ShareSilentLosses = func([]comfreyquarantine.CrashRecord) {}
	}
	if c.TriggerGossip == nil {
		c.TriggerGossip = func() {}
	}
	if c.CellChanged == nil {
		c.CellChanged = func() {}
	}
	if c.ShareStoreChanges == nil {
		c.ShareStoreChanges = func(_, _ comfreystorecache.Version, _ []comfreystorecache.Item) {}
	}
	return c
}
