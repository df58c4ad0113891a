package comfreyprocess

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"comfreyridge.example/comfreyridge/comfreyconfig"
	"comfreyridge.example/comfreyridge/comfreyfleet"
	"comfreyridge.example/comfreyridge/comfreysettings"
	"comfreyridge.example/comfreyridge/comfreysidecar"
)

// RunSidecar runs a sidecar until ctx ends, and then stops it gracefully; the
// end of kill stops it at once.
func RunSidecar(ctx, kill context.Context, s comfreysettings.Sidecar, o Options) error {
	l, err := o.listen(s.Listen)
	if err != nil {
		return err
	}
	p, err := newProcess(s.Process, o, "sidecar", l.Addr().String())
	if err != nil {
		return err
	}
	x := comfreysidecar.New(ctx, comfreysidecar.Config{
		Host:                s.Host,
		Service:             s.Service,
		Key:                 p.key,
		Listener:            l,
		Upstream:            s.Upstream,
		Settings:            p.config,
		Peer:                p.peer,
		Digest:              p.peer.digest,
		ObserveDigest:       p.peer.hear,
		Recorder:            p.recorder,
		Registry:            p.registry,
		DrainLimit:          s.DrainLimit,
		QueryLatestRevision: p.confirm,
		Fencing:             fencing(s.Fencing),
		RequireHostList:     true,
	})
	p.inForce = x.Configure
	p.hosts = func(l comfreyconfig.HostList) { x.ObserveView(viewOf(l, time.Now())) }
	if err := p.start(x.Ready); err != nil {
		return p.stop(err)
	}
	p.logger.WithFields(logrus.Fields{"event": "listening", "for": "gateways", "address": l.Addr().String()}).Info("listening")
	return p.stop(x.Run(ctx, kill))
}

func fencing(s string) comfreyfleet.Fencing {
	if s == comfreyfleet.FencingEnforced.String() {
		return comfreyfleet.FencingEnforced
	}
	return comfreyfleet.FencingIgnored
}

// confirmPeers is how many peers are asked for the newest revision while the
// platform does not answer.
const confirmPeers = 3

// confirm asks the platform, or peers if it does not answer, which revision is
// the newest.
func (p *process) confirm(ctx context.Context) (comfreysidecar.LatestRevision, bool) {
	c := comfreysidecar.LatestRevision{Number: p.agent.Digest().Number, QueriedAt: time.Now()}
	if a := p.platform.ReadManifest(ctx); !a.Failed {
		c.Number = max(c.Number, a.Number)
		return c, true
	}
	ok := false
	hosts := p.agent.Hosts().Peers(p.peer.self.Address)
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	for _, h := range hosts[:min(confirmPeers, len(hosts))] {
		d, err := p.exchange(ctx, h, p.agent.Digest())
		if err == nil {
			c.Number = max(c.Number, d.Number)
			ok = true
		}
	}
	return c, ok
}
