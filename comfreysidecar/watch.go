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
	// watchInterval is how often the upstream is looked at.
	watchInterval = 500 * time.Millisecond
	// watchTimeout bounds one look.
	watchTimeout = 2 * time.Second
	// downWait is the wait that gateways are told while the upstream is down. It
	// keeps them away while any other upstream is up.
	downWait = time.Minute
)

// runWatch looks at the upstream until ctx ends: one that is down is reported
// as overloaded, and one that the platform reclaims makes the sidecar leave.
func (s *Sidecar) runWatch(ctx context.Context) error {
	for {
		v, ok := s.config.service()
		if ok {
			s.look(ctx, v.Kind)
		}
		if !comfreygroup.Sleep(ctx, watchInterval) {
			return nil
		}
	}
}

// look checks the upstream once.
func (s *Sidecar) look(ctx context.Context, k comfreyconfig.ServiceKind) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	if k != comfreyconfig.ServiceKindGeneration {
		s.setDown(dial(ctx, s.config.Upstream))
		return
	}
	x, err := s.engine.State(ctx)
	s.setDown(err)
	if err == nil && x.Reclaimed && s.accepts() {
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
