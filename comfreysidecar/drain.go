package comfreysidecar

import (
	"context"
	"time"

	"comfreyridge.example/comfreyridge/comfreydecision"
	"comfreyridge.example/comfreyridge/comfreyproto"
	"comfreyridge.example/comfreyridge/comfreyrpc"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

const (
	// defaultDrainLimit bounds a planned stop where no service is configured.
	defaultDrainLimit = 2 * time.Minute
	// drainInterval is how often a draining sidecar looks whether it is done.
	drainInterval = 50 * time.Millisecond
	// deliveryLimit bounds the time to deliver the last frames after the drain
	// limit.
	deliveryLimit = 5 * time.Second
)

// drain is a planned stop: it is announced, then no new work begins, what runs
// ends within the drain limit, and what does not end gets a typed last frame.
func (s *Sidecar) drain(kill context.Context) {
	s.announce()
	s.waitUntil(kill, s.config.LeaveGrace, func() bool { return false })
	s.leave("the process was told to stop")
	limit := s.drainLimit()
	if s.waitUntil(kill, limit, s.isIdle) {
		s.recorder.Record("", comfreydecision.KindDrain, comfreyverdict.ReasonAccepted, map[string]any{"detail": "all work has ended"})
		return
	}
	s.recorder.Record("", comfreydecision.KindDrain, comfreyverdict.ReasonDrainLimit, map[string]any{"limit": limit})
	for _, g := range s.table.all() {
		s.cancel(g, comfreyverdict.ReasonDrainLimit)
	}
	s.waitUntil(kill, deliveryLimit, s.isIdle)
}

// announce tells gateways, on every message to them, to send no new work.
func (s *Sidecar) announce() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lifecycle.AnnounceLeaving(s.config.Now())
}

// accepts reports whether gateways may send new work.
func (s *Sidecar) accepts() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lifecycle.Status().Accepting
}

func (s *Sidecar) drainLimit() time.Duration {
	if s.config.DrainLimit > 0 {
		return s.config.DrainLimit
	}
	if v, ok := s.config.service(); ok {
		return v.DrainLimit
	}
	return defaultDrainLimit
}

// waitUntil polls done until it holds; it reports false if the limit passes or
// kill ends first.
func (s *Sidecar) waitUntil(kill context.Context, limit time.Duration, done func() bool) bool {
	t := time.NewTicker(drainInterval)
	defer t.Stop()
	end := time.NewTimer(limit)
	defer end.Stop()
	for !done() {
		select {
		case <-t.C:
		case <-end.C:
			return false
		case <-kill.Done():
			return false
		}
	}
	return true
}

// isIdle reports whether every generation has ended and was read to its end,
// and no call to a plain service is open.
func (s *Sidecar) isIdle() bool {
	for _, g := range s.table.all() {
		if !g.isDelivered(s.config.Now(), s.config.OrphanGrace) {
			return false
		}
	}
	return s.upstream.open() == 0 && s.orders.running() == 0
}

// isDelivered reports whether g has ended and nobody is still to read it.
func (g *generation) isDelivered(now time.Time, grace time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.ended || g.reader != nil {
		return false
	}
	return g.read >= g.replay.Next()-1 || now.Sub(g.endedAt) > grace
}

// outcomeVerdict returns the name of the verdict on the wire.
func outcomeVerdict(o *comfreyproto.Outcome) string {
	return comfreyrpc.ErrorOf(o).Verdict.String()
}
