package comfreyfleet

import (
	"time"

	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// settleTime is how long a process that was paused refuses work after it woke,
// so that the gateways that saw it leave in the meantime can tell it. They do
// so at least twice as often.
const settleTime = time.Second

// MaxListLag bounds how far the host list lags behind the truth. A list that
// arrives less than this after the start of a process may speak of the process
// before it on the same host.
const MaxListLag = 30 * time.Second

// Lifecycle decides in a sidecar whether new work may begin. It has the last
// word: whatever a gateway believes, work begins only if Begin returns nil. A
// Lifecycle is not safe for concurrent use.
type Lifecycle struct {
	host    string
	word    Status
	left    bool
	listed  bool
	lease   *Lease
	version uint64
	since   time.Time
	settled time.Time
}

// NewLifecycle returns the lifecycle of a process that accepts work as soon
// as its lease is renewed.
func NewLifecycle(host string, i Incarnation, c LeaseConfig) *Lifecycle {
	return &Lifecycle{host: host, word: Status{Incarnation: i, Accepting: true}, lease: NewLease(c)}
}

// Status returns what the process says about itself.
func (l *Lifecycle) Status() Status {
	return l.word
}

// IsRefusing reports whether the process refuses all new work.
func (l *Lifecycle) IsRefusing() bool {
	return l.left
}

// IsListedLeaving reports whether the newest host list names the host as
// leaving, be it this process or one before it on the same host.
func (l *Lifecycle) IsListedLeaving() bool {
	return l.listed
}

// LeavingSince returns when the process began to leave; zero if it has not.
func (l *Lifecycle) LeavingSince() time.Time {
	return l.since
}

// AnnounceLeaving makes the word of the process say that it leaves, while work from
// gateways that have not heard it yet may still begin. A planned stop announces
// a short time before it leaves, so that it costs no refusals.
func (l *Lifecycle) AnnounceLeaving(now time.Time) {
	if !l.word.Accepting {
		return
	}
	l.word.Accepting = false
	l.since = now
}

// Leave makes the process refuse all new work from now on.
func (l *Lifecycle) Leave(now time.Time) {
	l.AnnounceLeaving(now)
	l.left = true
}

// Observe takes a host list, from the platform or shown by a gateway. A list
// newer than all before it that names this host as leaving makes the process
// leave, unless the list is older than the process. It reports whether the
// process is leaving.
func (l *Lifecycle) Observe(now time.Time, v View) bool {
	if v.Version() <= l.version {
		return !l.word.Accepting
	}
	l.version = v.Version()
	m, ok := v.Find(l.host)
	l.listed = ok && m.State != StateLive
	if l.listed && v.At().After(l.word.Incarnation.Start()) {
		l.Leave(now)
	}
	return !l.word.Accepting
}

// Renew records that the process has looked for orders to stop. The caller
// reads now before it looks, so that a pause in between counts as one. It
// includes Wake.
func (l *Lifecycle) Renew(now time.Time) {
	l.DetectPause(now)
	l.lease.Renew(now)
}

// DetectPause records a look at the clock and returns how long the process was
// paused. After a pause nothing begins until Renew, and until the gateways have
// had a second to say what was missed.
func (l *Lifecycle) DetectPause(now time.Time) time.Duration {
	p := l.lease.DetectPause(now)
	if p > 0 {
		l.settled = now.Add(settleTime)
	}
	return p
}

// Begin returns nil if work may be handed to the upstream at now. Otherwise
// it returns a comfreyverdict.Error that proves that the work was not begun.
func (l *Lifecycle) Begin(now time.Time) error {
	if l.left || l.listed {
		return comfreyverdict.NotRun(comfreyverdict.ReasonLeaving, "the sidecar is leaving")
	}
	if !l.lease.Valid(now) || now.Before(l.settled) {
		return comfreyverdict.NotRun(comfreyverdict.ReasonLeaving, "the sidecar was paused and has to look again")
	}
	return nil
}
