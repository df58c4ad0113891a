package comfreygateway

import (
	"sync"
	"time"

	"comfreyridge.example/comfreyridge/comfreyfleet"
	"comfreyridge.example/comfreyridge/comfreyproto"
	"comfreyridge.example/comfreyridge/comfreyrouter"
	"comfreyridge.example/comfreyridge/comfreyrpc"
)

// fleet joins the tracker and the router of a gateway. It is safe for
// concurrent use.
type fleet struct {
	now    func() time.Time
	router *comfreyrouter.Router

	mu      sync.Mutex
	tracker *comfreyfleet.Tracker
	// suspected is when a host was suspected last.
	suspected time.Time
	// lookedAt is when hosts that left were last asked whether they are back.
	lookedAt time.Time
}

// suspicionSpan is how long after the last suspicion hosts may still be waiting
// to be let back in; it exceeds the longest back-off of a suspicion.
const suspicionSpan = 30 * time.Second

func newFleet(c comfreyrouter.Config, now func() time.Time) *fleet {
	return &fleet{
		now:     now,
		router:  comfreyrouter.New(c),
		tracker: comfreyfleet.NewTracker(comfreyfleet.TrackerConfig{}),
	}
}

// isListed reports whether a host list is known.
func (f *fleet) isListed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tracker.View().Version() > 0
}

// update takes a newer host list.
func (f *fleet) update(v comfreyfleet.View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.tracker.Update(v) {
		f.refresh()
	}
}

// refresh hands the router the members that may get work. The caller holds the
// lock.
func (f *fleet) refresh() {
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

// tick lets suspected hosts back in once their back-off has passed.
func (f *fleet) tick() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.now().Sub(f.suspected) < suspicionSpan {
		f.refresh()
	}
}

// observe takes the load that a sidecar reported about itself.
func (f *fleet) observe(host string, l *comfreyproto.Load) {
	if l == nil || l.Incarnation == 0 {
		return
	}
	if l.Accepting && l.Unready {
		// The word of leaving is final, and this is none.
		f.suspect(host, comfreyfleet.EvidenceProbeSilent)
		return
	}
	now := f.now()
	w := comfreyfleet.Word{Incarnation: comfreyfleet.Incarnation(l.Incarnation), Accepting: l.Accepting}
	f.mu.Lock()
	changed := f.tracker.Leaving(host) != !l.Accepting
	f.tracker.Observe(now, host, w)
	if changed {
		f.refresh()
	}
	f.mu.Unlock()
	f.router.Observe(now, host, hintOf(l))
}

func hintOf(l *comfreyproto.Load) comfreyrouter.Hint {
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
	f.suspected = f.now()
	f.tracker.Suspect(f.suspected, host, e)
	f.refresh()
}

// find returns the listed member with the given host.
func (f *fleet) find(host string) (comfreyfleet.Member, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tracker.View().Find(host)
}

// listed returns what the newest host list says about a host, for its sidecar.
func (f *fleet) listed(host string) *comfreyproto.ListedState {
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
