package comfreygateway

import (
	"context"
	"time"

	"comfreyridge.example/comfreyridge/comfreyfleet"
	"comfreyridge.example/comfreyridge/comfreyproto"
)

const (
	// reportWorkers is the number of reports that may be in flight at once.
	reportWorkers = 8
	// reportQueueSize bounds the number of reports that wait to be sent.
	reportQueueSize = 256
	// probeInterval is how often due probes are queued.
	probeInterval = 250 * time.Millisecond
	// reportTimeout bounds one report call.
	reportTimeout = 2 * time.Second
	// overdueTolerance is how long past its deadline a request may be open before
	// the tracker reports an invariant violation.
	overdueTolerance = 30 * time.Second
)

// startReporting starts the goroutines that probe sidecars and renew leases.
func (g *Gateway) startReporting() {
	queue := make(chan report, reportQueueSize)
	g.group.Go("probe", func(ctx context.Context) error {
		g.scheduleReports(ctx, queue)
		return nil
	})
	for range reportWorkers {
		g.group.Go("report", func(ctx context.Context) error {
			g.runReportWorker(ctx, queue)
			return nil
		})
	}
}

// scheduleReports queues due reports until ctx is cancelled. A report is
// dropped if the queue is full; it is due again in the next round.
func (g *Gateway) scheduleReports(ctx context.Context, queue chan<- report) {
	t := time.NewTicker(probeInterval)
	defer t.Stop()
	renewed := g.config.Now()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		now := g.config.Now()
		g.fleet.readmitSuspects()
		g.requestTracker.CheckOverdue(now, overdueTolerance)
		for _, m := range append(g.fleet.router.Probes(now), g.fleet.hostsToProbe()...) {
			enqueueReport(queue, report{member: m})
		}
		for _, m := range g.fleet.startScarceProbes() {
			if !enqueueReport(queue, report{member: m, scarce: true}) {
				g.fleet.endScarceProbe(m.Host)
			}
		}
		if now.Sub(renewed) < g.config.ReportInterval {
			continue
		}
		renewed = now
		for _, r := range g.sessions.leaseReports() {
			enqueueReport(queue, r)
		}
	}
}

// enqueueReport reports whether r was queued.
func enqueueReport(queue chan<- report, r report) bool {
	select {
	case queue <- r:
		return true
	default:
		return false
	}
}

// runReportWorker sends queued reports one at a time until ctx is cancelled.
func (g *Gateway) runReportWorker(ctx context.Context, queue <-chan report) {
	for {
		select {
		case r := <-queue:
			g.sendReport(ctx, r)
			if r.scarce {
				g.fleet.endScarceProbe(r.member.Host)
			}
		case <-ctx.Done():
			return
		}
	}
}

// Probe sends one report without lease renewals to the sidecar of a host and
// applies the reply.
func (g *Gateway) Probe(ctx context.Context, m comfreyfleet.Member) {
	g.sendReport(ctx, report{member: m})
}

// sendReport sends one report to a sidecar and applies the load, crash records
// and configuration digest of the reply. A host that does not respond is
// suspected.
func (g *Gateway) sendReport(ctx context.Context, r report) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	reply, err := g.client.Sidecar(r.member.Address).Report(ctx, &comfreyproto.ReportRequest{
		Gateway:     g.config.Host,
		Incarnation: r.incarnation,
		Renewals:    r.renewals,
		Digest:      g.config.Digest(),
		Listed:      g.fleet.listedState(r.member.Host),
		Crashes:     g.crashRecords.export(),
	})
	if err != nil {
		g.metrics.reportFailures.Inc()
		if r.scarce {
			g.fleet.suspectOnce(r.member.Host, comfreyfleet.EvidenceProbeSilent)
		} else {
			g.fleet.suspect(r.member.Host, comfreyfleet.EvidenceProbeSilent)
		}
		return
	}
	g.fleet.observe(r.member.Host, reply.Load)
	g.crashRecords.merge(reply.Crashes)
	g.config.ObserveDigest(reply.Digest)
}
