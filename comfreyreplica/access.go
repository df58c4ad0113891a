package comfreyreplica

import (
	"errors"
	"time"
)

// Errors of Set.MayCall.
var (
	// ErrLeaving means that a replica accepts no new work.
	ErrLeaving = errors.New("comfreyreplica: expected a replica that accepts work, got one that leaves")
	// ErrReplaced means that another replica has the address of the one that is to be called.
	ErrReplaced = errors.New("comfreyreplica: expected a replica that has its address, got one whose address has another owner")
	// ErrPaused means that a replica has asked this process not to call it for a
	// time.
	ErrPaused = errors.New("comfreyreplica: expected a replica that may be called, got one that has asked for a pause")
	// ErrLimited means that a replica takes a limited rate of requests, and that
	// there is no permit for this one.
	ErrLimited = errors.New("comfreyreplica: expected a permit for a call to a replica with a rate limit, got none")
)

const (
	// MaxPause bounds a pause. A replica that asks for more is asked again after
	// it, in case the value was meant otherwise.
	MaxPause = 10 * time.Minute
	// maxPauseSpread bounds the random time that is added to a pause.
	maxPauseSpread = 500 * time.Millisecond
	// maxResumesInPause is how many generations may be resumed at a replica during
	// one pause. Their KV caches have been copied there already.
	maxResumesInPause = 2
	// resumeShare is the part of the drain period in which generations can be resumed at a
	// replica that leaves. The period begins when the store has accepted the announcement,
	// before this process knows of it.
	resumeShare = 0.75
	// maxOpening is the number of requests in flight up to which a replica opens
	// gradually after a pause.
	maxOpening = 32
	// openingRetention is how long an opening is kept without requests.
	openingRetention = 10 * time.Second
	// hintPeriod is how long a hint that a replica leaves is followed.
	hintPeriod = 3 * time.Second
)

// Purpose is what a call to a replica is for.
type Purpose int

// The purposes.
const (
	// PurposeWork is a request, a retry of one, or a reservation.
	PurposeWork Purpose = iota
	// PurposeResume resumes a generation whose KV cache was copied to the replica.
	PurposeResume
	// PurposeControl is any other call: load reports, and copies of KV caches to
	// other replicas.
	PurposeControl
)

// pause is the time for which a replica wants no calls, and how it opens
// afterwards.
type pause struct {
	until   time.Time
	resumes int
	// window is how many requests may be in flight, once the pause is over.
	window, inFlight int
}

// Permit allows one call to a replica that takes a limited rate of requests. The
// zero value allows none. Values are immutable.
type Permit struct {
	Replica string
	// Until is when the permit expires.
	Until time.Time
}

// allows reports whether the permit is for a call to a replica now.
func (p Permit) allows(now time.Time, id string) bool {
	return p.Replica == id && now.Before(p.Until)
}

// MayCall is MayCallWith without a permit.
func (s *Set) MayCall(now time.Time, id string, p Purpose) error {
	return s.MayCallWith(now, id, p, Permit{})
}

// MayCallWith returns nil if a call for a purpose may be sent to a replica now, or
// else ErrReplaced, ErrLeaving, ErrEvacuated, ErrPaused or ErrLimited. It has to be asked
// immediately before each call, and once for each, since it counts the resumed generations
// of a pause, and a permit is for one call.
//
// It is built for this load: replicas are replaced every few seconds while the
// store is unreachable, and their addresses go to others, or they refuse bursts that many
// processes send at once, or take a few requests a second from all processes; and what was
// decided some time before, such as a request that has waited for its connection, must not
// reach them any more.
func (s *Set) MayCallWith(now time.Time, id string, p Purpose, permit Permit) error {
	r, ok := s.replicas[id]
	if r.IsReplaced {
		return ErrReplaced
	}
	if p == PurposeWork && (!ok || !r.IsAccepting()) {
		return ErrLeaving
	}
	if p == PurposeResume && r.State == StateLeaving && now.Sub(r.Since) > s.resumePeriod() {
		return ErrLeaving
	}
	if err := s.checkEvacuation(now, r, p); err != nil {
		return err
	}
	a, isPaused := s.pauses.get(s.startOf(id))
	isPaused = isPaused && now.Before(a.until)
	if isPaused && (p != PurposeResume || a.resumes >= maxResumesInPause) {
		return ErrPaused
	}
	if s.needsPermit(now, id, p) && !permit.allows(now, id) {
		return ErrLimited
	}
	if isPaused {
		a.resumes++
	}
	return nil
}

// resumePeriod is how long generations can be resumed at a replica that leaves.
func (s *Set) resumePeriod() time.Duration {
	return time.Duration(resumeShare * float64(s.config.DrainPeriod))
}

// CanPlace reports whether a replica can be chosen for new work: it may be called,
// and if it opens after a pause, not too many requests of this process are in
// flight there. One with a rate limit can be chosen unless it is full.
func (s *Set) CanPlace(now time.Time, id string) bool {
	return s.CanPlaceWith(now, id, Permit{})
}

