package comfreystorecache

import (
	"slices"
	"time"
)

const (
	// slowTransfer is how long the body of a response takes to arrive if it is slow, so
	// that several changes may have been written meanwhile.
	slowTransfer = 100 * time.Millisecond
	// promptResponse is how soon the response to a watch begins if the store need not
	// wait for a change.
	promptResponse = 50 * time.Millisecond
	// maxBacklogTime is how long every watch may be answered promptly before the process
	// counts as behind.
	maxBacklogTime = 500 * time.Millisecond
)

// Transfer is how a response of the store has arrived.
type Transfer struct {
	// Requested, Begun and Ended are when the call was made, and when the body of the
	// response began and ended. Begun is zero if no body has arrived.
	Requested, Begun, Ended time.Time
	// IsFailed means that the response cannot be used.
	IsFailed bool
}

// Duration returns how long the body took to arrive, zero if none has.
func (t Transfer) Duration() time.Duration {
	if t.Begun.IsZero() {
		return 0
	}
	return t.Ended.Sub(t.Begun)
}

func (t Transfer) isSlow() bool {
	return t.Duration() >= slowTransfer
}

func (t Transfer) isPrompt() bool {
	return !t.Begun.IsZero() && t.Begun.Sub(t.Requested) < promptResponse
}

// Backlog decides whether a process that watches the store is behind it, and has to read
// the present state instead of the changes one after the other. The zero value belongs to
// a process that has read nothing. It is not safe for concurrent use.
//
// It is built for this load: a dozen configurations of 1 MB are written in four seconds,
// each of which takes a second on the link of a gateway. The last one withdraws a key. On
// other days a watch returns one change at a time, and must cost no further call.
type Backlog struct {
	isBehind bool
	// wasSlow means that the latest response was slow to arrive.
	wasSlow bool
	// currentAt is when a response last arrived for which the store had to wait.
	currentAt time.Time
	// configuration is the version of the store at which the newest configuration was
	// last read by itself.
	configuration Version
}

// IsBehind reports whether the present state has to be read next.
func (b *Backlog) IsBehind() bool {
	return b.isBehind
}

// AcceptsLarge reports whether a large response to a watch, which begins to arrive, should
// be read. If it comes promptly after a slow one, then more changes are waiting.
func (b *Backlog) AcceptsLarge(t Transfer) bool {
	return !b.wasSlow || !t.isPrompt()
}

// ObserveWatch records the response to a watch.
func (b *Backlog) ObserveWatch(t Transfer) {
	hasBody := !t.Begun.IsZero()
	if hasBody && !t.IsFailed && !t.isPrompt() {
		b.currentAt = t.Ended // Slow transfers count by themselves.
	}
	// A slow store never responds promptly, so that two slow transfers in a row count too.
	b.isBehind = hasBody && t.IsFailed || b.wasSlow && t.isSlow() || t.Ended.Sub(b.currentAt) >= maxBacklogTime
	b.wasSlow = t.isSlow()
}

// ObserveListing records a listing of all keys, and how long its slowest page took.
func (b *Backlog) ObserveListing(now time.Time, slowestPage time.Duration) {
	b.isBehind, b.wasSlow, b.currentAt = false, slowestPage >= slowTransfer, now
}

// ObservePresent records that all changes up to the present state were read.
func (b *Backlog) ObservePresent(now time.Time) {
	b.isBehind, b.wasSlow, b.currentAt = false, false, now
}

// ObserveConfiguration records that the newest configuration was read by itself, which
// is the only one of the items, if there is one. The process is behind unless it arrived
// fast, or was not written since the one that was read before.
func (b *Backlog) ObserveConfiguration(v Version, items []Item, t Transfer) {
	if t.IsFailed {
		b.isBehind = true
		return
	}
	isNew := slices.ContainsFunc(items, func(x Item) bool {
		return v.Era != b.configuration.Era || x.Revision > b.configuration.Revision
	})
	b.ObservePresent(t.Ended)
	b.isBehind, b.configuration = isNew && t.isSlow(), v
}

// NeedsConfiguration reports whether the newest configuration may have changed between
// two versions: if the changes are not all of those between them, and it was not read by
// itself since.
func (b *Backlog) NeedsConfiguration(after, version Version, changes []Item) bool {
	known := after.Revision
	if b.configuration.Era == after.Era {
		known = max(known, b.configuration.Revision)
	}
	return HasGap(known, version.Revision, changes)
}
