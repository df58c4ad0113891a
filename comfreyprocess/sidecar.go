package comfreyprocess

import (
	"context"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/sirupsen/logrus"

	"comfreyridge.example/comfreyridge/comfreyconfig"
	"comfreyridge.example/comfreyridge/comfreysettings"
	"comfreyridge.example/comfreyridge/comfreysidecar"
)

// RunSidecar runs a sidecar until ctx ends, and then stops it gracefully; the
// end of kill stops it at once. Log lines go to w.
func RunSidecar(ctx, kill context.Context, s comfreysettings.Sidecar, w io.Writer) error {
	l, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return fmt.Errorf("comfreyprocess: %w", err)
	}
	p, err := newProcess(s.Process, "sidecar", l.Addr().String(), w)
	if err != nil {
		return err
	}
	x := comfreysidecar.New(ctx, comfreysidecar.Config{
		Host:        s.Host,
		Service:     s.Service,
		Key:         p.key,
		Listener:    l,
		Upstream:    s.Upstream,
		Settings:    p.config,
		Peer:        p.peer,
		Digest:      p.peer.digest,
		LearnDigest: p.peer.hear,
		Recorder:    p.recorder,
		Registry:    p.registry,
		DrainLimit:  s.DrainLimit,
	})
	p.inForce = x.Configure
	p.hosts = func(l comfreyconfig.HostList) { x.ObserveView(viewOf(l, time.Now())) }
	if err := p.start(x.Ready); err != nil {
		return p.stop(err)
	}
	p.logger.WithFields(logrus.Fields{"event": "listening", "for": "gateways", "address": l.Addr().String()}).Info("listening")
	return p.stop(x.Run(ctx, kill))
}
