package comfreyreconciler

import (
	"time"

	"comfreyridge.example/comfreyridge/comfreyinvariant"
)

// The invariants of a mover.
const (
	invariantOneOrder   comfreyinvariant.Name = "mover-one-order-in-flight"
	invariantFenceGrows comfreyinvariant.Name = "mover-fence-grows"
	invariantValidLease comfreyinvariant.Name = "mover-sends-under-lease"
)

// Reconciler holds what one sidecar knows about the wanted and the actual state of
// its upstream. A Reconciler is not safe for concurrent use.
type Reconciler struct {
	config    Config
	share     LoadSchedule
	revision  uint64
	target    State
	hasTarget bool
	isStopped bool
	// leaseEnd is until when the target is known to be the newest.
	leaseEnd       time.Time
	nextRevalidate time.Time
	nextRead       time.Time
	seen           Observation
	seenAt         time.Time
	counter        uint64
	sent           FencingNumber
	sentAt         time.Time
	isInFlight     bool
	lastSlot       int64
}

// NewReconciler returns a mover that knows nothing about its upstream yet.
func NewReconciler(c Config) *Reconciler {
	return &Reconciler{config: c.withDefaults(), lastSlot: -1}
}

// SetDesiredState takes the wanted state of an accepted configuration revision. A
// revision that is not newer than the one in force is ignored.
func (m *Reconciler) SetDesiredState(revision uint64, t State) {
	if m.hasTarget && revision <= m.revision {
		return
	}
	m.revision, m.target, m.hasTarget = revision, t, true
	m.nextRead = time.Time{}
}

// SetLoadSchedule takes the upstream's part of the weight store's rate limit.
func (m *Reconciler) SetLoadSchedule(s LoadSchedule) {
	m.share = s
}

// RenewLease notes that revision was the newest one when the platform or a peer was
// asked, and that it may be acted on until end, which is counted from the time
// at which the question was sent. It is ignored if the mover knows a newer
// revision.
func (m *Reconciler) RenewLease(revision uint64, end time.Time) {
	if m.hasTarget && revision == m.revision && end.After(m.leaseEnd) {
		m.leaseEnd = end
	}
}

// ObserveRevision takes the number of a revision that another process shows. The
// mover sends nothing until it has that revision.
func (m *Reconciler) ObserveRevision(revision uint64) {
	if revision > m.revision {
		m.leaseEnd = time.Time{}
	}
}

// ObserveIncarnation takes the incarnation that another process knows of this
// upstream's sidecar. The mover stops for good if that one is newer.
func (m *Reconciler) ObserveIncarnation(incarnation uint64) {
	if incarnation > m.config.Incarnation {
		m.isStopped = true
	}
}

// Next returns what to do now. It is called again after each action.
func (m *Reconciler) Next(now time.Time) Action {
	switch {
	case m.isStopped:
		return Action{Kind: ActionStop}
	case m.isInFlight && now.Before(m.sentAt.Add(m.config.CommandTimeout)):
		return Action{Until: m.sentAt.Add(m.config.CommandTimeout)}
	case !m.hasLease(now):
		return m.revalidate(now)
	case !m.isFresh(now):
		return m.readBack(now)
	default:
		return m.approach(now)
	}
}

func (m *Reconciler) hasLease(now time.Time) bool {
	return m.hasTarget && isBefore(now, m.leaseEnd)
}

// isFresh reports whether the state was read so lately, and after the end of
// the last order, that an order may be based on it.
func (m *Reconciler) isFresh(now time.Time) bool {
	return !m.seenAt.IsZero() && isBefore(now, m.seenAt.Add(m.config.MaxStateAge)) && !now.Before(m.seenAt)
}

func (m *Reconciler) revalidate(now time.Time) Action {
	if now.Before(m.nextRevalidate) {
		return Action{Until: m.nextRevalidate}
	}
	m.nextRevalidate = now.Add(m.config.PollInterval)
	return Action{Kind: ActionRevalidate}
}

func (m *Reconciler) readBack(now time.Time) Action {
	if now.Before(m.nextRead) {
		return Action{Until: m.nextRead}
	}
	m.nextRead = now.Add(m.config.PollInterval)
	return Action{Kind: ActionReadBack}
}

