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
	// FirstBackoff is how long a newly suspected upstream waits for its next
	// trial; the default is 500 ms.
	FirstBackoff time.Duration
	// MaxBackoff bounds the doubling of the back-off; the default is 10 s.
	MaxBackoff time.Duration
}

// Tracker is what one process believes about the fleet. The host list is a
// hint; the word of a sidecar about itself is proof. A Tracker is not safe for
// concurrent use.
type Tracker struct {
	config TrackerConfig
	view   View
	words  map[string]Status
	doubts map[string]doubt
}

// NewTracker returns a tracker that knows no host.
func NewTracker(c TrackerConfig) *Tracker {
	if c.FirstBackoff <= 0 {
		c.FirstBackoff = defaultFirstBackoff
	}
	if c.MaxBackoff <= 0 {
		c.MaxBackoff = defaultMaxBackoff
	}
	return &Tracker{config: c, words: map[string]Status{}, doubts: map[string]doubt{}}
}

// Update takes a newer host list and forgets what was known of hosts that it
// no longer holds. It reports false and changes nothing if v is not newer; the
// versions of the platform start from 1.
func (t *Tracker) Update(v View) bool {
	if v.Version() <= t.view.Version() {
		return false
	}
	for _, m := range v.Diff(t.view).Removed {
		delete(t.words, m.Host)
		delete(t.doubts, m.Host)
	}
	t.view = v
	return true
}

// View returns the newest host list that the tracker took.
func (t *Tracker) View() View {
	return t.view
}

// Observe takes the word of a sidecar that arrived at now on a connection
// that works, which clears every suspicion against the host.
func (t *Tracker) Observe(_ time.Time, host string, w Status) {
	delete(t.doubts, host)
	t.ObserveIndirect(host, w)
}

// ObserveIndirect takes the word of a sidecar that came by way of another process. It
// clears no suspicion, because it says nothing about the path to the host.
func (t *Tracker) ObserveIndirect(host string, w Status) {
	if _, ok := t.view.Find(host); !ok {
		return
	}
	if o, ok := t.words[host]; ok {
		w = o.Merge(w)
	}
	t.words[host] = w
}

// Suspect adds evidence against a host and returns the suspicion that results.
func (t *Tracker) Suspect(now time.Time, host string, e Evidence) Suspicion {
	if _, ok := t.view.Find(host); !ok {
		return SuspicionNone
	}
	d := t.doubts[host].add(now, e, t.config.FirstBackoff, t.config.MaxBackoff)
	t.doubts[host] = d
	return d.degree
}

// Suspicion returns what is held against a host.
func (t *Tracker) Suspicion(host string) Suspicion {
	return t.doubts[host].degree
}

// Leaving reports whether a host must get no new work: its own word says so,
// or the list does and no process has started on the host since.
func (t *Tracker) Leaving(host string) bool {
	m, ok := t.view.Find(host)
	return !ok || t.leaving(m)
}

func (t *Tracker) leaving(m Member) bool {
	w, ok := t.words[m.Host]
	if !ok {
		return m.State != StateLive
	}
	if !w.Accepting {
		return true
	}
	return m.State != StateLive && !w.Incarnation.Start().After(t.view.At())
}

// UnconfirmedLeaving returns the upstreams that the list names as leaving and that have
// not said so themselves, sorted by host. The caller shows its list to their
// sidecars, because another gateway with an older list may still send them
// work.
func (t *Tracker) UnconfirmedLeaving() []Member {
	var s []Member
	for _, m := range t.view.members {
		if m.Role != RoleUpstream || m.State == StateLive || !t.leaving(m) {
			continue
		}
		if w, ok := t.words[m.Host]; !ok || w.Accepting {
			s = append(s, m)
		}
	}
	return s
}

// Candidates returns the members that may get new work for a service, sorted
// by host. A suspected upstream is no candidate until a trial clears it. If all
// of them are suspected it returns them all, because then the fault is more
// likely on this side, and the sidecar decides anyway.
func (t *Tracker) Candidates(now time.Time, service string) []Member {
	return t.AppendCandidates(nil, now, service)
}

// AppendCandidates appends the result of Candidates to s.
func (t *Tracker) AppendCandidates(s []Member, _ time.Time, service string) []Member {
	n := len(s)
	for _, m := range t.view.members {
		if t.eligible(m, service) && t.doubts[m.Host].degree != SuspicionUpstream {
			s = append(s, m)
		}
	}
	if len(s) > n {
		return s
	}
	for _, m := range t.view.members {
		if t.eligible(m, service) {
			s = append(s, m)
		}
	}
	return s
}

func (t *Tracker) eligible(m Member, service string) bool {
	return m.Role == RoleUpstream && m.Service == service && !t.leaving(m)
}

// DueProbes returns the suspected hosts that are due for a trial at now, sorted
// by host: the caller probes each on a new connection and reports the result
// to Observe or Suspect. A host is not returned again before its back-off has
// passed once more.
func (t *Tracker) DueProbes(now time.Time) []Member {
	var s []Member
	for _, m := range t.view.members {
		d, ok := t.doubts[m.Host]
		if !ok || now.Before(d.retryAt) {
			continue
		}
		d.retryAt = now.Add(max(d.backoff, t.config.FirstBackoff))
		t.doubts[m.Host] = d
		s = append(s, m)
	}
	return s
}
