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

// Config holds the parts of a Sidecar. Host, Service, Key, Listener, Upstream
// and Settings are needed; the zero value of every other field selects its
// default.
type Config struct {
	// Host is the name of this host in the host list.
	Host string
	// Service is the service that the upstream serves.
	Service string
	// Key is the secret that the processes of the fleet share.
	Key comfreyrpc.Key
	// Listener takes the connections of gateways.
	Listener net.Listener
	// Upstream is the base URL of the upstream, for example
	// http://127.0.0.1:8000.
	Upstream string
	// Settings returns the configuration in force.
	Settings func() comfreyconfig.Settings
	// Peer serves the exchanges of configuration; nil serves none.
	Peer comfreyproto.Peer
	// Digest returns the configuration revision in force; nil states none.
	Digest func() *comfreyproto.Digest
	// ObserveDigest is told of a revision that another process has in force; nil
	// ignores it.
	ObserveDigest func(d *comfreyproto.Digest)
	// QueryLatestRevision asks the platform or peers which revision is the newest. It
	// reports false if nobody answered. Without it no orders are sent to the
	// upstream.
	QueryLatestRevision func(ctx context.Context) (LatestRevision, bool)
	// Fencing says whether the upstream refuses orders with an old fencing
	// number; the default assumes that it does not.
	Fencing comfreyfleet.Fencing
	// Admission overrides parts of the admission's configuration; the
	// service's settings fill the rest.
	Admission comfreyadmission.Config
	// Recorder keeps the decisions; the default logs to the standard logger.
	Recorder *comfreydecision.Recorder
	// Registry receives the metrics; the default is a new registry.
	Registry *prometheus.Registry
	// Heartbeat is how often a silent stream is written to; the default is 2 s.
	Heartbeat time.Duration
	// OrphanTimeout is how long a generation runs on while no gateway reads it;
	// the default is 10 s.
	OrphanTimeout time.Duration
	// FrameRetention is how long the frames of an ended generation are kept; the
	// default is 30 s.
	FrameRetention time.Duration
	// DrainDelay is the time between announcing a planned stop and refusing new
	// work, in which gateways learn of it; the default is 3 s. A negative value
	// selects none.
	DrainDelay time.Duration
	// DrainLimit bounds a planned stop; the default is that of the service.
	DrainLimit time.Duration
	// Incarnation is the life of this process; the default is drawn from the
	// time and a random number.
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

// service returns the settings of the sidecar's service, or those of an
// unconfigured one, which accept nothing.
func (c Config) service() (comfreyconfig.Service, bool) {
	return c.Settings().Service(c.Service)
}

// admissionConfig fills the admission's configuration from the service.
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
