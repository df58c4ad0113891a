package comfreygateway

import (
	"context"
	"time"

	"comfreyridge.example/comfreyridge/comfreyfleet"
	"comfreyridge.example/comfreyridge/comfreyproto"
)

const (
	// reporters is how many reports may be under way at once.
	reporters = 8
	// reportQueue bounds the reports that wait.
	reportQueue = 256
	// probeInterval is how often the router is asked whom to probe.
	probeInterval = 250 * time.Millisecond
	// reportTimeout bounds one report.
	reportTimeout = 2 * time.Second
	// overdueGrace is how far past its deadline a request may be open before
	// the invariant counts it as lost.
	overdueGrace = 30 * time.Second
)

// startReporters starts the duties that probe sidecars and renew leases.
func (g *Gateway) startReporters() {
	queue := make(chan renewal, reportQueue)
	g.group.Go("probe", func(ctx context.Context) error {
		g.scheduleReports(ctx, queue)
		return nil
	})
	for range reporters {
		g.group.Go("report", func(ctx context.Context) error {
			g.sendReports(ctx, queue)
			return nil
		})
	}
}

// scheduleReports puts due reports into the queue until ctx ends. A report
// that finds the queue full is dropped; the next round makes it again.
func (g *Gateway) scheduleReports(ctx context.Context, queue chan<- renewal) {
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
		g.fleet.tick()
		g.conservation.CheckOverdue(now, overdueGrace)
		for _, m := range append(g.fleet.router.Probes(now), g.fleet.trials()...) {
			offerReport(queue, renewal{member: m})
		}
		if now.Sub(renewed) < g.config.ReportInterval {
			continue
		}
		renewed = now
		for _, r := range g.sessions.renewals() {
			offerReport(queue, r)
		}
	}
}

func offerReport(queue chan<- renewal, r renewal) {
	select {
	case queue <- r:
	default:
	}
}

// sendReports sends the queued reports one after the other until ctx ends.
func (g *Gateway) sendReports(ctx context.Context, queue <-chan renewal) {
	for {
		select {
		case r := <-queue:
			g.report(ctx, r)
		case <-ctx.Done():
			return
		}
	}
}

// Probe exchanges one report with the sidecar of a host.
func (g *Gateway) Probe(ctx context.Context, m comfreyfleet.Member) {
	g.report(ctx, renewal{member: m})
}

// report exchanges one report with a sidecar.
func (g *Gateway) report(ctx context.Context, r renewal) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	reply, err := g.client.Sidecar(r.member.Address).Report(ctx, &comfreyproto.ReportRequest{
		Gateway:     g.config.Host,
		Incarnation: r.incarnation,
		Renewals:    r.renewals,
		Digest:      g.config.Digest(),
		Listed:      g.fleet.listed(r.member.Host),
		Crashes:     g.crashes.export(),
	})
	if err != nil {
		g.metrics.reportFailures.Inc()
		g.fleet.suspect(r.member.Host, comfreyfleet.EvidenceProbeSilent)
		return
	}
	g.fleet.observe(r.member.Host, reply.Load)
	g.crashes.merge(reply.Crashes)
	g.config.ObserveDigest(reply.Digest)
}
