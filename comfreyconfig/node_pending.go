package comfreyconfig

import (
	"cmp"
	"time"
)

// maxFetches bounds how often the blobs of a revision are asked for.
const maxFetches = 5

// pending is a revision that the platform holds and that is not in force. It
// comes into force if the platform still holds it after Timing.Settle: two
// operators who publish one number race at the platform, and whichever content
// stays there is the one that every process takes, as long as a revision in
// force spreads faster than Settle. A peer's revision in force needs no wait.
type pending struct {
	revision Revision
	blobs    map[Hash][]byte
	// seen is when the platform answered with the revision.
	seen time.Time
	// deadline is when the open call, if any, counts as lost.
	deadline time.Time
	fetches  int
	// candidate is set once the content is whole and passed the check.
	candidate *Candidate
	settle    time.Duration
	// confirming says that the platform was asked again.
	confirming bool
	// followed says that this revision replaced one that was not confirmed.
	followed bool
	// fallback is the revision that this one replaced before it settled. It is
	// taken if this one turns out to be invalid.
	fallback *Candidate
}

// next returns when the pending revision needs a Tick.
func (p *pending) next() time.Time {
	if p.candidate == nil || p.confirming {
		return p.deadline
	}
	return p.seen.Add(p.settle)
}

// HandleManifestResult takes in the answer to ActionRead or ActionWatch.
func (n *Node) HandleManifestResult(now time.Time, p ManifestResult) []Action {
	limit := 2 * n.config.Timing.CallTimeout
	if p.Kind == ActionWatchManifest {
		n.turn.answered(now.Add(n.jitter(n.config.Timing.RetryInterval)))
		limit += n.config.Timing.WatchTimeout
	}
	isConfirm := n.isConfirm(p)
	if now.Sub(p.SentAt) > limit {
		n.stats.PlatformFailures++
		n.resettle(now)
		return nil
	}
	if p.Failed {
		n.stats.PlatformFailures++
		return n.confirmed(now, isConfirm)
	}
	if p.Unchanged {
		return n.platformUnchanged(p)
	}
	r, err := ParseManifest(p.Manifest)
	if err != nil || r.Number != p.Number {
		n.stats.Corrupt++
		return nil
	}
	return n.offered(now, r, isConfirm)
}

// isConfirm reports whether p answers the read that confirms the pending
// revision.
func (n *Node) isConfirm(p ManifestResult) bool {
	return p.Kind == ActionReadManifest && n.pending != nil && n.pending.confirming &&
		!p.SentAt.Before(n.pending.seen.Add(n.pending.settle))
}

// platformUnchanged reads the manifest if the platform holds another one
// without a higher number.
func (n *Node) platformUnchanged(p ManifestResult) []Action {
	if p.Hash == (Hash{}) || p.Hash == n.store.Revision().Hash || n.store.IsRefused(p.Hash) || n.pending != nil {
		return nil
	}
	return n.readPlatform()
}

// offered weighs a revision that the platform holds.
func (n *Node) offered(now time.Time, r Revision, isConfirm bool) []Action {
	switch n.store.Compare(r.Number, r.Hash) {
	case OutcomeConflict:
		return append(n.alarm(r.Number, r.Hash), n.confirmed(now, isConfirm)...)
	case OutcomeStale:
		n.stats.Stale++
		return n.confirmed(now, isConfirm)
	case OutcomeAlreadyActive:
		return n.confirmed(now, isConfirm)
	default:
	}
	p := n.pending
	switch {
	case n.store.IsRefused(r.Hash):
		return n.confirmed(now, isConfirm)
	case p == nil:
		return n.beginPending(now, r, false)
	case r.Number == p.revision.Number && r.Hash != p.revision.Hash:
		return append(n.alarm(p.revision.Number, p.revision.Hash), n.beginPending(now, r, p.followed)...)
	case r.Number > p.revision.Number:
		return n.follow(now, r, isConfirm)
	case r.Number < p.revision.Number:
		n.stats.Stale++
	}
	return n.confirmed(now, isConfirm)
}

// follow weighs a revision that follows the pending one. The pending one is
// skipped, but never two in a row, so that a stream of changes still comes
// into force.
func (n *Node) follow(now time.Time, r Revision, isConfirm bool) []Action {
	if !isConfirm {
		return nil
	}
	if !n.pending.followed {
		return n.beginPending(now, r, true)
	}
	a := n.confirmed(now, true)
	return append(a, n.beginPending(now, r, false)...)
}