// CanPlaceWith is CanPlace for a request with a permit.
func (s *Set) CanPlaceWith(now time.Time, id string, permit Permit) bool {
	err := s.MayCallWith(now, id, PurposeWork, permit)
	if errors.Is(err, ErrLimited) {
		until, _ := s.full.get(s.startOf(id))
		return !now.Before(until)
	}
	if err != nil {
		return false
	}
	if len(s.pauses) == 0 {
		return true
	}
	a, ok := s.pauses.get(s.startOf(id))
	return !ok || a.inFlight < a.window
}

// Pause records that a replica has refused a call and wants none for a time, to
// which up to a quarter is added by a number in [0, 1), so that processes do not
// return at one moment. A pause is never shortened: each refusal counts for its
// own time. It ends with the replica's start. A time that is not positive has no
// effect, and one above MaxPause counts as MaxPause. The replica may be unlisted, for
// example while it is listed again. Pause returns the end.
func (s *Set) Pause(now time.Time, id string, d time.Duration, random float64) (until time.Time, ok bool) {
	if d <= 0 {
		return time.Time{}, false
	}
	k := s.startOf(id)
	d = min(d, MaxPause)
	d += time.Duration(random * float64(min(d/4, maxPauseSpread)))
	a, ok := s.pauses.get(k)
	if !ok {
		a = &pause{}
		s.pauses.set(k, a)
	}
	if now.After(a.until) {
		a.resumes = 0
	}
	if e := now.Add(d); e.After(a.until) {
		a.until = e
	}
	a.window = 1
	return a.until, true
}

// BeginWork records that a request is sent to a replica, and EndWork that its
// response has begun, or that it failed. They open a replica after a pause: each
// response that is no failure doubles the number of requests that may be in
// flight.
func (s *Set) BeginWork(id string) {
	if a, ok := s.pauses.get(s.startOf(id)); ok {
		a.inFlight++
	}
}

// EndWork is the counterpart of BeginWork.
func (s *Set) EndWork(now time.Time, id string, failed bool) {
	a, ok := s.pauses.get(s.startOf(id))
	if !ok {
		return
	}
	a.inFlight = max(a.inFlight-1, 0)
	if failed || now.Before(a.until) {
		return
	}
	if a.window *= 2; a.window > maxOpening {
		delete(s.pauses, id)
	}
}

// PauseEnd returns when the first replica of a service can be called again, if all
// those that accept work are paused.
func (s *Set) PauseEnd(now time.Time, service string) (end time.Time, ok bool) {
	for _, r := range s.replicas {
		if r.Service != service || !s.Accepts(r) {
			continue
		}
		a, isPaused := s.pauses.get(r.Start())
		if !isPaused || !now.Before(a.until) {
			return time.Time{}, false
		}
		if end.IsZero() || a.until.Before(end) {
			end = a.until
		}
	}
	return end, !end.IsZero()
}

// expirePauses drops pauses that ended long ago.
func (s *Set) expirePauses(now time.Time) {
	for id, e := range s.pauses {
		if now.Sub(e.value.until) > openingRetention {
			delete(s.pauses, id)
		}
	}
}

// Announce records that a replica has said in a response to this process that it
// leaves.
func (s *Set) Announce(now time.Time, id string) []Change {
	c := s.MarkLeaving(now, id, 0)
	for i := range c {
		c[i].Replica.IsAnnounced = true
		s.put(c[i].Replica)
	}
	return c
}

// MarkStartLeaving is MarkLeaving for one start of a replica. It has no effect on
// another start.
func (s *Set) MarkStartLeaving(now time.Time, k Start) []Change {
	if r, ok := s.replicas[k.ID]; !ok || !r.Start().isSame(k) {
		return nil
	}
	return s.MarkLeaving(now, k.ID, 0)
}

// Hint records that another process was told by a replica that it leaves. For a
// few seconds it is used only where no other replica can be. Within that time, a
// replica that leaves tells the store or this process; a hint that is wrong, late
// or about an earlier start takes no replica out.
func (s *Set) Hint(now time.Time, k Start) {
	if r, ok := s.replicas[k.ID]; ok && r.Start().isSame(k) && r.IsAccepting() {
		s.hints[k.ID] = now.Add(hintPeriod)
	}
}

// HasHints reports whether any replica is avoided because of a hint.
func (s *Set) HasHints() bool {
	return len(s.hints) > 0
}

// IsHinted reports whether a replica is used only where no other can be.
func (s *Set) IsHinted(now time.Time, id string) bool {
	return now.Before(s.hints[id])
}

// expireHints drops hints that are no longer followed.
func (s *Set) expireHints(now time.Time) {
	for id, until := range s.hints {
		if !now.Before(until) {
			delete(s.hints, id)
		}
	}
}
