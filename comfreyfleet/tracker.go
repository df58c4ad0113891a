package comfreyfleet

import "time"

// Defaults of a TrackerConfig.
const (
	defaultFirstBackoff = 500 * time.Millisecond
	defaultMaxBackoff   = 10 * time.Second
)

// TrackerConfig holds the bounds of a Tracker. The zero value of each field
// selects its default.
type TrackerConfig struct {
	// FirstBackoff is the time until the first probe of a newly suspected
	// upstream; the default is 500 ms.
	FirstBackoff time.Duration
	// MaxBackoff is the upper bound of the back-off, which doubles; the
	// default is 10 s.
	MaxBackoff time.Duration
}

// Tracker is one process's local view of the fleet. The host list is a hint; the
// status that a sidecar reports about itself is authoritative. A Tracker is not
// safe for concurrent use.
type Tracker struct {
	config     TrackerConfig
	view       View
	statuses   map[string]Status
	suspicions map[string]suspicionState
}

// NewTracker returns a tracker with an empty host list.
func NewTracker(c TrackerConfig) *Tracker {
	if c.FirstBackoff <= 0 {
		c.FirstBackoff = defaultFirstBackoff
	}
	if c.MaxBackoff <= 0 {
		c.MaxBackoff = defaultMaxBackoff
	}
	return &Tracker{config: c, statuses: map[string]Status{}, suspicions: map[string]suspicionState{}}
}

// Update applies a newer host list and drops the status and suspicions of hosts
// that are no longer listed. It reports false and changes nothing if v is not
// newer; the versions of the platform start from 1.
func (t *Tracker) Update(v View) bool {
	if v.Version() <= t.view.Version() {
		return false
	}
	for _, m := range v.Diff(t.view).Removed {
		delete(t.statuses, m.Host)
		delete(t.suspicions, m.Host)
	}
	t.view = v
	return true
}

// View returns the newest host list that was applied.
func (t *Tracker) View() View {
	return t.view
}

// Observe records the status of a sidecar that was received from it directly. The
// connection works, so Observe clears every suspicion of the host.
func (t *Tracker) Observe(_ time.Time, host string, w Status) {
	delete(t.suspicions, host)
	t.ObserveIndirect(host, w)
}

// ObserveIndirect records the status of a sidecar that was received through
// another process. It clears no suspicion, because it says nothing about the
// network path to the host.
func (t *Tracker) ObserveIndirect(host string, w Status) {
	if _, ok := t.view.Find(host); !ok {
		return
	}
	if o, ok := t.statuses[host]; ok {
		w = o.Merge(w)
	}
	t.statuses[host] = w
}

// Suspect adds evidence against a host and returns the suspicion that results.
func (t *Tracker) Suspect(now time.Time, host string, e Evidence) Suspicion {
	if _, ok := t.view.Find(host); !ok {
		return SuspicionNone
	}
	d := t.suspicions[host].add(now, e, t.config.FirstBackoff, t.config.MaxBackoff)
	t.suspicions[host] = d
	return d.degree
}

// Suspicion returns the current suspicion of a host.
func (t *Tracker) Suspicion(host string) Suspicion {
	return t.suspicions[host].degree
}

// Leaving reports whether a host must receive no new work: it is not listed, its
// own status says that it does not accept work, or the list names it as leaving
// and no process has started on the host since.
func (t *Tracker) Leaving(host string) bool {
	m, ok := t.view.Find(host)
	return !ok || t.isLeaving(m)
}

func (t *Tracker) isLeaving(m Member) bool {
	w, ok := t.statuses[m.Host]
	if !ok {
		return m.State != StateLive
	}
	if !w.Accepting {
		return true
	}
	return m.State != StateLive && !w.Incarnation.Start().After(t.view.At())
}

// UnconfirmedLeaving returns the upstreams that the list names as leaving and
// whose own status does not say so yet, sorted by host. The gateway sends its
// list to their sidecars, because another gateway with an older list may still
// send them work.
func (t *Tracker) UnconfirmedLeaving() []Member {
	var s []Member
	for _, m := range t.view.members {
		if m.Role != RoleUpstream || m.State == StateLive || !t.isLeaving(m) {
			continue
		}
		if w, ok := t.statuses[m.Host]; !ok || w.Accepting {
			s = append(s, m)
		}
	}
	return s
}

// Candidates returns the members that may receive new work for a service, sorted
// by host. A suspected upstream is not a candidate until a probe succeeds. If all
// of them are suspected, Candidates returns them all, because then the failure is
// more likely on this side, and the sidecar decides in any case.
func (t *Tracker) Candidates(now time.Time, service string) []Member {
	return t.AppendCandidates(nil, now, service)
}

// AppendCandidates appends the result of Candidates to s.
func (t *Tracker) AppendCandidates(s []Member, _ time.Time, service string) []Member {
	n := len(s)
	for _, m := range t.view.members {
		if t.isEligible(m, service) && t.suspicions[m.Host].degree != SuspicionUpstream {
			s = append(s, m)
		}
	}
	if len(s) > n {
		return s
	}
	for _, m := range t.view.members {
		if t.isEligible(m, service) {
			s = append(s, m)
		}
	}
	return s
}

func (t *Tracker) isEligible(m Member, service string) bool {
	return m.Role == RoleUpstream && m.Service == service && !t.isLeaving(m)
}

// DueProbes returns the suspected hosts that are due for a probe at now, sorted
// by host. The gateway probes each on a new connection and reports the result to
// Observe or Suspect. A host is not returned again until its back-off has passed
// again.
func (t *Tracker) DueProbes(now time.Time) []Member {
	var s []Member
	for _, m := range t.view.members {
		d, ok := t.suspicions[m.Host]
		if !ok || now.Before(d.retryAt) {
			continue
		}
		d.retryAt = now.Add(max(d.backoff, t.config.FirstBackoff))
		t.suspicions[m.Host] = d
		s = append(s, m)
	}
	return s
}
