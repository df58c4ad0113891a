// Package comfreystorecache caches a watched key-value store. Items from
// listings, watches and the caches of peers are merged by revision, so that no
// item ever reverts to an older value. The package makes no calls.
package comfreystorecache

import (
	"cmp"
	"errors"
	"slices"
)

// ErrCompacted means that the store no longer holds the changes after the
// requested revision, so that all keys have to be listed again.
var ErrCompacted = errors.New("comfreystorecache: the store has compacted the requested revision")

// maxTombstones is the number of deletions that a Cache keeps for the caches of
// peers. A deployment of 60 replicas, of which a sixth is replaced every 3 s,
// reaches it after a minute.
const maxTombstones = 256

// Item is one key of the store at one revision.
type Item struct {
	Key      string
	Revision uint64
	Value    []byte
	// IsDeleted items have no value.
	IsDeleted bool
}

// Cache is a process's copy of the store. It is not safe for concurrent use.
type Cache struct {
	items map[string]Item
	// revision is the revision up to which the cache is complete.
	revision uint64
	// compactedRevision is the highest revision among the tombstones that were
	// dropped.
	compactedRevision uint64
	tombstones        int
}

// New returns an empty cache, which is complete up to revision zero.
func New() *Cache {
	return &Cache{items: map[string]Item{}}
}

// Revision returns the revision up to which the cache is complete.
func (c *Cache) Revision() uint64 {
	return c.revision
}

// Apply merges changes that complete the cache up to a revision, and returns
// those that were new, sorted by revision. Changes that the cache already
// contains, or that are older than its items, are ignored.
func (c *Cache) Apply(revision uint64, changes []Item) []Item {
	var applied []Item
	for _, x := range changes {
		if c.put(x) {
			applied = append(applied, x)
		}
	}
	c.revision = max(c.revision, revision)
	slices.SortFunc(applied, CompareRevision)
	c.compact()
	return applied
}

// Replace merges a listing of all keys. The revision is that of the store when
// the listing began; a key that is missing from the listing and has not changed
// since that revision was deleted. It returns the changes sorted by revision.
func (c *Cache) Replace(revision uint64, listed []Item) []Item {
	if revision < c.revision {
		return c.Apply(c.revision, listed)
	}
	present := make(map[string]bool, len(listed))
	for _, x := range listed {
		present[x.Key] = true
	}
	changes := slices.Clone(listed)
	for k, x := range c.items {
		if !present[k] && !x.IsDeleted && x.Revision <= revision {
			changes = append(changes, Item{Key: k, Revision: revision, IsDeleted: true})
		}
	}
	return c.Apply(revision, changes)
}

// Since returns the items that changed after a revision, sorted by revision,
// for another cache that is complete up to it. It reports false if tombstones in
// that range were dropped; the items are then a complete listing, to be merged
// by Replace.
func (c *Cache) Since(revision uint64) (items []Item, isComplete bool) {
	isComplete = revision >= c.compactedRevision
	for _, x := range c.items {
		if x.Revision > revision && isComplete || !isComplete && !x.IsDeleted {
			items = append(items, x)
		}
	}
	slices.SortFunc(items, CompareRevision)
	return items, isComplete
}

// put stores an item and reports whether it is newer than the cached one.
func (c *Cache) put(x Item) bool {
	old, ok := c.items[x.Key]
	if ok && (old.Revision >= x.Revision || old.IsDeleted && x.IsDeleted) {
		return false
	}
	if !ok && x.IsDeleted && x.Revision <= c.revision {
		return false
	}
	if ok && old.IsDeleted {
		c.tombstones--
	}
	if x.IsDeleted {
		c.tombstones++
	}
	c.items[x.Key] = x
	return true
}

// compact drops the oldest tombstones, down to half of maxTombstones, once there
// are more than maxTombstones.
func (c *Cache) compact() {
	if c.tombstones <= maxTombstones {
		return
	}
	var d []Item
	for _, x := range c.items {
		if x.IsDeleted {
			d = append(d, x)
		}
	}
	slices.SortFunc(d, CompareRevision)
	for _, x := range d[:len(d)-maxTombstones/2] {
		delete(c.items, x.Key)
		c.compactedRevision = max(c.compactedRevision, x.Revision)
		c.tombstones--
	}
}

// CompareRevision compares two items by revision for sorting.
func CompareRevision(a, b Item) int {
	return cmp.Compare(a.Revision, b.Revision)
}
