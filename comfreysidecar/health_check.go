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
	// healthCheckInterval is how often the upstream is looked at.
	healthCheckInterval = 500 * time.Millisecond
	// healthCheckTimeout bounds one look.
	healthCheckTimeout = 2 * time.Second
	// downExpectedWait is the wait that gateways are told while the upstream is down. It
	// keeps them away while any other upstream is up.
	downExpectedWait = time.Minute
)

// runHealthCheck looks at the upstream until ctx ends: one that is down is reported
// as overloaded, and one that the platform reclaims makes the sidecar leave.
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

// checkUpstream checks the upstream once.
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

// setDown records whether the upstream answered.
func (s *Sidecar) setDown(err error) {
	down := err != nil
	if s.down.Swap(down) == down {
		return
	}
	reason := comfreyverdict.ReasonAccepted
	detail := "the upstream answers again"
	if down {
		reason = comfreyverdict.ReasonEngineFailed
		detail = err.Error()
	}
	s.recorder.Record("", comfreydecision.KindUpstream, reason, map[string]any{"down": down, "detail": detail})
}

// dial opens and closes a connection to a base URL.
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
