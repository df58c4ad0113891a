// Package comfreyreturn decides when the callers of refused requests return, and
// recognizes them when they do. It makes no calls and reads no clock.
//
// It is built for this load: for some seconds, twice as many generations arrive as the
// memory of the engines holds. Each caller returns once, at another gateway. Callers
// who are all told to return within a second come back into the same overload, are
// refused again and give up, although there is room for all of them a little later.
package comfreyreturn

import (
	"slices"
	"time"
)

const (
	// retention is how long after the time that its caller was told a refusal is kept.
	retention = 15 * time.Second
	// repeatPeriod is how long a refusal is part of the messages to other processes.
	repeatPeriod = 600 * time.Millisecond
	// maxRefusals bounds the refusals that are kept, and maxSent those of one message.
	maxRefusals = 4096
	maxSent     = 24
	// earlyReturn is how much earlier than told a caller may return: the processes do
	// not agree on the time.
	earlyReturn = 200 * time.Millisecond
	// returnShare is the part of all placements that returning callers are expected to
	// get. The others are for callers who come for the first time.
	returnShare = 0.5
	// honouredShare is the part of their remaining time that callers wait at most.
	honouredShare = 1.0 / 3
	// honouredMargin keeps a stated time below that part.
	honouredMargin = 50 * time.Millisecond
)

// Key identifies a request that is sent again: it is the same for both.
type Key [16]byte

// Refusal is a request whose caller was told to return.
type Refusal struct {
	Service string
	Key     Key
	// Due is when the caller was told to return.
	Due time.Time
}

// refusal is a Refusal that is kept.
type refusal struct {
	Refusal
	// at is when this process refused the request; the zero time if another one did.
	at time.Time
}

// Ledger holds the refused requests of all processes whose callers have not returned
// yet. It is not safe for concurrent use.
type Ledger struct {
	refusals map[Key]refusal
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{refusals: map[Key]refusal{}}
}

// RetryAfter returns after which time a caller should return, given the time that a
// queue expects, the placements a second of all processes together, and how long the
// caller waits in all. The callers who were told before come first, so that there is
// room for each when it returns.
func (l *Ledger) RetryAfter(now time.Time, service string, expected time.Duration, placementsPerSecond float64, left time.Duration) time.Duration {
	d := expected
	if placementsPerSecond > 0 {
		d += time.Duration(float64(l.outstanding(now, service)) / (returnShare * placementsPerSecond) * float64(time.Second))
	}
	honoured := time.Duration(honouredShare*float64(left)) - honouredMargin
	return max(min(d, honoured), 0)
}

// outstanding returns the number of callers who have yet to return to a service.
func (l *Ledger) outstanding(now time.Time, service string) int {
	n := 0
	for _, r := range l.refusals {
		if r.Service == service && now.Before(r.Due) {
			n++
		}
	}
	return n
}

// Refuse records that this process has told the caller of a request to return after a
// time.
func (l *Ledger) Refuse(now time.Time, service string, k Key, after time.Duration) {
	l.add(refusal{Refusal{service, k, now.Add(after)}, now})
}

// Merge records refusals of another process.
func (l *Ledger) Merge(refusals []Refusal) {
	for _, r := range refusals {
		if _, ok := l.refusals[r.Key]; !ok {
			l.add(refusal{Refusal: r})
		}
	}
}

func (l *Ledger) add(r refusal) {
	if _, ok := l.refusals[r.Key]; ok || len(l.refusals) < maxRefusals {
		l.refusals[r.Key] = r
	}
}

// Return reports whether a request was refused before, and its caller returns when it was
// told. One that comes earlier counts as coming for the first time. A further return of
// the same caller is reported too, as long as the refusal is kept.
func (l *Ledger) Return(now time.Time, k Key) bool {
	r, ok := l.refusals[k]
	return ok && now.After(r.Due.Add(-earlyReturn))
}

// Recent returns the refusals of this process that other processes have to know, the
// newest first.
func (l *Ledger) Recent(now time.Time) []Refusal {
	var recent []refusal
	for _, r := range l.refusals {
		if !r.at.IsZero() && now.Sub(r.at) < repeatPeriod {
			recent = append(recent, r)
		}
	}
	slices.SortFunc(recent, func(a, b refusal) int { return b.at.Compare(a.at) })
	var sent []Refusal
	for _, r := range recent[:min(len(recent), maxSent)] {
		sent = append(sent, r.Refusal)
	}
	return sent
}

// Expire drops refusals whose callers have not returned. The caller calls it about once
// a second.
func (l *Ledger) Expire(now time.Time) {
	for k, r := range l.refusals {
		if now.Sub(r.Due) > retention {
			delete(l.refusals, k)
		}
	}
}
