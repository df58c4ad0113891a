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
	// maintenanceInterval is how often the lease of the process is renewed and
	// orphaned generations and retained frames are checked. It is below the
	// longest pause that the lease allows.
	maintenanceInterval = 250 * time.Millisecond
	// overdueGrace is how long past its deadline a request may be open before
	// the request-conservation invariant reports it as lost.
	overdueGrace = 30 * time.Second
)

// runMaintenance renews the lease of the process, cancels orphaned generations
// and removes expired ones until ctx is done.
func (s *Sidecar) runMaintenance(ctx context.Context) error {
	t := time.NewTicker(maintenanceInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			s.renewLifecycle()
			s.leaveIfListed()
			s.cancelOrphans()
			s.table.expire(s.config.Now(), s.config.FrameRetention)
			s.requests.CheckOverdue(s.config.Now(), overdueGrace)
		case <-ctx.Done():
			return nil
		}
	}
}

// leaveIfListed refuses new work for good once a host list that names this host
// as leaving can no longer refer to an earlier process on the host. Until then
// no work starts either, but a newer list may still show the host as live.
func (s *Sidecar) leaveIfListed() {
	s.mu.Lock()
	age := s.config.Now().Sub(s.config.Incarnation.Start())
	due := s.lifecycle.IsListedLeaving() && !s.lifecycle.IsRefusing() && age > comfreyfleet.MaxListLag
	s.mu.Unlock()
	if due {
		s.leave("the host list names this host as leaving")
	}
}

// cancelOrphans cancels the generations that no gateway has read for longer
// than the orphan timeout, so that they do not occupy KV cache in the engine.
func (s *Sidecar) cancelOrphans() {
	now := s.config.Now()
	for _, g := range s.table.all() {
		since, orphaned := g.orphanedSince()
		if orphaned && now.Sub(since) > s.config.OrphanTimeout {
			s.cancel(g, comfreyverdict.ReasonCallerGone)
		}
	}
}

// recordFinish records the end of a generation as a decision.
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
		"tokens":     g.tokenCount(),
		"took":       s.config.Now().Sub(g.acceptedAt),
		"customer":   g.request.Customer,
	})
}
