package comfreygateway

import (
	"time"

	"comfreyridge.example/comfreyridge/comfreyfleet"
)

// returnInterval is how often a gateway asks a host that is listed as live and
// that said it leaves whether a new process has started there.
const returnInterval = 2 * time.Second

// trials returns the hosts to probe although the router gives them no work:
// suspected ones whose back-off has passed, and those that said they leave and
// may have been replaced by a new process. Nothing else brings them back. Those
// that the list names as leaving and that have not heard of it are shown the
// list.
func (f *fleet) trials() []comfreyfleet.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	s := append(f.tracker.Trials(now), f.tracker.Unaware()...)
	if now.Sub(f.lookedAt) < returnInterval {
		return s
	}
	f.lookedAt = now
	for _, m := range f.tracker.View().Members() {
		if m.Role == comfreyfleet.RoleUpstream && m.State == comfreyfleet.StateLive && f.tracker.Leaving(m.Host) && f.tracker.Suspicion(m.Host) == comfreyfleet.SuspicionNone {
			s = append(s, m)
		}
	}
	return s
}
