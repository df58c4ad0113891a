// Package comfreydemo runs a whole fleet over loopback in one process: the
// platform's answers, engines, applications, sidecars and gateways.
package comfreydemo

import (
	"context"
	"embed"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"comfreyridge.example/comfreyridge/comfreyconfig"
	"comfreyridge.example/comfreyridge/comfreydecision"
	"comfreyridge.example/comfreyridge/comfreyfakeapplication"
	"comfreyridge.example/comfreyridge/comfreyfakeengine"
	"comfreyridge.example/comfreyridge/comfreyfleet"
	"comfreyridge.example/comfreyridge/comfreygateway"
	"comfreyridge.example/comfreyridge/comfreygroup"
	"comfreyridge.example/comfreyridge/comfreyrelay"
	"comfreyridge.example/comfreyridge/comfreyrpc"
	"comfreyridge.example/comfreyridge/comfreysidecar"
)

// Folder is the configuration that the demo runs on.
//
//go:embed folder
var folder embed.FS

// Names of the demo's configuration.
const (
	// SampleKey is the bearer key of the demo's customer.
	SampleKey = "demo-key"
	// GenerationService is the demo's model service.
	GenerationService = "quotes"
	// OrderService is the demo's plain service.
	OrderService = "parts"
	// dataCentre is where everything of the demo stands.
	dataCentre = "north"
	// fleetKey signs the requests between the demo's processes.
	fleetKey = "demo-fleet-shared-key"
)

// Defaults of FleetConfig.
const (
	defaultEngines      = 3
	defaultApplications = 2
	defaultGateways     = 2
)

// FleetConfig holds the size and the parts of a Fleet. The zero value of each
// field selects its default; a negative count selects none.
type FleetConfig struct {
	// Engines is how many engines run; the default is 3.
	Engines int
	// Applications is how many plain services run; the default is 2.
	Applications int
	// Gateways is how many gateways run; the default is 2.
	Gateways int
	// Engine configures the engine stand-ins.
	Engine comfreyfakeengine.Config
	// Gateway and Sidecar set parts of the processes; the fleet fills the rest.
	Gateway comfreygateway.Config
	Sidecar comfreysidecar.Config
	// Settings is the configuration; the default is the embedded folder's.
	Settings func() comfreyconfig.Settings
	// Listen is the address of the first gateway; the default is any port of
	// the loopback address.
	Listen string
	// Relays puts a relay before each sidecar, so that connections can be broken
	// on demand.
	Relays bool
	// Logger receives the decisions of all processes; the default drops them.
	Logger *logrus.Logger
}

func (c FleetConfig) withDefaults() FleetConfig {
	c.Engines = count(c.Engines, defaultEngines)
	c.Applications = count(c.Applications, defaultApplications)
	c.Gateways = count(c.Gateways, defaultGateways)
	if c.Listen == "" {
		c.Listen = anyPort
	}
	if c.Logger == nil {
		c.Logger = discardLogger()
	}
	return c
}

func count(n, fallback int) int {
	if n == 0 {
		return fallback
	}
	return max(n, 0)
}

func discardLogger() *logrus.Logger {
	l := logrus.New()
	l.SetLevel(logrus.PanicLevel)
	return l
}

// EmbeddedSettings returns the checked settings of the embedded folder. It
// panics if the folder has faults, which a test rules out.
func EmbeddedSettings() comfreyconfig.Settings {
	f, err := embeddedFolder()
	if err != nil {
		panic(err.Error())
	}
	s, faults := comfreyconfig.Check(f)
	if len(faults) > 0 {
		panic(fmt.Sprintf("comfreydemo: %v", faults))
	}
	return s
}

// Node is one process of the system within a Fleet.
type Node struct {
	// Address is where the process listens.
	Address string
	// Stop begins a planned stop; Kill ends the process at once.
	Stop, Kill context.CancelFunc
	// Done is closed when the process has ended; Err is its result then.
	Done chan struct{}
	// Err is the result of the process.
	Err error
	// Recorder holds the decisions of the process.
	Recorder *comfreydecision.Recorder
	ready    func() error
}

