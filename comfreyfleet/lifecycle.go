package comfreyfleet

import (
	"time"

	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// resumeDelay is how long a process refuses work after a pause. Within it the
// gateways that saw the host listed as leaving during the pause can send it that
// list; they do so at intervals of at most half this delay.
const resumeDelay = time.Second

// MaxListLag bounds how far the host list lags behind the actual state of the
// hosts. A list that arrives less than this after the start of a process may
// describe the previous process on the same host.
const MaxListLag = 30 * time.Second

// Lifecycle decides in a sidecar whether new work may begin. Its decision is
// final: whatever a gateway's local view is, work begins only if Begin returns
// nil. A Lifecycle is not safe for concurrent use.
type Lifecycle struct {
	host            string
	status          Status
	isRefusing      bool
	isListedLeaving bool
	lease           *Lease
	listVersion     uint64
	leavingSince    time.Time
	resumeAt        time.Time
}

// NewLifecycle returns the lifecycle of a process that accepts work as soon as
// Renew is called.
func NewLifecycle(host string, i Incarnation, c LeaseConfig) *Lifecycle {
	return &Lifecycle{host: host, status: Status{Incarnation: i, Accepting: true}, lease: NewLease(c)}
}

// Status returns the status that the process reports about itself.
func (l *Lifecycle) Status() Status {
	return l.status
}

// IsRefusing reports whether the process refuses all new work because Leave was
// called or a host list made it leave.
func (l *Lifecycle) IsRefusing() bool {
	return l.isRefusing
}

// IsListedLeaving reports whether the newest host list names the host as
// leaving, no matter whether the list describes this process or an earlier one
// on the same host.
func (l *Lifecycle) IsListedLeaving() bool {
	return l.isListedLeaving
}

// LeavingSince returns when the process first reported that it is leaving, or
// the zero time if it has not.
func (l *Lifecycle) LeavingSince() time.Time {
	return l.leavingSince
}

// AnnounceLeaving makes the process report that it no longer accepts work, while
// work from gateways that have not received this status yet may still begin. A
// planned stop announces a short time before it calls Leave, so that no request
// is refused because of it.
func (l *Lifecycle) AnnounceLeaving(now time.Time) {
	if !l.status.Accepting {
		return
	}
	l.status.Accepting = false
	l.leavingSince = now
}

// Leave makes the process report that it is leaving and refuse all new work from
// now on.
func (l *Lifecycle) Leave(now time.Time) {
	l.AnnounceLeaving(now)
	l.isRefusing = true
}

// Observe applies a host list from the platform or from a gateway. If the list
// is newer than all previous ones and names this host as leaving, the process
// leaves, unless the list is older than the process. It reports whether the
// process is leaving.
func (l *Lifecycle) Observe(now time.Time, v View) bool {
	if v.Version() <= l.listVersion {
		return !l.status.Accepting
	}
	l.listVersion = v.Version()
	m, ok := v.Find(l.host)
	l.isListedLeaving = ok && m.State != StateLive
	if l.isListedLeaving && v.At().After(l.status.Incarnation.Start()) {
		l.Leave(now)
	}
	return !l.status.Accepting
}

// Renew records that the process has checked whether it has to stop. The caller
// reads now before the check, so that a pause during the check is detected.
// Renew includes DetectPause.
func (l *Lifecycle) Renew(now time.Time) {
	l.DetectPause(now)
	l.lease.Renew(now)
}

// DetectPause records the time of this call and returns how long the process was
// paused since the previous one. After a pause no work begins until Renew, and
// until the gateways have had a second to send the host list that was missed.
func (l *Lifecycle) DetectPause(now time.Time) time.Duration {
	p := l.lease.DetectPause(now)
	if p > 0 {
		l.resumeAt = now.Add(resumeDelay)
	}
	return p
}

// Begin returns nil if work may be sent to the upstream at now. Otherwise it
// returns a comfreyverdict.Error with the verdict that the work was not run.
func (l *Lifecycle) Begin(now time.Time) error {
	if l.isRefusing || l.isListedLeaving {
		return comfreyverdict.NotRun(comfreyverdict.ReasonLeaving, "the sidecar is leaving")
	}
	if !l.lease.Valid(now) || now.Before(l.resumeAt) {
		return comfreyverdict.NotRun(comfreyverdict.ReasonLeaving, "the sidecar was paused and has not confirmed its state yet")
	}
	return nil
}