// approach decides on a state that was just read.
func (m *Reconciler) approach(now time.Time) Action {
	o, ok := next(m.seen.State, m.target)
	if m.seen.IsBusy {
		return m.wait(now.Add(m.config.PollInterval))
	}
	if !ok {
		return m.wait(now.Add(m.config.ResyncInterval))
	}
	if t := m.config.Start.Add(m.config.TakeoverDelay); !m.config.IsFencingEnforced && now.Before(t) {
		return m.wait(t)
	}
	if n, isOpen := m.share.isOpen(now); o.LoadsWeights() && (!isOpen || n == m.lastSlot && n >= 0) {
		t, ok := m.share.nextOpen(now)
		if !ok {
			t = now.Add(m.config.ResyncInterval)
		}
		return m.wait(t)
	}
	o.FencingNumber = FencingNumber{m.revision, m.config.Incarnation, m.counter + 1}
	return Action{Kind: ActionSend, Command: o}
}

func (m *Reconciler) wait(t time.Time) Action {
	m.seenAt = time.Time{}
	m.nextRead = t
	return Action{Until: t}
}

// BeginSend must be called directly before an order is sent, with the time read
// anew, and the order may be sent only if it returns true. It refuses the order
// of a process that was paused since Next, or that has learned of a newer
// revision or incarnation.
func (m *Reconciler) BeginSend(now time.Time, o Command) bool {
	f := FencingNumber{m.revision, m.config.Incarnation, m.counter + 1}
	if m.isStopped || m.isInFlight || !m.hasLease(now) || !m.isFresh(now) || o.FencingNumber != f {
		return false
	}
	if o.LoadsWeights() {
		n, isOpen := m.share.isOpen(now)
		if !isOpen {
			return false
		}
		m.lastSlot = n
	}
	comfreyinvariant.Check(!m.isInFlight, invariantOneOrder, "order %s is sent beside %s", f, m.sent)
	comfreyinvariant.Check(f.Compare(m.sent) > 0, invariantFenceGrows, "order %s is sent after %s", f, m.sent)
	comfreyinvariant.Check(now.Before(m.leaseEnd), invariantValidLease, "order %s is sent without a lease", f)
	m.counter++
	m.sent, m.sentAt, m.isInFlight = f, now, true
	m.seenAt = time.Time{}
	return true
}

// RecordSent notes that the last byte of the order with the number f was written, and
// starts its timeout anew: the process may have been paused since Confirm. The
// adapter calls Next again only after RecordSent or Answer.
func (m *Reconciler) RecordSent(now time.Time, f FencingNumber) {
	if m.isInFlight && f == m.sent && now.After(m.sentAt) {
		m.sentAt = now
	}
}

// RecordResult takes the end of the order with the number f, and for ResultFenced the
// highest number that the upstream has seen. It is ignored unless that order is
// in flight. A lost order stays in flight until its timeout, as it may still
// take effect.
func (m *Reconciler) RecordResult(f FencingNumber, r Result, highest FencingNumber) {
	if !m.isInFlight || f != m.sent {
		return
	}
	if r == ResultUnknown {
		return
	}
	m.isInFlight = false
	m.nextRead = time.Time{}
	m.learn(highest)
}

// Observe takes the state that was read back, and the time at which the read
// was sent. It is ignored if an order was sent since.
func (m *Reconciler) Observe(sentAt time.Time, o Observation) {
	m.learn(o.FencingNumber)
	if m.isInFlight && sentAt.Before(m.sentAt.Add(m.config.CommandTimeout)) {
		return
	}
	m.isInFlight = false
	m.seen, m.seenAt = o, sentAt
}

// learn takes a fencing number that the upstream has seen: of a newer revision,
// which this process lacks, or of a newer incarnation, which has taken over.
func (m *Reconciler) learn(f FencingNumber) {
	m.ObserveIncarnation(f.Incarnation)
	m.ObserveRevision(f.Revision)
	if f.Incarnation == m.config.Incarnation && f.Counter > m.counter {
		m.counter = f.Counter
	}
}

// isBefore reports whether a is before b by both clocks. The monotonic clock
// can miss a pause of the machine, and the wall clock can be set back.
func isBefore(a, b time.Time) bool {
	return a.Before(b) && a.Round(0).Before(b.Round(0))
}