// Fleet is a running fleet. Its exported fields do not change after
// StartFleet.
type Fleet struct {
	Engines      []*comfreyfakeengine.Engine
	Applications []*comfreyfakeapplication.Application
	Sidecars     []*Node
	Gateways     []*Node
	Relays       []*comfreyrelay.Relay
	gateways     []*comfreygateway.Gateway
	sidecars     []*comfreysidecar.Sidecar
	members      []comfreyfleet.Member
	upstreams    []string
	version      uint64
	config       FleetConfig
	settings     func() comfreyconfig.Settings
	group        *comfreygroup.Group
}

// StartFleet starts every process and returns once the gateways know their
// upstreams. Stop ends the fleet.
func StartFleet(ctx context.Context, c FleetConfig) (*Fleet, error) {
	c = c.withDefaults()
	f := &Fleet{config: c, settings: c.Settings, group: comfreygroup.New(context.WithoutCancel(ctx))}
	if f.settings == nil {
		s := EmbeddedSettings()
		f.settings = func() comfreyconfig.Settings { return s }
	}
	if err := f.start(ctx); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	for i := range f.config.Engines {
		e := f.config.Engine
		e.Name = fmt.Sprintf("engine-%d", i)
		e.Seed += uint64(i)
		x := comfreyfakeengine.New(e)
		f.Engines = append(f.Engines, x)
		if err := f.startUpstream(ctx, e.Name, GenerationService, x); err != nil {
			return err
		}
	}
	for i := range f.config.Applications {
		x := comfreyfakeapplication.New(comfreyfakeapplication.Config{})
		f.Applications = append(f.Applications, x)
		if err := f.startUpstream(ctx, fmt.Sprintf("application-%d", i), OrderService, x); err != nil {
			return err
		}
	}
	for i := range f.config.Gateways {
		if err := f.startGateway(ctx, i); err != nil {
			return err
		}
	}
	f.Publish(nil)
	return nil
}

// startUpstream serves a stand-in and starts the sidecar beside it.
func (f *Fleet) startUpstream(ctx context.Context, host, service string, h http.Handler) error {
	l, err := serveStandIn(f.group, h)
	if err != nil {
		return err
	}
	return f.startSidecar(ctx, host, service, "http://"+l.Addr().String())
}

