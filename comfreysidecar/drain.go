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
	// drainPollInterval is how often a drain checks whether all work has
	// finished.
	drainPollInterval = 50 * time.Millisecond
	// deliveryTimeout bounds the delivery of the last frames after the drain
	// limit.
	deliveryTimeout = 5 * time.Second
)

// drain performs a planned stop: it reports the stop to gateways, refuses new
// work after the drain delay, and waits up to the drain limit for open work.
// Generations that have not ended by then are cancelled with a last frame that
// gives the reason.
func (s *Sidecar) drain(kill context.Context) {
	s.stopAccepting()
	s.waitUntil(kill, s.config.DrainDelay, func() bool { return false })
	s.leave("planned stop of the process")
	limit := s.drainLimit()
	if s.waitUntil(kill, limit, s.isIdle) {
		s.recorder.Record("", comfreydecision.KindDrain, comfreyverdict.ReasonAccepted, map[string]any{"detail": "all open work has finished"})
		return
	}
	s.recorder.Record("", comfreydecision.KindDrain, comfreyverdict.ReasonDrainLimit, map[string]any{"limit": limit})
	for _, g := range s.table.all() {
		s.cancel(g, comfreyverdict.ReasonDrainLimit)
	}
	s.waitUntil(kill, deliveryTimeout, s.isIdle)
}

// endConnections refuses what still arrives after a drain, and returns when all connections
// have ended, or after deliveryTimeout. A gateway whose request is read and dropped has to
// take it for one that may have run.
func (s *Sidecar) endConnections(kill context.Context) {
	ctx, cancel := context.WithTimeout(kill, deliveryTimeout)
	defer cancel()
	if err := s.server.StopListening(ctx); err != nil {
		s.recorder.Record("", comfreydecision.KindDrain, comfreyverdict.ReasonLeaving, map[string]any{"state": "accepting-until-closed", "error": err.Error()})
	}
	_ = s.server.Drain(ctx) // What is left is closed.
}

// stopAccepting makes all load reports ask gateways to send no new work. New
// work that still arrives is accepted.
func (s *Sidecar) stopAccepting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lifecycle.AnnounceLeaving(s.config.Now())
}

// isAccepting reports whether gateways may send new work.
func (s *Sidecar) isAccepting() bool {
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

// waitUntil polls done until it returns true. It reports false if the limit
// passes or kill is done first.
func (s *Sidecar) waitUntil(kill context.Context, limit time.Duration, done func() bool) bool {
	t := time.NewTicker(drainPollInterval)
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

// isIdle reports whether every generation has ended and its frames have been
// delivered, and no unary request or order is open.
func (s *Sidecar) isIdle() bool {
	for _, g := range s.table.all() {
		if !g.isDelivered(s.config.Now(), s.config.OrphanTimeout) {
			return false
		}
	}
	return s.upstream.openCalls() == 0 && s.orders.running() == 0
}

// isDelivered reports whether g has ended, is not being read, and either its
// last frame was delivered or the grace period since its end is over.
func (g *generation) isDelivered(now time.Time, grace time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.ended || g.reader != nil {
		return false
	}
	return g.deliveredSeq >= g.replay.Next()-1 || now.Sub(g.endedAt) > grace
}

// outcomeVerdict returns the wire name of the outcome's verdict.
func outcomeVerdict(o *comfreyproto.Outcome) string {
	return comfreyrpc.ErrorOf(o).Verdict.String()
}
