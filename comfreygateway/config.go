package comfreygateway

import (
	"net"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"comfreyridge.example/comfreyridge/comfreyconfig"
	"comfreyridge.example/comfreyridge/comfreydecision"
	"comfreyridge.example/comfreyridge/comfreyproto"
	"comfreyridge.example/comfreyridge/comfreyrouter"
	"comfreyridge.example/comfreyridge/comfreyrpc"
)

// Defaults of Config.
const (
	defaultSilence        = 6 * time.Second
	defaultReportInterval = time.Minute
	defaultWriteTimeout   = 30 * time.Second
	defaultDrainDelay     = 5 * time.Second
	defaultDrainLimit     = 2 * time.Minute
	defaultMaxHeaderBytes = 64 << 10
)

// Config holds the parts of a Gateway. Host, DataCentre, Key, Listener and
// Settings are needed; the zero value of every other field selects its default.
type Config struct {
	// Host is the name of this host.
	Host string
	// DataCentre is where this host stands.
	DataCentre string
	// Key is the secret that the processes of the fleet share.
	Key comfreyrpc.Key
	// Listener takes the connections of callers.
	Listener net.Listener
	// Settings returns the configuration in force.
	Settings func() comfreyconfig.Settings
	// Digest returns the configuration revision in force; nil states none.
	Digest func() *comfreyproto.Digest
	// ObserveDigest is told of a revision that another process has in force; nil
	// ignores it.
	ObserveDigest func(d *comfreyproto.Digest)
	// Router overrides parts of the router's configuration.
	Router comfreyrouter.Config
	// Recorder keeps the decisions; the default logs to the standard logger.
	Recorder *comfreydecision.Recorder
	// Registry receives the metrics; the default is a new registry.
	Registry *prometheus.Registry
	// SilenceTimeout is how long a stream from a sidecar may be silent before a new
	// connection is opened; the default is 6 s, three heartbeats.
	SilenceTimeout time.Duration
	// ReportInterval is how often the leases of running generations are
	// renewed; the default is 1 min.
	ReportInterval time.Duration
	// WriteTimeout bounds one write to a caller; the default is 30 s.
	WriteTimeout time.Duration
	// DrainDelay is the time between failing the readiness check and refusing
	// connections, in which the balancer takes notice; the default is 5 s. A
	// negative value selects none.
	DrainDelay time.Duration
	// DrainLimit bounds a planned stop; the default is 2 min.
	DrainLimit time.Duration
	// OnRequestEnd is told of each request that ended; nil ignores it.
	OnRequestEnd func(c RequestSummary)
	// Now is the clock; the default is time.Now.
	Now func() time.Time
}

func (c Config) withDefaults() Config {
	if c.Now == nil {
		c.Now = time.Now
	}
	c.SilenceTimeout = positive(c.SilenceTimeout, defaultSilence)
	c.ReportInterval = positive(c.ReportInterval, defaultReportInterval)
	c.WriteTimeout = positive(c.WriteTimeout, defaultWriteTimeout)
	c.DrainLimit = positive(c.DrainLimit, defaultDrainLimit)
	if c.DrainDelay == 0 {
		c.DrainDelay = defaultDrainDelay
	}
	if c.Registry == nil {
		c.Registry = prometheus.NewRegistry()
	}
	if c.Recorder == nil {
		c.Recorder = comfreydecision.New(comfreydecision.Config{Process: "gateway/" + c.Host, Now: c.Now})
	}
	if c.Digest == nil {
		c.Digest = func() *comfreyproto.Digest { return nil }
	}
	if c.ObserveDigest == nil {
		c.ObserveDigest = func(*comfreyproto.Digest) {}
	}
	if c.OnRequestEnd == nil {
		c.OnRequestEnd = func(RequestSummary) {}
	}
	c.Router.Gateway = c.Host
	c.Router.DataCentre = c.DataCentre
	return c
}

func positive(d, fallback time.Duration) time.Duration {
	if d <= 0 {
		return fallback
	}
	return d
}
