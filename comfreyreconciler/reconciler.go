package comfreyreconciler

import (
	"time"

	"comfreyridge.example/comfreyridge/comfreyinvariant"
)

// The invariants of a reconciler.
const (
	invariantOneCommand         comfreyinvariant.Name = "mover-one-order-in-flight"
	invariantFencingNumberGrows comfreyinvariant.Name = "mover-fence-grows"
	invariantValidLease         comfreyinvariant.Name = "mover-sends-under-lease"
)

// Reconciler holds the desired and the observed state of one upstream and
// decides which commands lead from the one to the other. A Reconciler is not
// safe for concurrent use.
type Reconciler struct {
	config     Config
	schedule   LoadSchedule
	revision   uint64
	desired    State
	hasDesired bool
	isStopped  bool
	// leaseEnd is until when the active revision counts as the newest.
	leaseEnd       time.Time
	nextRevalidate time.Time
	nextRead       time.Time
	observed       Observation
	observedAt     time.Time
	commandCounter uint64
	lastSent       FencingNumber
	sentAt         time.Time
	isInFlight     bool
	lastSlot       int64
}

// NewReconciler returns a reconciler without a desired or observed state.
func NewReconciler(c Config) *Reconciler {
	return &Reconciler{config: c.withDefaults(), lastSlot: -1}
}

// SetDesiredState sets the desired state of an accepted configuration revision.
// A revision that is not newer than the active one is ignored.
func (r *Reconciler) SetDesiredState(revision uint64, s State) {
	if r.hasDesired && revision <= r.revision {
		return
	}
	r.revision, r.desired, r.hasDesired = revision, s, true
	r.nextRead = time.Time{}
}

// SetLoadSchedule sets the slots in which the upstream may load weights.
func (r *Reconciler) SetLoadSchedule(s LoadSchedule) {
	r.schedule = s
}

// RenewLease records that revision was the newest one when the platform or
// another process was asked, and that it may be acted on until end, which is
// counted from the time at which that request was sent. It is ignored unless
// revision is the active one.
func (r *Reconciler) RenewLease(revision uint64, end time.Time) {
	if r.hasDesired && revision == r.revision && end.After(r.leaseEnd) {
		r.leaseEnd = end
	}
}

// ObserveRevision records the number of a revision that another process has. If
// it is newer than the active one, the reconciler sends nothing until it has
// that revision.
func (r *Reconciler) ObserveRevision(revision uint64) {
	if revision > r.revision {
		r.leaseEnd = time.Time{}
	}
}

// ObserveIncarnation records an incarnation of this upstream's sidecar that
// another process has observed. The reconciler stops permanently if that
// incarnation is newer.
func (r *Reconciler) ObserveIncarnation(incarnation uint64) {
	if incarnation > r.config.Incarnation {
		r.isStopped = true
	}
}

// Next returns what to do at now. It is called again after each action.
func (r *Reconciler) Next(now time.Time) Action {
	switch {
	case r.isStopped:
		return Action{Kind: ActionStop}
	case r.isInFlight && now.Before(r.sentAt.Add(r.config.CommandTimeout)):
		return Action{Until: r.sentAt.Add(r.config.CommandTimeout)}
	case !r.hasLease(now):
		return r.revalidate(now)
	case !r.isFresh(now):
		return r.readBack(now)
	default:
		return r.reconcile(now)
	}
}

func (r *Reconciler) hasLease(now time.Time) bool {
	return r.hasDesired && isBefore(now, r.leaseEnd)
}

// isFresh reports whether the state was read after the end of the last command
// and recently enough that a command may be based on it.
func (r *Reconciler) isFresh(now time.Time) bool {
	return !r.observedAt.IsZero() && isBefore(now, r.observedAt.Add(r.config.MaxStateAge)) && !now.Before(r.observedAt)
}

func (r *Reconciler) revalidate(now time.Time) Action {
	if now.Before(r.nextRevalidate) {
		return Action{Until: r.nextRevalidate}
	}
	r.nextRevalidate = now.Add(r.config.PollInterval)
	return Action{Kind: ActionRevalidate}
}

func (r *Reconciler) readBack(now time.Time) Action {
	if now.Before(r.nextRead) {
		return Action{Until: r.nextRead}
	}
	r.nextRead = now.Add(r.config.PollInterval)
	return Action{Kind: ActionReadBack}
}

