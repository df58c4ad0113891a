package comfreyquarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// GossipBatch returns up to n records to send to another process, those sent
// least often first, and counts them as sent. A record is sent at most
// Config.MaxPushes times. A clearance is sent with its record, but does not
// cause the record to be sent again.
func (t *Table) GossipBatch(now time.Time, n int) []CrashRecord {
	t.evict(now)
	k := slices.SortedFunc(maps.Keys(t.records), func(a, b CrashID) int {
		return cmp.Or(cmp.Compare(t.pushCounts[a], t.pushCounts[b]), a.compare(b))
	})
	var s []CrashRecord
	for _, c := range k {
		if len(s) >= n || t.pushCounts[c] >= t.config.MaxPushes {
			break
		}
		t.pushCounts[c]++
		s = append(s, t.records[c])
	}
	return s
}

// RecordsFor returns the records in which f is a suspect that is not cleared.
func (t *Table) RecordsFor(f Fingerprint) []CrashRecord {
	var s []CrashRecord
	for _, r := range t.records {
		if i, ok := r.find(f); ok && !r.Suspects[i].IsCleared {
			s = append(s, r)
		}
	}
	return s
}

// Merge merges records of another process into the table and returns how many
// of them contained something new. The result does not depend on the order in
// which records arrive or on how often one arrives, as long as all fit.
func (t *Table) Merge(now time.Time, s []CrashRecord) int {
	n := 0
	for _, r := range s {
		if t.merge(now, r) {
			n++
		}
	}
	t.evict(now)
	return n
}

func (t *Table) merge(now time.Time, r CrashRecord) bool {
	if len(r.Suspects) > t.config.MaxSuspects || !now.Before(r.Expiry) {
		return false
	}
	// A record of a process whose clock runs ahead must not be kept indefinitely.
	if e := now.Add(2 * t.config.Retention); r.Expiry.After(e) {
		r.Expiry = e
	}
	old, ok := t.records[r.Crash]
	if ok {
		r = old.merge(r)
	}
	t.records[r.Crash], t.causeCounts = r, nil
	if !ok || r.confirmations() > old.confirmations() {
		t.pushCounts[r.Crash] = 0
	}
	return !ok || !slices.Equal(old.Suspects, r.Suspects)
}

// evict removes the expired records, and as many others as exceed the maximum.
func (t *Table) evict(now time.Time) {
	for c, r := range t.records {
		if !now.Before(r.Expiry) {
			t.remove(c)
		}
	}
	for len(t.records) > t.config.MaxRecords {
		t.remove(t.evictionCandidate())
	}
}

func (t *Table) remove(c CrashID) {
	delete(t.records, c)
	delete(t.pushCounts, c)
	t.causeCounts = nil
}

// evictionCandidate returns the record to evict first: a settled one, and among
// equals the one that expires first.
func (t *Table) evictionCandidate() CrashID {
	k := slices.SortedFunc(maps.Keys(t.records), CrashID.compare)
	return slices.MinFunc(k, func(a, b CrashID) int {
		p, q := t.records[a], t.records[b]
		if p.isSettled() != q.isSettled() {
			if p.isSettled() {
				return -1
			}
			return 1
		}
		return p.Expiry.Compare(q.Expiry)
	})
}
