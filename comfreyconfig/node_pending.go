package comfreyconfig

import (
	"cmp"
	"time"
)

// maxFetches is the maximum number of consecutive fetches from the platform
// without a new blob of the pending revision.
const maxFetches = 5

// pending is a revision that was read from the platform and is not active yet.
// It becomes active if the platform still holds it after Timing.SettlePeriod:
// if two operators publish the same number concurrently, every process
// activates the content that remains at the platform, provided that an active
// revision spreads faster than SettlePeriod. A revision that is active at a
// peer is activated without this wait.
type pending struct {
	revision Revision
	blobs    map[Hash][]byte
	// receivedAt is when the revision was received from the platform, or when
	// the settle period was restarted.
	receivedAt time.Time
	// deadline is when the open call, if any, times out.
	deadline time.Time
	fetches  int
	// fetchBegan is when the last fetch began.
	fetchBegan time.Time
	// candidate is set once the content is complete and has passed the check.
	candidate    *Candidate
	settlePeriod time.Duration
	// confirming reports that the manifest is being read again for
	// confirmation.
	confirming bool
	// hasReplaced reports that this revision replaced a pending one that was
	// not confirmed.
	hasReplaced bool
	// fallback is the checked revision that this one replaced. It is activated
	// if this one is invalid or cannot be fetched.
	fallback *Candidate
}

// next returns when the pending revision next needs a Tick.
func (p *pending) next() time.Time {
	if p.candidate == nil || p.confirming {
		return p.deadline
	}
	return p.receivedAt.Add(p.settlePeriod)
}

// HandleManifestResult processes the result of ActionReadManifest or
// ActionWatchManifest. A result that arrives too late, as after a suspension of
// the process, counts as a failure.
func (n *Node) HandleManifestResult(now time.Time, p ManifestResult) []Action {
	limit := 2 * n.config.Timing.CallTimeout
	if p.Kind == ActionWatchManifest {
		n.watchTurn.endCall(now.Add(n.jitter(n.config.Timing.RetryInterval)))
		limit += n.config.Timing.WatchTimeout
	}
	isConfirm := n.confirmsPending(p)
	if now.Sub(p.SentAt) > limit {
		n.stats.PlatformFailures++
		n.restartSettlePeriod(now)
		return nil
	}
	if p.Failed {
		n.stats.PlatformFailures++
		return n.activateConfirmed(now, isConfirm)
	}
	if p.Unchanged {
		return n.handleUnchanged(p)
	}
	r, err := ParseManifest(p.Manifest)
	if err != nil || r.Number != p.Number {
		n.stats.Corrupt++
		return nil
	}
	return n.compareManifest(now, r, isConfirm)
}

// confirmsPending reports whether p is the result of the read that confirms the
// pending revision.
func (n *Node) confirmsPending(p ManifestResult) bool {
	return p.Kind == ActionReadManifest && n.pending != nil && n.pending.confirming &&
		!p.SentAt.Before(n.pending.receivedAt.Add(n.pending.settlePeriod))
}

// handleUnchanged reads the manifest if the platform holds a different one
// whose number is not higher.
func (n *Node) handleUnchanged(p ManifestResult) []Action {
	if p.Hash == (Hash{}) || p.Hash == n.store.Revision().Hash || n.store.IsRefused(p.Hash) || n.pending != nil {
		return nil
	}
	return n.readManifest()
}

// compareManifest decides what to do with a revision that was read from the
// platform.
func (n *Node) compareManifest(now time.Time, r Revision, isConfirm bool) []Action {
	switch n.store.Compare(r.Number, r.Hash) {
	case OutcomeConflict:
		return append(n.reportConflict(r.Number, r.Hash), n.activateConfirmed(now, isConfirm)...)
	case OutcomeStale:
		n.stats.Stale++
		return n.activateConfirmed(now, isConfirm)
	case OutcomeAlreadyActive:
		return n.activateConfirmed(now, isConfirm)
	default:
	}
	p := n.pending
	switch {
	case n.store.IsRefused(r.Hash):
		return n.activateConfirmed(now, isConfirm)
	case p == nil:
		return n.beginPending(now, r, false)
	case r.Number == p.revision.Number && r.Hash != p.revision.Hash:
		return append(n.reportConflict(p.revision.Number, p.revision.Hash), n.beginPending(now, r, p.hasReplaced)...)
	case r.Number > p.revision.Number:
		return n.replacePending(now, r, isConfirm)
	case r.Number < p.revision.Number:
		n.stats.Stale++
	}
	return n.activateConfirmed(now, isConfirm)
}

