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
	defaultSilenceTimeout = 6 * time.Second
	defaultReportInterval = time.Minute
	defaultWriteTimeout   = 30 * time.Second
	defaultDrainDelay     = 5 * time.Second
	defaultDrainLimit     = 2 * time.Minute
	defaultMaxHeaderBytes = 64 << 10
)

// Config configures a Gateway. Host, DataCentre, Key, Listener and Settings are
// required; the zero value of every other field selects its default.
type Config struct {
	// Host is the name of this host.
	Host string
	// DataCentre is the data centre of this host.
	DataCentre string
	// Key is the secret that the processes of the fleet share.
	Key comfreyrpc.Key
	// Listener accepts the connections of callers.
	Listener net.Listener
	// Settings returns the active configuration.
	Settings func() comfreyconfig.Settings
	// Digest returns the digest of the active configuration revision. The default
	// returns nil, which means that there is none.
	Digest func() *comfreyproto.Digest
	// ObserveDigest is called with the digest of the revision that is active in
	// another process. The default ignores it.
	ObserveDigest func(d *comfreyproto.Digest)
	// Router configures the router. Its Gateway and DataCentre are always set from
	// Host and DataCentre.
	Router comfreyrouter.Config
	// Recorder records decisions; the default logs to the standard logger.
	Recorder *comfreydecision.Recorder
	// Registry registers the metrics; the default is a new registry.
	Registry *prometheus.Registry
	// SilenceTimeout is how long a stream from a sidecar may send nothing before
	// its connection is replaced; the default is 6 s, three heartbeats.
	SilenceTimeout time.Duration
	// ReportInterval is how often the leases of generations are renewed; the
	// default is 1 min.
	ReportInterval time.Duration
	// WriteTimeout bounds one write to a caller; the default is 30 s.
	WriteTimeout time.Duration
	// DrainDelay is the time between failing the readiness check and refusing
	// connections, in which the load balancer notices; the default is 5 s. A
	// negative value selects no delay.
	DrainDelay time.Duration
	// DrainLimit bounds how long a drain waits for open requests; the default is
	// 2 min.
	DrainLimit time.Duration
	// OnRequestEnd is called once for each generation request that ends. The
	// default ignores it.
	OnRequestEnd func(c RequestSummary)
	// Now is the clock; the default is time.Now.
	Now func() time.Time
}

func (c Config) withDefaults() Config {
	if c.Now == nil {
		c.Now = time.Now
	}
	c.SilenceTimeout = durationOr(c.SilenceTimeout, defaultSilenceTimeout)
	c.ReportInterval = durationOr(c.ReportInterval, defaultReportInterval)
	c.WriteTimeout = durationOr(c.WriteTimeout, defaultWriteTimeout)
	c.DrainLimit = durationOr(c.DrainLimit, defaultDrainLimit)
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

func durationOr(d, fallback time.Duration) time.Duration {
	if d <= 0 {
		return fallback
	}
	return d
}
