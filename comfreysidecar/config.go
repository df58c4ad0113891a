package comfreysidecar

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"comfreyridge.example/comfreyridge/comfreyadmission"
	"comfreyridge.example/comfreyridge/comfreyconfig"
	"comfreyridge.example/comfreyridge/comfreydecision"
	"comfreyridge.example/comfreyridge/comfreyfleet"
	"comfreyridge.example/comfreyridge/comfreyproto"
	"comfreyridge.example/comfreyridge/comfreyrpc"
)

// Defaults of Config.
const (
	defaultHeartbeat      = 2 * time.Second
	defaultOrphanTimeout  = 10 * time.Second
	defaultFrameRetention = 30 * time.Second
	defaultDrainDelay     = 3 * time.Second
)

// Config configures a Sidecar. Host, Service, Key, Listener, Upstream and
// Settings are required; the zero value of every other field selects its
// default.
type Config struct {
	// Host is the name of this host in the host list.
	Host string
	// Service is the service that the upstream serves.
	Service string
	// Key is the secret that the processes of the fleet share.
	Key comfreyrpc.Key
	// Listener accepts the connections of gateways.
	Listener net.Listener
	// Upstream is the base URL of the upstream, for example
	// http://127.0.0.1:8000.
	Upstream string
	// Settings returns the active configuration.
	Settings func() comfreyconfig.Settings
	// Peer serves the configuration exchanges of other processes; nil serves
	// none.
	Peer comfreyproto.Peer
	// Digest returns the digest of the active configuration revision. The
	// default returns nil, which means that there is none.
	Digest func() *comfreyproto.Digest
	// ObserveDigest is called with the digest of the revision that is active in
	// another process. The default ignores it.
	ObserveDigest func(d *comfreyproto.Digest)
	// QueryLatestRevision queries the platform or peers for the newest
	// revision. It reports false if none responded. If it is nil, no commands
	// are sent to the upstream.
	QueryLatestRevision func(ctx context.Context) (LatestRevision, bool)
	// Fencing says whether the upstream refuses commands with an old fencing
	// number; the default assumes that it does not.
	Fencing comfreyfleet.Fencing
	// Admission overrides fields of the admission controller's configuration;
	// fields that are not set come from the settings of the service.
	Admission comfreyadmission.Config
	// Recorder records decisions; the default logs to the standard logger.
	Recorder *comfreydecision.Recorder
	// Registry registers the metrics; the default is a new registry.
	Registry *prometheus.Registry
	// RequireHostList refuses generations until a host list has arrived. Without
	// one, the sidecar does not know the witness of a request, and two sidecars
	// may each run a request that crashes engines.
	RequireHostList bool
	// Heartbeat is the interval at which heartbeat frames are written to an
	// idle stream; the default is 2 s.
	Heartbeat time.Duration
	// OrphanTimeout is how long a generation continues while no gateway reads
	// it; the default is 10 s.
	OrphanTimeout time.Duration
	// FrameRetention is how long the frames of a generation are retained after
	// its end; the default is 30 s.
	FrameRetention time.Duration
	// DrainDelay is the time between reporting a planned stop and refusing new
	// work, in which gateways learn of the stop; the default is 3 s. A negative
	// value selects no delay.
	DrainDelay time.Duration
	// DrainLimit bounds how long a drain waits for open work; the default is
	// that of the service.
	DrainLimit time.Duration
	// Incarnation distinguishes this process from earlier ones on the host; the
	// default is made from the current time and a random number.
	Incarnation comfreyfleet.Incarnation
	// Now is the clock; the default is time.Now.
	Now func() time.Time
}

func (c Config) withDefaults() Config {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Heartbeat <= 0 {
		c.Heartbeat = defaultHeartbeat
	}
	if c.OrphanTimeout <= 0 {
		c.OrphanTimeout = defaultOrphanTimeout
	}
	if c.FrameRetention <= 0 {
		c.FrameRetention = defaultFrameRetention
	}
	if c.DrainDelay == 0 {
		c.DrainDelay = defaultDrainDelay
	}
	if c.Incarnation == 0 {
		c.Incarnation = comfreyfleet.NewIncarnation(c.Now(), randomUint64())
	}
	if c.Registry == nil {
		c.Registry = prometheus.NewRegistry()
	}
	if c.Recorder == nil {
		c.Recorder = comfreydecision.New(comfreydecision.Config{Process: "sidecar/" + c.Host, Now: c.Now})
	}
	if c.Digest == nil {
		c.Digest = func() *comfreyproto.Digest { return nil }
	}
	if c.ObserveDigest == nil {
		c.ObserveDigest = func(*comfreyproto.Digest) {}
	}
	return c
}

// service returns the settings of the sidecar's service. It reports false if
// the service is not configured; the zero settings accept no work.
func (c Config) service() (comfreyconfig.Service, bool) {
	return c.Settings().Service(c.Service)
}

// admissionConfig returns Admission with unset fields filled from the settings
// of the service.
func (c Config) admissionConfig() comfreyadmission.Config {
	a := c.Admission
	v, ok := c.service()
	if !ok {
		return a
	}
	if a.CapacityTokens == 0 {
		a.CapacityTokens = v.CapacityTokens
	}
	if a.QueueLimit == 0 {
		a.QueueLimit = v.QueueLimit
	}
	if a.DefaultMaxTokens == 0 {
		a.DefaultMaxTokens = v.DefaultMaxTokens
	}
	if v.Preset == comfreyconfig.PresetPreemptions {
		a.Preset = comfreyadmission.PresetPreemptions
	}
	if a.Weights == nil {
		a.Weights = c.customerWeight
	}
	return a
}

func (c Config) customerWeight(name string) float64 {
	v, _ := c.Settings().Customer(name)
	return v.TokenWeight
}

func randomUint64() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:])
}