// serveStandIn serves a stand-in until the group stops.
func serveStandIn(g *comfreygroup.Group, h http.Handler) (net.Listener, error) {
	l, err := net.Listen("tcp", anyPort)
	if err != nil {
		return nil, fmt.Errorf("comfreydemo: %w", err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	g.Go("serve stand-in", func(context.Context) error { return ignoreClosed(s.Serve(l)) })
	g.Go("close stand-in", func(ctx context.Context) error {
		<-ctx.Done()
		return s.Close()
	})
	return l, nil
}

// readHeaderTimeout bounds the time in which a connection sends its headers.
const readHeaderTimeout = 10 * time.Second

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// startSidecar starts the sidecar beside an upstream and lists its host.
func (f *Fleet) startSidecar(ctx context.Context, host, service, upstream string) error {
	l, err := net.Listen("tcp", anyPort)
	if err != nil {
		return fmt.Errorf("comfreydemo: %w", err)
	}
	address := l.Addr().String()
	if f.config.Relays {
		r, err := comfreyrelay.New(comfreyrelay.Config{Target: address})
		if err != nil {
			return fmt.Errorf("comfreydemo: %w", err)
		}
		f.Relays = append(f.Relays, r)
		address = r.Addr()
	}
	n, s := f.newSidecar(ctx, l, host, service, upstream)
	f.Sidecars = append(f.Sidecars, n)
	f.sidecars = append(f.sidecars, s)
	f.upstreams = append(f.upstreams, upstream)
	f.members = append(f.members, comfreyfleet.Member{Host: host, DataCentre: dataCentre, Address: address, Service: service})
	return nil
}

func (f *Fleet) newSidecar(ctx context.Context, l net.Listener, host, service, upstream string) (*Node, *comfreysidecar.Sidecar) {
	c := f.config.Sidecar
	c.Host = host
	c.Service = service
	c.Key = comfreyrpc.Key(fleetKey)
	c.Listener = l
	c.Upstream = upstream
	c.Settings = f.settings
	c.Recorder = comfreydecision.New(comfreydecision.Config{Process: "sidecar/" + host, Logger: f.config.Logger})
	s := comfreysidecar.New(ctx, c)
	n := f.run("sidecar "+host, l, c.Recorder, s.Run)
	n.ready = s.Ready
	return n, s
}

func (f *Fleet) startGateway(ctx context.Context, i int) error {
	address := anyPort
	if i == 0 {
		address = f.config.Listen
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("comfreydemo: %w", err)
	}
	host := fmt.Sprintf("gateway-%d", i)
	c := f.config.Gateway
	c.Host = host
	c.DataCentre = dataCentre
	c.Key = comfreyrpc.Key(fleetKey)
	c.Listener = l
	c.Settings = f.settings
	c.Recorder = comfreydecision.New(comfreydecision.Config{Process: "gateway/" + host, Logger: f.config.Logger})
	g := comfreygateway.New(ctx, c)
	f.gateways = append(f.gateways, g)
	n := f.run(host, l, c.Recorder, g.Run)
	n.ready = g.Ready
	f.Gateways = append(f.Gateways, n)
	return nil
}

// Publish lists the hosts as they are now to every process. The function edit
// may change a copy of each member; nil changes none.
func (f *Fleet) Publish(edit func(m comfreyfleet.Member) comfreyfleet.Member) {
	f.version++
	members := make([]comfreyfleet.Member, 0, len(f.members))
	for _, m := range f.members {
		if edit != nil {
			m = edit(m)
		}
		members = append(members, m)
	}
	v := comfreyfleet.NewView(f.version, time.Now(), members)
	for _, g := range f.gateways {
		g.ObserveView(v)
	}
	for _, s := range f.sidecars {
		s.ObserveView(v)
	}
}

// ReplaceSidecar starts a new process beside upstream i, which must have
// ended, and lists it. The new one knows nothing of the old one.
func (f *Fleet) ReplaceSidecar(ctx context.Context, i int) error {
	l, err := net.Listen("tcp", anyPort)
	if err != nil {
		return fmt.Errorf("comfreydemo: %w", err)
	}
	m := f.members[i]
	f.Sidecars[i], f.sidecars[i] = f.newSidecar(ctx, l, m.Host, m.Service, f.upstreams[i])
	f.members[i].Address = l.Addr().String()
	f.Publish(nil)
	return nil
}

// run starts one process of the system.
func (f *Fleet) run(name string, l net.Listener, r *comfreydecision.Recorder, run func(ctx, kill context.Context) error) *Node {
	ctx, stop := context.WithCancel(context.Background())
	kill, end := context.WithCancel(context.Background())
	n := &Node{Address: l.Addr().String(), Stop: stop, Kill: end, Done: make(chan struct{}), Recorder: r}
	f.group.Go(name, func(context.Context) error {
		n.Err = run(ctx, kill)
		close(n.Done)
		return nil
	})
	return n
}

// URL returns the base URL of gateway i.
func (f *Fleet) URL(i int) string {
	return "http://" + f.Gateways[i].Address
}

// Stop ends every process at once, gateways first.
func (f *Fleet) Stop() {
	for _, n := range append(f.Gateways, f.Sidecars...) {
		n.Kill()
		<-n.Done
	}
	f.group.Stop()
	for _, e := range f.Engines {
		_ = e.Close()
	}
	for _, r := range f.Relays {
		_ = r.Close()
	}
	_ = f.group.Wait()
}