// reconcile returns the action for a state that was just read.
func (r *Reconciler) reconcile(now time.Time) Action {
	c, ok := nextCommand(r.observed.State, r.desired)
	if r.observed.IsBusy {
		return r.waitUntil(now.Add(r.config.PollInterval))
	}
	if !ok {
		return r.waitUntil(now.Add(r.config.ResyncInterval))
	}
	if t := r.config.Start.Add(r.config.TakeoverDelay); !r.config.IsFencingEnforced && now.Before(t) {
		return r.waitUntil(t)
	}
	if n, isOpen := r.schedule.slotAt(now); c.LoadsWeights() && (!isOpen || n == r.lastSlot && n >= 0) {
		t, ok := r.schedule.nextSlot(now)
		if !ok {
			t = now.Add(r.config.ResyncInterval)
		}
		return r.waitUntil(t)
	}
	c.FencingNumber = FencingNumber{r.revision, r.config.Incarnation, r.commandCounter + 1}
	return Action{Kind: ActionSend, Command: c}
}

// waitUntil returns an action that waits until t, after which the state is read
// again.
func (r *Reconciler) waitUntil(t time.Time) Action {
	r.observedAt = time.Time{}
	r.nextRead = t
	return Action{Until: t}
}

// BeginSend reports whether a command may be sent and marks it as in flight if
// so. It must be called directly before the command is sent, with the time read
// again. It returns false in a process that was paused since Next, or that has
// observed a newer revision or incarnation.
func (r *Reconciler) BeginSend(now time.Time, c Command) bool {
	f := FencingNumber{r.revision, r.config.Incarnation, r.commandCounter + 1}
	if r.isStopped || r.isInFlight || !r.hasLease(now) || !r.isFresh(now) || c.FencingNumber != f {
		return false
	}
	if c.LoadsWeights() {
		n, isOpen := r.schedule.slotAt(now)
		if !isOpen {
			return false
		}
		r.lastSlot = n
	}
	comfreyinvariant.Check(!r.isInFlight, invariantOneCommand, "command %s is sent while %s is in flight", f, r.lastSent)
	comfreyinvariant.Check(f.Compare(r.lastSent) > 0, invariantFencingNumberGrows, "command %s is sent after %s, want a larger fencing number", f, r.lastSent)
	comfreyinvariant.Check(now.Before(r.leaseEnd), invariantValidLease, "command %s is sent without a valid lease", f)
	r.commandCounter++
	r.lastSent, r.sentAt, r.isInFlight = f, now, true
	r.observedAt = time.Time{}
	return true
}

// RecordSent records that the last byte of the command with the number f was
// written, and restarts its timeout: the process may have been paused since
// BeginSend. The sidecar calls Next again only after RecordSent or
// RecordResult.
func (r *Reconciler) RecordSent(now time.Time, f FencingNumber) {
	if r.isInFlight && f == r.lastSent && now.After(r.sentAt) {
		r.sentAt = now
	}
}

// RecordResult records the result of the command with the number f, and for
// ResultFenced the highest number that the upstream has seen. It is ignored
// unless that command is in flight. A command with an unknown result stays in
// flight until its timeout, as it may still take effect.
func (r *Reconciler) RecordResult(f FencingNumber, result Result, highest FencingNumber) {
	if !r.isInFlight || f != r.lastSent {
		return
	}
	if result == ResultUnknown {
		return
	}
	r.isInFlight = false
	r.nextRead = time.Time{}
	r.observeFencingNumber(highest)
}

// Observe records the state that was read back, and the time at which the read
// was sent. The state is ignored if a command was sent since or may still be in
// flight.
func (r *Reconciler) Observe(sentAt time.Time, o Observation) {
	r.observeFencingNumber(o.FencingNumber)
	if r.isInFlight && sentAt.Before(r.sentAt.Add(r.config.CommandTimeout)) {
		return
	}
	r.isInFlight = false
	r.observed, r.observedAt = o, sentAt
}

// observeFencingNumber records a fencing number that the upstream has seen. Its
// revision may be newer than that of this process, or its incarnation may have
// taken over.
func (r *Reconciler) observeFencingNumber(f FencingNumber) {
	r.ObserveIncarnation(f.Incarnation)
	r.ObserveRevision(f.Revision)
	if f.Incarnation == r.config.Incarnation && f.Counter > r.commandCounter {
		r.commandCounter = f.Counter
	}
}

// isBefore reports whether a is before b by both clocks. The monotonic clock
// can miss a suspension of the machine, and the wall clock can be set back.
func isBefore(a, b time.Time) bool {
	return a.Before(b) && a.Round(0).Before(b.Round(0))
}
