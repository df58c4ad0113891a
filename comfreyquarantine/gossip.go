package comfreyquarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// GossipBatch returns up to n records to pass on to another process, those that
// were passed on least often first. A record is passed on a bounded number of
// times; clearances travel with it and give no reason to pass it on again.
func (t *Table) GossipBatch(now time.Time, n int) []CrashRecord {
	t.forget(now)
	k := slices.SortedFunc(maps.Keys(t.records), func(a, b CrashID) int {
		return cmp.Or(cmp.Compare(t.pushes[a], t.pushes[b]), a.compare(b))
	})
	var s []CrashRecord
	for _, c := range k {
		if len(s) >= n || t.pushes[c] >= t.config.MaxPushes {
			break
		}
		t.pushes[c]++
		s = append(s, t.records[c])
	}
	return s
}

// RecordsFor returns the records in which f is suspected.
func (t *Table) RecordsFor(f Fingerprint) []CrashRecord {
	var s []CrashRecord
	for _, r := range t.records {
		if i, ok := r.find(f); ok && !r.Suspects[i].IsCleared {
			s = append(s, r)
		}
	}
	return s
}

// Merge takes records of another process. The result does not depend on the
// order in which records come or on how often one comes, as long as all fit.
// It returns how many records brought something new.
func (t *Table) Merge(now time.Time, s []CrashRecord) int {
	n := 0
	for _, r := range s {
		if t.merge(now, r) {
			n++
		}
	}
	t.forget(now)
	return n
}

func (t *Table) merge(now time.Time, r CrashRecord) bool {
	if len(r.Suspects) > t.config.MaxSuspects || !now.Before(r.Expiry) {
		return false
	}
	// A clock that runs ahead elsewhere must not make a record last for ever.
	if e := now.Add(2 * t.config.Retention); r.Expiry.After(e) {
		r.Expiry = e
	}
	old, ok := t.records[r.Crash]
	if ok {
		r = old.join(r)
	}
	t.records[r.Crash] = r
	if !ok || r.confirmations() > old.confirmations() {
		t.pushes[r.Crash] = 0
	}
	return !ok || !slices.Equal(old.Suspects, r.Suspects)
}

// forget removes expired records, and those that expire first while there are
// too many.
func (t *Table) forget(now time.Time) {
	for c, r := range t.records {
		if !now.Before(r.Expiry) {
			t.remove(c)
		}
	}
	for len(t.records) > t.config.MaxRecords {
		t.remove(t.leastWanted())
	}
}

func (t *Table) remove(c CrashID) {
	delete(t.records, c)
	delete(t.pushes, c)
}

// leastWanted returns the record to give up first: one that suspects nobody
// any more, and among equals the one that expires first.
func (t *Table) leastWanted() CrashID {
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
