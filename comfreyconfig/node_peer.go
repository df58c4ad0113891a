package comfreyconfig

import "time"

// MaxFetchSizeBytes bounds the blobs of one answer to ActionFetch. One blob is
// always answered, whatever its size.
const MaxFetchSizeBytes = 1 << 20

// transfer collects the blobs of a revision that a peer has in force.
type transfer struct {
	peer     Peer
	number   uint64
	hash     Hash
	revision Revision
	blobs    map[Hash][]byte
	deadline time.Time
}

// ObserveDigest takes in the digest of a peer, from an exchange or from any other
// message.
func (n *Node) ObserveDigest(now time.Time, from Peer, d Digest) []Action {
	a := n.hearHosts(now, from, d)
	if d.Number == 0 || from.Address == "" {
		return a
	}
	switch n.store.Compare(d.Number, d.Hash) {
	case OutcomeConflict:
		return append(a, n.alarm(d.Number, d.Hash)...)
	case OutcomeAlreadyActive:
		if d.Conflict {
			n.conflict = d.Number
		}
		return a
	case OutcomeActivated:
		return append(a, n.beginTransfer(now, from, d)...)
	default:
		return a
	}
}

// HandleExchangeResult takes in the answer to ActionExchange.
func (n *Node) HandleExchangeResult(now time.Time, from Peer, d Digest) []Action {
	a := n.ObserveDigest(now, from, d)
	return append(a, n.startAnswered(now, true)...)
}

// HandleExchangeFailure takes in that ActionExchange had no answer. One more peer, a
// near one, is tried in each period.
func (n *Node) HandleExchangeFailure(now time.Time) []Action {
	if n.start != nil {
		return n.startAnswered(now, false)
	}
	if n.retried {
		return nil
	}
	n.retried = true
	return n.exchangeWith(n.pick(true))
}

// beginTransfer asks a peer for a newer revision, unless a transfer of one at
// least as new is under way.
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

// continueTransfer asks for what the transfer lacks, or takes the revision if
// it lacks nothing.
func (n *Node) continueTransfer(now time.Time) []Action {
	t := n.transfer
	t.deadline = now.Add(n.config.Timing.CallTimeout)
	if t.revision.Number == 0 {
		return []Action{{Kind: ActionFetch, Peer: t.peer, Hashes: []Hash{t.hash}}}
	}
	if m := n.store.Missing(t.revision, t.blobs); len(m) > 0 {
		return []Action{{Kind: ActionFetch, Peer: t.peer, Hashes: m}}
	}
	n.transfer = nil
	c, faults, o := n.store.Check(t.revision, t.blobs)
	if o != OutcomeActivated {
		return n.refuse(o, t.revision, faults)
	}
	return n.take(now, c)
}

// HandleFetchResult takes in the answer to ActionFetch. Each blob goes by its hash to
// whatever waits for it; other blobs are dropped.
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
		a = append(a, n.takeHostBlob(h, b)...)
		progress = n.fetchedFromPeer(f.Peer, h, b) || progress
	}
	if n.transfer == nil || n.transfer.peer != f.Peer {
		return a
	}
	if !progress {
		if f.Failed || len(f.Blobs) == 0 {
			n.transfer = nil
		}
		return append(a, n.tickStart(now)...)
	}
	return append(a, n.continueTransfer(now)...)
}

// fetchedFromPeer adds a blob to the transfer and reports whether it was
// wanted.
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

// RequestedBlobs returns the blobs that a peer asks for, as far as this process holds
// them and up to MaxFetchSizeBytes.
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

// take puts a checked revision into force and tells peers.
func (n *Node) take(now time.Time, c Candidate) []Action {
	r := c.Revision()
	isFirst := n.store.Revision().Number == 0
	switch n.store.Activate(c) {
	case OutcomeConflict:
		return n.alarm(r.Number, r.Hash)
	case OutcomeActivated:
	default:
		return nil
	}
	n.stats.Activated++
	n.start = nil
	if isFirst {
		n.spreadTurns(now)
	}
	if n.conflict < r.Number {
		clear(n.reported)
	}
	a := []Action{{Kind: ActionActivated, Revision: r, Settings: n.store.Settings()}}
	a = append(a, n.dropPending()...)
	return append(a, n.spread()...)
}

// refuse counts and reports a revision that is not taken.
func (n *Node) refuse(o Outcome, r Revision, faults []Fault) []Action {
	if o == OutcomeInvalid {
		n.stats.Invalid++
	} else {
		n.stats.Corrupt++
	}
	return []Action{{Kind: ActionReportOutcome, Outcome: o, Number: r.Number, Hash: r.Hash, Faults: faults}}
}

// alarm reports, once for each content, that a number in force was published
// with other content.
func (n *Node) alarm(number uint64, h Hash) []Action {
	n.conflict = number
	if n.reported[h] {
		return nil
	}
	n.reported[h] = true
	n.stats.Conflicts++
	return []Action{{Kind: ActionReportOutcome, Outcome: OutcomeConflict, Number: number, Hash: h}}
}
