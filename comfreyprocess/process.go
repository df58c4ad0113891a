// Package comfreyprocess runs gateways and sidecars as processes: it joins
// their parts with the configuration, the operators' endpoints and the signals
// that stop them.
package comfreyprocess

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/sirupsen/logrus"

	"comfreyridge.example/comfreyridge/comfreyadmin"
	"comfreyridge.example/comfreyridge/comfreyconfig"
	"comfreyridge.example/comfreyridge/comfreydecision"
	"comfreyridge.example/comfreyridge/comfreygroup"
	"comfreyridge.example/comfreyridge/comfreyplatform"
	"comfreyridge.example/comfreyridge/comfreyproto"
	"comfreyridge.example/comfreyridge/comfreyrpc"
	"comfreyridge.example/comfreyridge/comfreyserver"
	"comfreyridge.example/comfreyridge/comfreysettings"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// Options holds what a process takes from its surroundings. The zero value of
// each field selects its default.
type Options struct {
	// Log receives the log lines; the default drops them.
	Log io.Writer
	// Listen opens a listener on an address; the default is comfreyserver.Listen.
	Listen func(address string) (net.Listener, error)
}

func (o Options) listen(address string) (net.Listener, error) {
	if o.Listen != nil {
		return o.Listen(address)
	}
	l, err := comfreyserver.Listen(address)
	if err != nil {
		return nil, fmt.Errorf("comfreyprocess: %w", err)
	}
	return l, nil
}

// process holds what gateways and sidecars share.
type process struct {
	settings comfreysettings.Process
	options  Options
	key      comfreyrpc.Key
	recorder *comfreydecision.Recorder
	registry *prometheus.Registry
	client   *comfreyrpc.Client
	platform *comfreyplatform.Client
	exchange comfreyplatform.ExchangeFunc
	agent    *comfreyplatform.Agent
	peer     *peerService
	group    *comfreygroup.Group
	logger   *logrus.Logger
	record   func(a comfreyconfig.Action)
	// inForce and hosts are told of each change.
	inForce func()
	hosts   func(l comfreyconfig.HostList)
}

// newProcess prepares a process whose internal address is self.
func newProcess(s comfreysettings.Process, o Options, role, self string) (*process, error) {
	key, err := comfreyrpc.ParseKey(s.Key)
	if err != nil {
		return nil, err
	}
	level, err := logrus.ParseLevel(s.LogLevel)
	if err != nil {
		return nil, fmt.Errorf("comfreyprocess: %w", err)
	}
	l := logrus.New()
	l.SetOutput(io.Discard)
	if o.Log != nil {
		l.SetOutput(o.Log)
	}
	l.SetLevel(level)
	l.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: time.RFC3339Nano})
	p := &process{
		settings: s,
		options:  o,
		key:      key,
		logger:   l,
		recorder: comfreydecision.New(comfreydecision.Config{Process: role + "/" + s.Host, Logger: l}),
		registry: prometheus.NewRegistry(),
		client:   comfreyrpc.NewClient(key, nil),
		group:    comfreygroup.New(context.Background()),
		inForce:  func() {},
		hosts:    func(comfreyconfig.HostList) {},
	}
	p.record = comfreyplatform.RecordRevisions(p.recorder)
	peer := comfreyconfig.Peer{Address: self, DataCentre: s.DataCentre}
	p.platform = comfreyplatform.New(comfreyplatform.Config{URL: s.Platform})
	p.exchange = exchange(p.client, peer)
	p.agent = comfreyplatform.NewAgent(comfreyplatform.AgentConfig{
		Node:     comfreyconfig.NodeConfig{Self: peer, Seeds: seedPeers(s), Seed: rand.Uint64()},
		Client:   p.platform,
		Exchange: p.exchange,
		Fetch:    fetch(p.client),
		Observe:  p.observe,
	})
	p.peer = &peerService{self: peer, agent: p.agent, recorder: p.recorder}
	p.registry.MustRegister(p.agent.Collector(), collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return p, nil
}

func seedPeers(s comfreysettings.Process) []comfreyconfig.Peer {
	var peers []comfreyconfig.Peer
	for _, a := range s.Peers {
		peers = append(peers, comfreyconfig.Peer{Address: a, DataCentre: s.DataCentre})
	}
	return peers
}

// observe takes the agent's reports, one at a time.
func (p *process) observe(a comfreyconfig.Action) {
	p.record(a)
	switch a.Kind {
	case comfreyconfig.ActionActivated:
		p.inForce()
	case comfreyconfig.ActionHostListChanged:
		p.hosts(a.Hosts)
	}
}

// config returns the settings in force, which are empty before the first
// revision.
func (p *process) config() comfreyconfig.Settings {
	s, ok := p.agent.Settings()
	if !ok {
		return comfreyconfig.NewSettings()
	}
	return s
}

// start runs the agent and the operators' endpoints.
func (p *process) start(ready func() error) error {
	p.group.Go("agent", p.agent.Run)
	if p.settings.AdminListen == "" {
		return nil
	}
	l, err := p.options.listen(p.settings.AdminListen)
	if err != nil {
		return err
	}
	p.serve("admin", l, comfreyadmin.NewHandler(comfreyadmin.Config{Recorder: p.recorder, Registry: p.registry, Ready: ready, Explain: p.explain}))
	p.logger.WithFields(logrus.Fields{"event": "listening", "for": "admin", "address": l.Addr().String()}).Info("listening")
	return nil
}

// readHeaderTimeout bounds the time in which a connection sends its headers.
const readHeaderTimeout = 10 * time.Second

// serve serves h until the process ends.
func (p *process) serve(name string, l net.Listener, h http.Handler) {
	s := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	p.group.Go(name, func(context.Context) error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	p.group.Go(name+" close", func(ctx context.Context) error {
		<-ctx.Done()
		return s.Close()
	})
}

// stop ends what start began and joins its error with that of the main part.
func (p *process) stop(err error) error {
	p.group.Stop()
	err = errors.Join(err, p.group.Wait())
	p.client.Close()
	return err
}

// explain asks the listed processes for their decisions on a request.
func (p *process) explain(r *http.Request, request string) []comfreydecision.Decision {
	var s []comfreydecision.Decision
	for _, h := range p.agent.Hosts().Hosts {
		if h.Address == p.peer.self.Address {
			continue
		}
		s = append(s, p.ask(r.Context(), h, request)...)
	}
	return s
}

func (p *process) ask(ctx context.Context, h comfreyconfig.Host, request string) []comfreydecision.Decision {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	m, err := p.client.Peer(h.Address).Decisions(ctx, &comfreyproto.DecisionsRequest{RequestId: request})
	if err != nil {
		return []comfreydecision.Decision{{At: time.Now(), Process: h.Host, Request: request, Kind: comfreydecision.KindRefuse, Reason: comfreyverdict.ReasonConnectionLost, Figures: map[string]any{"detail": "the process did not answer"}}}
	}
	var s []comfreydecision.Decision
	b := bufio.NewScanner(bytes.NewReader(m.Lines))
	b.Buffer(nil, comfreyrpc.MaxFrameBytes)
	for b.Scan() {
		var d comfreydecision.Decision
		if json.Unmarshal(b.Bytes(), &d) == nil {
			s = append(s, d)
		}
	}
	return s
}
