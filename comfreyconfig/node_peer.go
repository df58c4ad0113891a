package comfreyconfig

import "time"

// MaxFetchSizeBytes is the maximum total size of the blobs in one response to
// ActionFetch. The first blob is sent whatever its size.
const MaxFetchSizeBytes = 1 << 20

// transfer collects the blobs of a revision that is active at a peer.
type transfer struct {
	peer     Peer
	number   uint64
	hash     Hash
	revision Revision
	blobs    map[Hash][]byte
	deadline time.Time
}

// ObserveDigest processes the digest of a peer, from an exchange or any other
// message.
func (n *Node) ObserveDigest(now time.Time, from Peer, d Digest) []Action {
	a := n.observeHostsDigest(now, from, d)
	if d.Number == 0 || from.Address == "" {
		return a
	}
	switch n.store.Compare(d.Number, d.Hash) {
	case OutcomeConflict:
		return append(a, n.reportConflict(d.Number, d.Hash)...)
	case OutcomeAlreadyActive:
		if d.Conflict {
			n.conflictNumber = d.Number
		}
		return a
	case OutcomeAccepted:
		return append(a, n.beginTransfer(now, from, d)...)
	default:
		return a
	}
}

// HandleExchangeResult processes the digest that a peer returned for
// ActionExchange.
func (n *Node) HandleExchangeResult(now time.Time, from Peer, d Digest) []Action {
	a := n.ObserveDigest(now, from, d)
	return append(a, n.endStartupExchange(now, true)...)
}

// HandleExchangeFailure processes the failure of ActionExchange. Once per
// exchange interval it tries another peer, preferably of this data centre.
func (n *Node) HandleExchangeFailure(now time.Time) []Action {
	if n.startup != nil {
		return n.endStartupExchange(now, false)
	}
	if n.exchangeRetried {
		return nil
	}
	n.exchangeRetried = true
	return n.exchangeWith(n.randomPeer(true))
}

// beginTransfer starts to fetch a newer revision from a peer, unless a transfer
// of one at least as new is in progress.
func (n *Node) beginTransfer(now time.Time, from Peer, d Digest) []Action {
	if n.store.IsRefused(d.Hash) {
		return nil
	}
	if n.transfer != nil && n.transfer.number >= d.Number && now.Before(n.transfer.deadline) {
		return nil
	}
	n.transfer = &transfer{peer: from, number: d.Number, hash: d.Hash, blobs: map[Hash][]byte{}}
	if p := n.pending; p != nil && p.revision.Hash == d.Hash {
		n.transfer.revision = p.revision
		n.transfer.blobs = p.blobs
	}
	return n.continueTransfer(now)
}

// continueTransfer fetches the missing blobs of the transfer, or activates the
// revision if none is missing.
func (n *Node) continueTransfer(now time.Time) []Action {
	t := n.transfer
	t.deadline = now.Add(n.config.Timing.FetchTimeout)
	if t.revision.Number == 0 {
		return []Action{{Kind: ActionFetch, Peer: t.peer, Hashes: []Hash{t.hash}}}
	}
	if m := n.store.Missing(t.revision, t.blobs); len(m) > 0 {
		return []Action{{Kind: ActionFetch, Peer: t.peer, Hashes: m}}
	}
	n.transfer = nil
	c, faults, o := n.store.Check(t.revision, t.blobs)
	if o != OutcomeAccepted {
		return n.reportRefused(o, t.revision, faults)
	}
	return n.activate(now, c)
}

// HandleFetchResult processes the result of ActionFetch. Each blob is assigned
// by its hash to the transfer or the host list that needs it; other blobs are
// dropped.
func (n *Node) HandleFetchResult(now time.Time, f FetchResult) []Action {
	if f.Peer.Address == "" {
		return n.fetchedFromPlatform(now, f)
	}
	var a []Action
	progress := false
	for _, b := range f.Blobs {
		n.stats.BlobBytes += uint64(len(b))
		h := HashOf(b)
		if h == n.hosts.Hash {
			continue
		}
		a = append(a, n.applyHostBlob(h, b)...)
		progress = n.fetchedFromPeer(f.Peer, h, b) || progress
	}
	if n.transfer == nil || n.transfer.peer != f.Peer {
		return a
	}
	if !progress {
		if f.Failed || len(f.Blobs) == 0 {
			n.transfer = nil
		}
		return append(a, n.tickStartup(now)...)
	}
	return append(a, n.continueTransfer(now)...)
}

// fetchedFromPeer adds a blob to the transfer and reports whether the transfer
// needed it.
func (n *Node) fetchedFromPeer(p Peer, h Hash, b []byte) bool {
	t := n.transfer
	if t == nil || t.peer != p {
		return false
	}
	if t.revision.Number == 0 {
		r, err := ParseManifest(b)
		if err != nil || h != t.hash || r.Number != t.number {
			n.stats.Corrupt++
			return false
		}
		t.revision = r
		return true
	}
	if !t.revision.has(h) {
		return false
	}
	t.blobs[h] = b
	return true
}

// RequestedBlobs returns the blobs that a peer requests, as far as this process
// has them and up to MaxFetchSizeBytes in total.
func (n *Node) RequestedBlobs(hashes []Hash) [][]byte {
	var s [][]byte
	size := 0
	for _, h := range hashes {
		b, ok := n.store.Blob(h)
		if !ok && h == n.hosts.Hash && n.hosts.Number > 0 {
			b, ok = n.hosts.text, true
		}
		if !ok {
			continue
		}
		size += len(b)
		if len(s) > 0 && size > MaxFetchSizeBytes {
			break
		}
		s = append(s, b)
	}
	return s
}

// activate makes a checked revision active and exchanges digests with peers to
// spread it.
func (n *Node) activate(now time.Time, c Candidate) []Action {
	r := c.Revision()
	isFirst := n.store.Revision().Number == 0
	switch n.store.Activate(c) {
	case OutcomeConflict:
		return n.reportConflict(r.Number, r.Hash)
	case OutcomeAccepted:
	default:
		return nil
	}
	n.stats.Activated++
	n.startup = nil
	if isFirst {
		n.randomizeFirstTurn(now)
	}
	if n.conflictNumber < r.Number {
		clear(n.reportedHashes)
	}
	a := []Action{{Kind: ActionActivated, Revision: r, Settings: n.store.Settings()}}
	a = append(a, n.dropPending()...)
	return append(a, n.exchangeWithRandomPeers()...)
}

// reportRefused counts and reports a revision that failed the check.
func (n *Node) reportRefused(o Outcome, r Revision, faults []Fault) []Action {
	if o == OutcomeInvalid {
		n.stats.Invalid++
	} else {
		n.stats.Corrupt++
	}
	return []Action{{Kind: ActionReportOutcome, Outcome: o, Number: r.Number, Hash: r.Hash, Faults: faults}}
}

// reportConflict reports, once for each content, that a revision number was
// published with different content.
func (n *Node) reportConflict(number uint64, h Hash) []Action {
	n.conflictNumber = number
	if n.reportedHashes[h] {
		return nil
	}
	n.reportedHashes[h] = true
	n.stats.Conflicts++
	return []Action{{Kind: ActionReportOutcome, Outcome: OutcomeConflict, Number: number, Hash: h}}
}
