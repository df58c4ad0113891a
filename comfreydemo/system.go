package comfreydemo

import (
	"context"
	"fmt"
	"io/fs"
	"net"
	"net/http"
	"time"

	"comfreyridge.example/comfreyridge/comfreyconfig"
	"comfreyridge.example/comfreyridge/comfreyfakeapplication"
	"comfreyridge.example/comfreyridge/comfreyfakeengine"
	"comfreyridge.example/comfreyridge/comfreyfakeplatform"
	"comfreyridge.example/comfreyridge/comfreygroup"
	"comfreyridge.example/comfreyridge/comfreyprocess"
	"comfreyridge.example/comfreyridge/comfreysettings"
)

// The size of the demo.
const (
	systemEngines      = 3
	systemApplications = 2
	systemGateways     = 2
)

// readyInterval is how often a starting process is asked whether it is ready.
const readyInterval = 10 * time.Millisecond

// System is a whole installation in one process: the stand-ins, and gateways
// and sidecars that learn everything from the platform, as in production.
type System struct {
	// Gateways and Admins are the base URLs of the gateways and of their
	// operators' endpoints.
	Gateways, Admins []string
	// Applications hold the ground truth about orders.
	Applications []*comfreyfakeapplication.Application

	group    *comfreygroup.Group
	platform string
	hosts    []comfreyconfig.Host
	ready    []string
	engines  []*comfreyfakeengine.Engine
	kill     context.Context
	end      context.CancelFunc
}

// StartSystem starts the installation and returns once every process is ready.
// The first gateway listens on the given address.
func StartSystem(ctx context.Context, listen string) (*System, error) {
	s := &System{group: comfreygroup.New(context.WithoutCancel(ctx))}
	s.kill, s.end = context.WithCancel(context.Background())
	err := s.start(listen)
	if err == nil {
		err = s.waitReady(ctx)
	}
	if err != nil {
		s.Stop()
		return nil, err
	}
	return s, nil
}

func (s *System) start(listen string) error {
	platform := comfreyfakeplatform.New()
	url, err := s.serve(platform)
	if err != nil {
		return err
	}
	s.platform = url
	for i := range systemEngines {
		e := comfreyfakeengine.New(comfreyfakeengine.Config{Name: fmt.Sprintf("engine-%d", i), Seed: uint64(i), StepTime: demoStep})
		s.engines = append(s.engines, e)
		if err := s.startSidecar(fmt.Sprintf("engine-%d", i), GenerationService, e); err != nil {
			return err
		}
	}
	for i := range systemApplications {
		a := comfreyfakeapplication.New(comfreyfakeapplication.Config{})
		s.Applications = append(s.Applications, a)
		if err := s.startSidecar(fmt.Sprintf("application-%d", i), OrderService, a); err != nil {
			return err
		}
	}
	for i := range systemGateways {
		if err := s.startGateway(i, listen); err != nil {
			return err
		}
		listen = anyPort
	}
	f, err := embeddedFolder()
	if err != nil {
		return err
	}
	platform.Publish(f)
	return platform.SetHosts(s.hosts)
}

// anyPort is a loopback address with a free port.
const anyPort = "127.0.0.1:0"

// sockets are the listeners of one process under their real addresses. They
// are opened before the process starts, and only the process reads them then.
type sockets map[string]net.Listener

// open adds a listener and returns its real address.
func (s sockets) open(address string) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", fmt.Errorf("comfreydemo: %w", err)
	}
	s[l.Addr().String()] = l
	return l.Addr().String(), nil
}

// take hands a listener to the process.
func (s sockets) take(address string) (net.Listener, error) {
	l, ok := s[address]
	if !ok {
		return nil, fmt.Errorf("comfreydemo: nothing listens on %s", address)
	}
	return l, nil
}

// addresses opens n loopback listeners.
func (s sockets) addresses(n int) ([]string, error) {
	var a []string
	for range n {
		x, err := s.open(anyPort)
		if err != nil {
			return nil, err
		}
		a = append(a, x)
	}
	return a, nil
}

// serve serves a stand-in and returns its base URL.
func (s *System) serve(h http.Handler) (string, error) {
	l, err := serveStandIn(s.group, h)
	if err != nil {
		return "", err
	}
	return "http://" + l.Addr().String(), nil
}

func (s *System) startSidecar(host, service string, upstream http.Handler) error {
	url, err := s.serve(upstream)
	if err != nil {
		return err
	}
	l := sockets{}
	a, err := l.addresses(2)
	if err != nil {
		return err
	}
	c := comfreysettings.Sidecar{Process: s.process(host, a[0], a[1]), Service: service, Upstream: url, Fencing: "enforced"}
	s.list(comfreyconfig.Host{Host: host, Address: a[0], Role: comfreyconfig.HostRoleSidecar, Service: service, Fencing: comfreyconfig.FencingEnforced})
	s.group.Go(host, func(ctx context.Context) error {
		return comfreyprocess.RunSidecar(ctx, s.kill, c, comfreyprocess.Options{Listen: l.take})
	})
	return nil
}

func (s *System) startGateway(i int, listen string) error {
	l := sockets{}
	callers, err := l.open(listen)
	if err != nil {
		return err
	}
	a, err := l.addresses(2)
	if err != nil {
		return err
	}
	host := fmt.Sprintf("gateway-%d", i)
	c := comfreysettings.Gateway{Process: s.process(host, callers, a[1]), PeerListen: a[0]}
	s.list(comfreyconfig.Host{Host: host, Address: a[0], Role: comfreyconfig.HostRoleGateway})
	s.Gateways = append(s.Gateways, "http://"+callers)
	s.Admins = append(s.Admins, "http://"+a[1])
	s.group.Go(host, func(ctx context.Context) error {
		return comfreyprocess.RunGateway(ctx, s.kill, c, comfreyprocess.Options{Listen: l.take})
	})
	return nil
}

func (s *System) process(host, listen, admin string) comfreysettings.Process {
	s.ready = append(s.ready, "http://"+admin+"/readyz")
	return comfreysettings.Process{Host: host, DataCentre: dataCentre, Listen: listen, AdminListen: admin, Platform: s.platform, Key: fleetKey, LogLevel: "error"}
}

func (s *System) list(h comfreyconfig.Host) {
	h.DataCentre = dataCentre
	h.State = comfreyconfig.HostStateLive
	s.hosts = append(s.hosts, h)
}

// waitReady blocks until every process takes work.
func (s *System) waitReady(ctx context.Context) error {
	for _, url := range s.ready {
		for !isReady(ctx, url) {
			select {
			case <-time.After(readyInterval):
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	}
	return nil
}

func isReady(ctx context.Context, url string) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Stop ends every process at once.
func (s *System) Stop() {
	s.end()
	s.group.Stop()
	for _, e := range s.engines {
		_ = e.Close()
	}
	_ = s.group.Wait()
}

// embeddedFolder returns the configuration that the demo runs on.
func embeddedFolder() (comfreyconfig.Folder, error) {
	sub, err := fs.Sub(folder, "folder")
	if err != nil {
		return nil, fmt.Errorf("comfreydemo: %w", err)
	}
	f, err := comfreyconfig.LoadFolder(sub)
	if err != nil {
		return nil, fmt.Errorf("comfreydemo: %w", err)
	}
	return f, nil
}
