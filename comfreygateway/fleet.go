package comfreygateway

import (
	"sync"
	"time"

	"comfreyridge.example/comfreyridge/comfreyfleet"
	"comfreyridge.example/comfreyridge/comfreyproto"
	"comfreyridge.example/comfreyridge/comfreyrouter"
	"comfreyridge.example/comfreyridge/comfreyrpc"
)

// fleet keeps the tracker and the router of a gateway in step: the router
// chooses only among the hosts that the tracker considers candidates. It is
// safe for concurrent use.
type fleet struct {
	now    func() time.Time
	router *comfreyrouter.Router

	mu      sync.Mutex
	tracker *comfreyfleet.Tracker
	// lastSuspicion is when evidence against a host was last recorded.
	lastSuspicion time.Time
	// lastReturnProbe is when leaving hosts were last probed for a new process.
	lastReturnProbe time.Time
	scarceProbes    comfreyfleet.ProbeTurns
}

// suspicionPeriod is how long after the last suspicion hosts may still wait to
// become candidates again. It exceeds the longest back-off of a suspicion.
const suspicionPeriod = 30 * time.Second

func newFleet(c comfreyrouter.Config, now func() time.Time) *fleet {
	return &fleet{
		now:     now,
		router:  comfreyrouter.New(c),
		tracker: comfreyfleet.NewTracker(comfreyfleet.TrackerConfig{}),
	}
}

// isListed reports whether a host list was received.
func (f *fleet) isListed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tracker.View().Version() > 0
}

// update applies a host list if it is newer than the current one.
func (f *fleet) update(v comfreyfleet.View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.tracker.Update(v) {
		f.updateRouter()
	}
}

// updateRouter passes the candidates of all services to the router. The caller
// must hold f.mu.
func (f *fleet) updateRouter() {
	now := f.now()
	var s []comfreyfleet.Member
	seen := map[string]bool{}
	for _, m := range f.tracker.View().Members() {
		if m.Service == "" || seen[m.Service] {
			continue
		}
		seen[m.Service] = true
		s = f.tracker.AppendCandidates(s, now, m.Service)
	}
	f.router.Update(now, s)
}

// readmitSuspects makes suspected hosts candidates again once their back-off
// has passed.
func (f *fleet) readmitSuspects() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.now().Sub(f.lastSuspicion) < suspicionPeriod {
		f.updateRouter()
	}
}

// observe applies a load report of a host's sidecar. It ignores a report that
// is nil or carries no incarnation.
func (f *fleet) observe(host string, l *comfreyproto.Load) {
	if l == nil || l.Incarnation == 0 {
		return
	}
	if l.Accepting && l.Unready {
		// An unready sidecar refuses new requests without leaving, for example until
		// it has a configuration. Leaving is final for an incarnation, so the host is
		// only suspected.
		f.suspectOnce(host, comfreyfleet.EvidenceProbeSilent)
		return
	}
	now := f.now()
	w := comfreyfleet.Status{Incarnation: comfreyfleet.Incarnation(l.Incarnation), Accepting: l.Accepting}
	f.mu.Lock()
	changed := f.tracker.Leaving(host) != !l.Accepting || f.tracker.Suspicion(host) == comfreyfleet.SuspicionUpstream
	f.tracker.Observe(now, host, w)
	if changed {
		f.updateRouter()
	}
	f.mu.Unlock()
	f.router.Observe(now, host, hintFromLoad(l))
}

func hintFromLoad(l *comfreyproto.Load) comfreyrouter.Hint {
	return comfreyrouter.Hint{
		Incarnation:         comfreyfleet.Incarnation(l.Incarnation),
		Accepting:           l.Accepting,
		Running:             int(l.Running),
		Queued:              int(l.Queued),
		UsedTokens:          int(l.UsedTokens),
		CapacityTokens:      int(l.CapacityTokens),
		PredictedPeakTokens: int(l.PredictedPeakTokens),
		ExpectedWait:        comfreyrpc.Duration(l.ExpectedWaitMillis),
	}
}

// suspect records evidence against a host.
func (f *fleet) suspect(host string, e comfreyfleet.Evidence) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastSuspicion = f.now()
	f.tracker.Suspect(f.lastSuspicion, host, e)
	f.updateRouter()
}

// suspectOnce records evidence against a host that is not suspected yet. It does not extend the
// back-off of one that is: the evidence comes from a probe that did not wait for it, or from a
// sidecar that responds and will be ready soon.
func (f *fleet) suspectOnce(host string, e comfreyfleet.Evidence) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.tracker.Suspicion(host) == comfreyfleet.SuspicionUpstream {
		return
	}
	f.lastSuspicion = f.now()
	f.tracker.Suspect(f.lastSuspicion, host, e)
	f.updateRouter()
}

// find returns the member of the host list with the given host name.
func (f *fleet) find(host string) (comfreyfleet.Member, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tracker.View().Find(host)
}

// listedState returns a host's entry in the current host list, in the form that
// is sent to its sidecar.
func (f *fleet) listedState(host string) *comfreyproto.ListedState {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.tracker.View()
	m, ok := v.Find(host)
	return &comfreyproto.ListedState{
		Version:      v.Version(),
		AtUnixMillis: v.At().UnixMilli(),
		Leaving:      ok && m.State == comfreyfleet.StateLeaving,
	}
}
