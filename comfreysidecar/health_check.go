package comfreysidecar

import (
	"context"
	"net"
	"net/url"
	"time"

	"comfreyridge.example/comfreyridge/comfreyconfig"
	"comfreyridge.example/comfreyridge/comfreydecision"
	"comfreyridge.example/comfreyridge/comfreygroup"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

const (
	// healthCheckInterval is the time between two health checks of the
	// upstream.
	healthCheckInterval = 500 * time.Millisecond
	// healthCheckTimeout bounds one health check.
	healthCheckTimeout = 2 * time.Second
	// downExpectedWait is the expected wait time in load reports while the
	// upstream is unreachable. It makes gateways prefer any other upstream that
	// is reachable.
	downExpectedWait = time.Minute
)

// runHealthCheck checks the upstream until ctx is done. Load reports show an
// unreachable upstream as overloaded. If the platform reclaims the engine, the
// sidecar refuses new work for good.
func (s *Sidecar) runHealthCheck(ctx context.Context) error {
	for {
		v, ok := s.config.service()
		if ok {
			s.checkUpstream(ctx, v.Kind)
		}
		if !comfreygroup.Sleep(ctx, healthCheckInterval) {
			return nil
		}
	}
}

// checkUpstream performs one health check.
func (s *Sidecar) checkUpstream(ctx context.Context, k comfreyconfig.ServiceKind) {
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	if k != comfreyconfig.ServiceKindGeneration {
		s.setDown(dial(ctx, s.config.Upstream))
		return
	}
	x, err := s.engine.State(ctx)
	s.setDown(err)
	if err == nil && x.Reclaimed && s.isAccepting() {
		s.leave("the platform reclaims the engine")
	}
}

// setDown records whether the upstream is unreachable, which it is if err is
// not nil, and logs each change.
func (s *Sidecar) setDown(err error) {
	down := err != nil
	if s.down.Swap(down) == down {
		return
	}
	reason := comfreyverdict.ReasonAccepted
	detail := "the upstream is reachable again"
	if down {
		reason = comfreyverdict.ReasonEngineFailed
		detail = err.Error()
	}
	s.recorder.Record("", comfreydecision.KindUpstream, reason, map[string]any{"down": down, "detail": detail})
}

// dial opens and closes a TCP connection to the host of a base URL.
func dial(ctx context.Context, base string) error {
	u, err := url.Parse(base)
	if err != nil {
		return err
	}
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", u.Host)
	if err != nil {
		return err
	}
	return c.Close()
}
