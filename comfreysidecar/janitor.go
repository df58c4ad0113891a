package comfreysidecar

import (
	"context"
	"time"

	"comfreyridge.example/comfreyridge/comfreydecision"
	"comfreyridge.example/comfreyridge/comfreyfleet"
	"comfreyridge.example/comfreyridge/comfreyproto"
	"comfreyridge.example/comfreyridge/comfreystream"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

const (
	// janitorInterval is how often leases, orphans and old frames are looked
	// at. It is below the longest pause that a lease allows.
	janitorInterval = 250 * time.Millisecond
	// overdueGrace is how far past its deadline a request may be open before
	// the invariant counts it as lost.
	overdueGrace = 30 * time.Second
)

// runJanitor renews the process's lease, cancels orphans and forgets old
// frames until ctx ends.
func (s *Sidecar) runJanitor(ctx context.Context) error {
	t := time.NewTicker(janitorInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			s.renew()
			s.leaveIfListed()
			s.cancelOrphans()
			s.table.expire(s.config.Now(), s.config.KeepFrames)
			s.conservation.CheckOverdue(s.config.Now(), overdueGrace)
		case <-ctx.Done():
			return nil
		}
	}
}

// leaveIfListed leaves for good once a list that names this host as leaving
// cannot speak of an earlier process any more. Until then no work begins, and
// a newer list can still show the host as live.
func (s *Sidecar) leaveIfListed() {
	s.mu.Lock()
	age := s.config.Now().Sub(s.config.Incarnation.Start())
	due := s.lifecycle.IsListedLeaving() && !s.lifecycle.IsRefusing() && age > comfreyfleet.MaxListLag
	s.mu.Unlock()
	if due {
		s.leave("the host list names this host as leaving")
	}
}

// cancelOrphans ends the generations that no gateway has read for the grace
// time, so that they do not hold memory in the engine.
func (s *Sidecar) cancelOrphans() {
	now := s.config.Now()
	for _, g := range s.table.all() {
		since, orphaned := g.orphanedSince()
		if orphaned && now.Sub(since) > s.config.OrphanGrace {
			s.cancel(g, comfreyverdict.ReasonCallerGone)
		}
	}
}

// recordFinish leaves the decision record of a generation's end.
func (s *Sidecar) recordFinish(g *generation, f *comfreyproto.Frame, o comfreystream.Outcome) {
	reason := comfreyverdict.ReasonAccepted
	kind := comfreydecision.KindFinish
	verdict := comfreyverdict.VerdictRan.String()
	if f.Outcome != nil {
		reason = comfreyverdict.Reason(f.Outcome.Reason)
		verdict = outcomeVerdict(f.Outcome)
	}
	if f.Kind == comfreyproto.FrameKind_FRAME_KIND_REFUSED {
		kind = comfreydecision.KindRefuse
	}
	s.recorder.Record(g.request.RequestId, kind, reason, map[string]any{
		"generation": g.id.String(),
		"outcome":    o.String(),
		"verdict":    verdict,
		"tokens":     g.generated(),
		"took":       s.config.Now().Sub(g.accepted),
		"customer":   g.request.Customer,
	})
}