// confirmed takes the pending revision if the call that ended was the one to
// confirm it. A call that failed or that met a stale platform cannot deny the
// revision, so it does not hold it back.
func (n *Node) confirmed(now time.Time, isConfirm bool) []Action {
	p := n.pending
	if !isConfirm || p.candidate == nil {
		return nil
	}
	n.pending = nil
	return n.take(now, *p.candidate)
}

// beginPending fetches the content of r. While the node starts, the content
// waits until the peers have answered.
func (n *Node) beginPending(now time.Time, r Revision, followed bool) []Action {
	old := n.pending
	n.pending = &pending{revision: r, blobs: map[Hash][]byte{}, seen: now, settle: n.config.Timing.SettlePeriod, followed: followed}
	if old != nil {
		n.pending.fallback = cmp.Or(old.candidate, old.fallback)
	}
	if n.start != nil {
		n.pending.deadline = now.Add(n.config.Timing.CallTimeout)
		return nil
	}
	return n.fetchPending(now)
}

// fetchPending asks the platform for what the pending revision lacks, or
// checks it if it lacks nothing.
func (n *Node) fetchPending(now time.Time) []Action {
	p := n.pending
	m := n.store.Missing(p.revision, p.blobs)
	if len(m) == 0 {
		return n.checkPending(now)
	}
	if p.fetches == maxFetches {
		return n.abandon(now)
	}
	p.fetches++
	p.deadline = now.Add(n.config.Timing.CallTimeout)
	n.stats.PlatformCalls += uint64(len(m))
	return []Action{{Kind: ActionFetch, Hashes: m}}
}

// checkPending checks the content of the pending revision.
func (n *Node) checkPending(now time.Time) []Action {
	p := n.pending
	c, faults, o := n.store.Check(p.revision, p.blobs)
	if o != OutcomeActivated {
		return append(n.refuse(o, p.revision, faults), n.abandon(now)...)
	}
	p.candidate = &c
	return n.tickPending(now)
}

// abandon drops the pending revision in favour of the one that it replaced, if
// any.
func (n *Node) abandon(now time.Time) []Action {
	f := n.pending.fallback
	n.pending = nil
	if f == nil {
		return nil
	}
	return n.take(now, *f)
}

// fetchedFromPlatform adds blobs to the pending revision.
func (n *Node) fetchedFromPlatform(now time.Time, f FetchResult) []Action {
	p := n.pending
	if p == nil || p.candidate != nil {
		return nil
	}
	progress := false
	for _, b := range f.Blobs {
		h := HashOf(b)
		if p.blobs[h] == nil && p.revision.has(h) {
			p.blobs[h] = b
			progress = true
		}
	}
	if !progress {
		return nil
	}
	p.fetches = 0
	return n.fetchPending(now)
}

// tickPending does what is due for the pending revision.
func (n *Node) tickPending(now time.Time) []Action {
	p := n.pending
	switch {
	case p == nil:
		return nil
	case p.candidate == nil:
		if now.Before(p.deadline) {
			return nil
		}
		return n.fetchPending(now)
	case n.store.Revision().Number == 0:
		return n.tickFirst(now)
	case now.Before(p.next()):
		return nil
	case now.Sub(p.next()) > p.settle:
		n.resettle(now)
		return nil
	case p.confirming:
		return n.confirmed(now, true)
	}
	p.confirming = true
	p.deadline = now.Add(n.config.Timing.CallTimeout)
	return n.readPlatform()
}

// resettle lets the pending revision settle anew. A process that slept cannot
// tell what was published meanwhile.
func (n *Node) resettle(now time.Time) {
	if n.pending != nil {
		n.pending.seen = now
		n.pending.confirming = false
	}
}

// tickFirst takes the pending revision at a process that has nothing in force
// and that has heard the peers.
func (n *Node) tickFirst(now time.Time) []Action {
	if n.start != nil {
		return nil
	}
	c := *n.pending.candidate
	n.pending = nil
	return n.take(now, c)
}

// dropPending drops the pending revision once it is not newer than what is in
// force, and raises the alarm if it is other content under that number.
func (n *Node) dropPending() []Action {
	p, r := n.pending, n.store.Revision()
	if p == nil || p.revision.Number > r.Number {
		return nil
	}
	n.pending = nil
	if p.revision.Number == r.Number && p.revision.Hash != r.Hash {
		return n.alarm(r.Number, p.revision.Hash)
	}
	return nil
}

// readPlatform returns the action that reads the manifest.
func (n *Node) readPlatform() []Action {
	n.stats.PlatformCalls++
	return []Action{{Kind: ActionReadManifest}}
}