// replacePending handles a revision that is newer than the pending one. It
// replaces the pending one, but never twice in a row without activating one, so
// that revisions still become active while changes are published continuously.
func (n *Node) replacePending(now time.Time, r Revision, isConfirm bool) []Action {
	if !isConfirm {
		return nil
	}
	if !n.pending.hasReplaced {
		return n.beginPending(now, r, true)
	}
	a := n.activateConfirmed(now, true)
	return append(a, n.beginPending(now, r, false)...)
}

// activateConfirmed activates the pending revision if the call that ended was
// its confirmation. A call that failed or returned a stale manifest does not
// disprove the revision, so the revision is activated nonetheless.
func (n *Node) activateConfirmed(now time.Time, isConfirm bool) []Action {
	p := n.pending
	if !isConfirm || p.candidate == nil {
		return nil
	}
	n.pending = nil
	return n.activate(now, *p.candidate)
}

// beginPending makes r the pending revision and fetches its content. During
// startup the fetch waits for the exchanges with peers.
func (n *Node) beginPending(now time.Time, r Revision, hasReplaced bool) []Action {
	old := n.pending
	n.pending = &pending{revision: r, blobs: map[Hash][]byte{}, receivedAt: now, settlePeriod: n.config.Timing.SettlePeriod, hasReplaced: hasReplaced}
	if old != nil {
		n.pending.fallback = cmp.Or(old.candidate, old.fallback)
	}
	if n.startup != nil {
		n.pending.deadline = now.Add(n.config.Timing.CallTimeout)
		return nil
	}
	return n.fetchPending(now)
}

// fetchPending fetches the missing blobs of the pending revision from the
// platform, or checks the revision if none is missing.
func (n *Node) fetchPending(now time.Time) []Action {
	p := n.pending
	m := n.store.Missing(p.revision, p.blobs)
	if len(m) == 0 {
		return n.checkPending(now)
	}
	if p.fetches == maxFetches {
		return n.dropForFallback(now)
	}
	p.fetches++
	p.fetchBegan = now
	p.deadline = now.Add(n.config.Timing.FetchTimeout)
	n.stats.PlatformCalls += uint64(len(m))
	return []Action{{Kind: ActionFetch, Hashes: m}}
}

// checkPending checks the content of the pending revision.
func (n *Node) checkPending(now time.Time) []Action {
	p := n.pending
	c, faults, o := n.store.Check(p.revision, p.blobs)
	if o != OutcomeAccepted {
		return append(n.reportRefused(o, p.revision, faults), n.dropForFallback(now)...)
	}
	p.candidate = &c
	return n.tickPending(now)
}

// dropForFallback drops the pending revision and activates its fallback, if
// any.
func (n *Node) dropForFallback(now time.Time) []Action {
	f := n.pending.fallback
	n.pending = nil
	if f == nil {
		return nil
	}
	return n.activate(now, *f)
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
		// The next fetch begins one CallTimeout after this one did, or now.
		p.deadline = p.fetchBegan.Add(n.config.Timing.CallTimeout)
		return nil
	}
	p.fetches = 0
	return n.fetchPending(now)
}

// tickPending returns the actions that are due for the pending revision.
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
		return n.activateFirst(now)
	case now.Before(p.next()):
		return nil
	case now.Sub(p.next()) > p.settlePeriod:
		n.restartSettlePeriod(now)
		return nil
	case p.confirming:
		return n.activateConfirmed(now, true)
	}
	p.confirming = true
	p.deadline = now.Add(n.config.Timing.CallTimeout)
	return n.readManifest()
}

// restartSettlePeriod restarts the settle period of the pending revision. A
// process that was suspended does not know what was published in the meantime.
func (n *Node) restartSettlePeriod(now time.Time) {
	if n.pending != nil {
		n.pending.receivedAt = now
		n.pending.confirming = false
	}
}

// activateFirst activates the pending revision at a process without an active
// one, once startup has ended.
func (n *Node) activateFirst(now time.Time) []Action {
	if n.startup != nil {
		return nil
	}
	c := *n.pending.candidate
	n.pending = nil
	return n.activate(now, c)
}

// dropPending drops the pending revision if it is not newer than the active
// one, and reports a conflict if it has different content under the same
// number.
func (n *Node) dropPending() []Action {
	p, r := n.pending, n.store.Revision()
	if p == nil || p.revision.Number > r.Number {
		return nil
	}
	n.pending = nil
	if p.revision.Number == r.Number && p.revision.Hash != r.Hash {
		return n.reportConflict(r.Number, p.revision.Hash)
	}
	return nil
}

// readManifest returns the action that reads the manifest.
func (n *Node) readManifest() []Action {
	n.stats.PlatformCalls++
	return []Action{{Kind: ActionReadManifest}}
}
