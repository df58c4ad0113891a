// Package comfreystorecache keeps a copy of a watched key-value store: what a
// listing, a watch and other copies say is merged by revision, so that no item
// ever goes back to an older value. The package makes no calls.
package comfreystorecache

import (
	"cmp"
	"errors"
	"slices"
)

// ErrCompacted means that a store no longer holds the changes after the
// revision that was asked for, so that everything has to be listed again.
var ErrCompacted = errors.New("comfreystorecache: the store dropped its history")

// defaultMaxTombstones is how many deletions a Mirror remembers for other
// copies. A deployment of 60 replicas, of which a sixth is replaced every 3 s,
// reaches it after a minute.
const defaultMaxTombstones = 256

// Item is one key of the store at one revision.
type Item struct {
	Key      string
	Revision uint64
	Value    []byte
	// IsDeleted items have no value.
	IsDeleted bool
}

// Cache is a copy of the store. It is not safe for concurrent use.
type Cache struct {
	items map[string]Item
	// complete is the revision up to which nothing is missing.
	complete uint64
	// forgotten is the highest revision of a deletion that was forgotten.
	forgotten uint64
	deleted   int
}

// New returns an empty copy, which is complete up to revision zero.
func New() *Cache {
	return &Cache{items: map[string]Item{}}
}

// Revision returns the revision up to which the copy misses nothing.
func (m *Cache) Revision() uint64 {
	return m.complete
}

// Apply merges changes that complete the copy up to a revision, and returns
// those that were new, in the order of their revisions. Changes that the copy
// already had, or that are older than what it holds, are ignored.
func (m *Cache) Apply(complete uint64, changes []Item) []Item {
	var taken []Item
	for _, x := range changes {
		if m.put(x) {
			taken = append(taken, x)
		}
	}
	m.complete = max(m.complete, complete)
	slices.SortFunc(taken, byRevision)
	m.forget()
	return taken
}

// Replace merges a listing of all keys. The revision is that of the store when
// the listing began; a key that it misses and that has not changed since was
// deleted. It returns the changes in the order of their revisions.
func (m *Cache) Replace(revision uint64, listed []Item) []Item {
	if revision < m.complete {
		return m.Apply(m.complete, listed)
	}
	present := make(map[string]bool, len(listed))
	for _, x := range listed {
		present[x.Key] = true
	}
	changes := slices.Clone(listed)
	for k, x := range m.items {
		if !present[k] && !x.IsDeleted && x.Revision <= revision {
			changes = append(changes, Item{Key: k, Revision: revision, IsDeleted: true})
		}
	}
	return m.Apply(revision, changes)
}

// Since returns what changed after a revision, in the order of the revisions,
// for another copy that is complete up to it. It reports false if deletions in
// that range were forgotten: then the items are a whole listing, to be merged
// by Replace.
func (m *Cache) Since(revision uint64) (items []Item, isComplete bool) {
	isComplete = revision >= m.forgotten
	for _, x := range m.items {
		if x.Revision > revision && isComplete || !isComplete && !x.IsDeleted {
			items = append(items, x)
		}
	}
	slices.SortFunc(items, byRevision)
	return items, isComplete
}

// put takes an item that is newer than the one that the copy holds.
func (m *Cache) put(x Item) bool {
	old, ok := m.items[x.Key]
	if ok && (old.Revision >= x.Revision || old.IsDeleted && x.IsDeleted) {
		return false
	}
	if !ok && x.IsDeleted && x.Revision <= m.complete {
		return false
	}
	if ok && old.IsDeleted {
		m.deleted--
	}
	if x.IsDeleted {
		m.deleted++
	}
	m.items[x.Key] = x
	return true
}

// forget drops the oldest deletions above the limit.
func (m *Cache) forget() {
	if m.deleted <= defaultMaxTombstones {
		return
	}
	var d []Item
	for _, x := range m.items {
		if x.IsDeleted {
			d = append(d, x)
		}
	}
	slices.SortFunc(d, byRevision)
	for _, x := range d[:len(d)-defaultMaxTombstones/2] {
		delete(m.items, x.Key)
		m.forgotten = max(m.forgotten, x.Revision)
		m.deleted--
	}
}

func byRevision(a, b Item) int {
	return cmp.Compare(a.Revision, b.Revision)
}
