package comfreyprocess

import (
	"context"
	"net"
	"time"

	"github.com/sirupsen/logrus"

	"comfreyridge.example/comfreyridge/comfreyconfig"
	"comfreyridge.example/comfreyridge/comfreydecision"
	"comfreyridge.example/comfreyridge/comfreygateway"
	"comfreyridge.example/comfreyridge/comfreyproto"
	"comfreyridge.example/comfreyridge/comfreyrpc"
	"comfreyridge.example/comfreyridge/comfreysettings"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// RunGateway runs a gateway until ctx ends, and then stops it gracefully; the
// end of kill stops it at once.
func RunGateway(ctx, kill context.Context, s comfreysettings.Gateway, o Options) error {
	callers, err := o.listen(s.Listen)
	if err != nil {
		return err
	}
	peers, err := o.listen(s.PeerListen)
	if err != nil {
		return err
	}
	p, err := newProcess(s.Process, o, "gateway", peers.Addr().String())
	if err != nil {
		return err
	}
	trace, err := openTrace(s.TraceOut)
	if err != nil {
		return err
	}
	defer trace.close()
	c := comfreygateway.Config{
		Host:          s.Host,
		DataCentre:    s.DataCentre,
		Key:           p.key,
		Listener:      callers,
		Settings:      p.config,
		Digest:        p.peer.digest,
		ObserveDigest: p.peer.hear,
		Recorder:      p.recorder,
		Registry:      p.registry,
		DrainDelay:    s.DrainDelay,
		DrainLimit:    s.DrainLimit,
		OnRequestEnd:  trace.write,
	}
	if s.DrainDelay == 0 {
		c.DrainDelay = -1
	}
	g := comfreygateway.New(ctx, c)
	p.hosts = func(l comfreyconfig.HostList) { g.ObserveView(viewOf(l, time.Now())) }
	p.servePeers(peers)
	if err := p.start(g.Ready); err != nil {
		return p.stop(err)
	}
	p.logger.WithFields(logrus.Fields{"event": "listening", "for": "callers", "address": callers.Addr().String(), "peers": peers.Addr().String()}).Info("listening")
	return p.stop(g.Run(ctx, kill))
}

// servePeers serves the signed interface between processes.
func (p *process) servePeers(l net.Listener) {
	v := comfreyrpc.NewVerifier(p.key, nil)
	p.serve("peers", l, v.Middleware(comfreyproto.NewPeerServer(p.peer), func(err error) {
		p.recorder.Record("", comfreydecision.KindRefuse, comfreyverdict.ReasonUnauthorized, map[string]any{"detail": err.Error()})
	}))
}
