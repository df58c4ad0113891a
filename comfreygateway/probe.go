package comfreygateway

import (
	"time"

	"comfreyridge.example/comfreyridge/comfreyfleet"
)

// returnProbeInterval is how often a gateway probes the hosts that are listed
// as live but whose sidecar reported that it is leaving, to find out whether a
// new process has started there.
const returnProbeInterval = 2 * time.Second

// hostsToProbe returns hosts to probe in addition to the router's choice:
// suspected hosts whose back-off has passed, and leaving hosts whose process
// may have been replaced by a new one. They receive no requests, so only a
// probe can make them candidates again. It also returns the hosts that are
// listed as leaving and whose sidecar has not reported so; the probe carries
// the list entry to the sidecar.
func (f *fleet) hostsToProbe() []comfreyfleet.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	s := append(f.tracker.DueProbes(now), f.tracker.UnconfirmedLeaving()...)
	if now.Sub(f.lastReturnProbe) < returnProbeInterval {
		return s
	}
	f.lastReturnProbe = now
	for _, m := range f.tracker.View().Members() {
		if m.Role == comfreyfleet.RoleUpstream && m.State == comfreyfleet.StateLive && f.tracker.Leaving(m.Host) && f.tracker.Suspicion(m.Host) == comfreyfleet.SuspicionNone {
			s = append(s, m)
		}
	}
	return s
}

// maxScarceProbes bounds the probes of hosts of scarce services in flight at once.
// It leaves report workers to other reports while these hosts do not respond.
const maxScarceProbes = reportWorkers / 2

// startScarceProbes returns the hosts of scarce services whose probes start now. Each is followed
// by endScarceProbe.
func (f *fleet) startScarceProbes() []comfreyfleet.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.scarceProbes.Start(f.tracker.Scarce(), maxScarceProbes)
}

// endScarceProbe records that the probe of a host has ended or was not sent.
func (f *fleet) endScarceProbe(host string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.scarceProbes.End(host)
}
