// Package comfreystorecache caches a watched key-value store. Items from
// listings, watches and the caches of peers are merged by era and revision, so
// that no item ever reverts to an older value of the same era. The package makes
// no calls.
package comfreystorecache

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"slices"
)

// ErrCompacted means that the store no longer holds the changes after the
// requested version, so that all keys have to be listed again.
var ErrCompacted = errors.New("comfreystorecache: the store has compacted the requested revision")

// ErrTooManyChanges means that the changes after the requested version are larger
// than the present state, which has to be read instead.
var ErrTooManyChanges = errors.New("comfreystorecache: the changes after the requested revision are too large")

// maxTombstones is the number of deletions that a Cache keeps for the caches of
// peers. A deployment of 60 replicas, of which a sixth is replaced every 3 s,
// reaches it after a minute.
const maxTombstones = 256

// Version identifies a state of the store.
type Version struct {
	// Era rises each time the store is restored from an older copy. It is zero if
	// the store does not report it.
	Era uint64
	// Revision counts the changes of the store. In a new era it continues from
	// that of the older copy, so that revisions are reused.
	Revision uint64
}

// Compare orders versions by era, then by revision. It returns -1, 0 or 1.
func (v Version) Compare(w Version) int {
	return cmp.Or(cmp.Compare(v.Era, w.Era), cmp.Compare(v.Revision, w.Revision))
}

// String returns the era and the revision, separated by a slash.
func (v Version) String() string {
	return fmt.Sprintf("%d/%d", v.Era, v.Revision)
}

// Item is one key of the store at one revision.
type Item struct {
	Key      string
	Revision uint64
	Value    []byte
	// IsDeleted items have no value.
	IsDeleted bool
}

// Changes brings another cache to a version.
type Changes struct {
	Version Version
	// Items are sorted by revision.
	Items []Item
	// IsSnapshot means that the items are the complete contents of the store.
	IsSnapshot bool
}

// Cache is a process's copy of the store. It is not safe for concurrent use.
//
// It is built for this load: the store fails and is restored from a copy that is
// some seconds older, while hundreds of processes hold newer items, or learn of
// the new era one after the other. The store then issues revisions again that
// the processes have seen with other content.
type Cache struct {
	items map[string]Item
	// version is the version up to which the cache is complete.
	version Version
	// compactedRevision is the revision before which deletions are missing: the
	// highest among the tombstones that were dropped, or that of a listing.
	compactedRevision uint64
	tombstones        int
	// restored is the change from the previous era to the present one.
	restored restoration
}

// restoration is how a cache got from its last version of one era to its first
// version of the next.
type restoration struct {
	// from is the last version of the previous era; zero if it is unknown, or if
	// the cache contained only a part of the changes after it.
	from Version
	// revision is the first revision of the present era, and keys are those whose
	// items differ between the two versions.
	revision uint64
	keys     map[string]bool
}

// New returns an empty cache, which is complete up to the zero version.
func New() *Cache {
	return &Cache{items: map[string]Item{}}
}

// Version returns the version up to which the cache is complete.
func (c *Cache) Version() Version {
	return c.version
}

// Apply merges the changes from a version to a later one and returns those that
// were new, sorted by revision. Changes that the cache already contains, or that
// are older than its items, are ignored. The changes must be all of those between
// the versions. If the cache is not complete up to the first one, or belongs to a
// later era than the second one, then it remains as it is, and Apply reports
// false.
func (c *Cache) Apply(after, version Version, changes []Item) (applied []Item, ok bool) {
	switch {
	case version.Era == c.version.Era && after.Era == version.Era && after.Revision <= c.version.Revision:
		return c.merge(version, changes), true
	case version.Era > c.version.Era && after == c.version && c.isExact():
		return c.restore(version, changes), true
	default:
		return nil, false
	}
}

// Merge merges the changes that another cache has returned by Since for a version,
// and returns those that were new, sorted by revision.
func (c *Cache) Merge(after Version, d Changes) []Item {
	if d.IsSnapshot {
		return c.Replace(d.Version, d.Items)
	}
	applied, _ := c.Apply(after, d.Version, d.Items)
	return applied
}

// MergePartial merges some of the changes up to a version of the present era, and
// returns those that were new, sorted by revision. The cache is complete up to the
// same version as before. Changes of another era, and those for an empty cache, are
// ignored.
//
// It is built for this load: the removal of a replica follows a change that takes
// seconds to transfer, and must not wait for it.
func (c *Cache) MergePartial(version Version, changes []Item) []Item {
	if version.Era != c.version.Era || c.version.Revision == 0 {
		return nil
	}
	return c.merge(c.version, changes)
}

// merge merges changes of the present era.
func (c *Cache) merge(version Version, changes []Item) []Item {
	var applied []Item
	for _, x := range changes {
		if c.put(x) {
			applied = append(applied, x)
		}
	}
	if c.version.Compare(version) < 0 {
		c.version = version
	}
	slices.SortFunc(applied, CompareRevision)
	c.compact()
	return applied
}

// Replace merges a listing of all keys. The version is that of the store when
// the listing began; a key that is missing from the listing and has not changed
// since that version was deleted. It returns the changes sorted by revision. A
// listing of an older era is ignored.
func (c *Cache) Replace(version Version, listed []Item) []Item {
	if version.Era < c.version.Era {
		return nil
	}
	if version.Compare(c.version) < 0 {
		return c.merge(c.version, listed)
	}
	isRestored := version.Era > c.version.Era
	present := make(map[string]bool, len(listed))
	for _, x := range listed {
		present[x.Key] = true
	}
	changes := slices.Clone(listed)
	for k, x := range c.items {
		if !present[k] && !x.IsDeleted && (isRestored || x.Revision <= version.Revision) {
			changes = append(changes, Item{Key: k, Revision: version.Revision, IsDeleted: true})
		}
	}
	if isRestored {
		return c.restore(version, changes)
	}
	if version != c.version {
		// Keys that were both added and deleted since then are unknown.
		c.compactedRevision = max(c.compactedRevision, version.Revision)
	}
	return c.merge(version, changes)
}

// isExact reports whether the cache contains no change after its version. A
// listing may contain some.
func (c *Cache) isExact() bool {
	for _, x := range c.items {
		if x.Revision > c.version.Revision {
			return false
		}
	}
	return true
}

// restore applies the changes from the present state to the first version of a
// new era, in which items may have lower revisions. It returns those that differ
// from the present state, sorted by revision.
func (c *Cache) restore(version Version, changes []Item) []Item {
	r := restoration{revision: version.Revision, keys: map[string]bool{}}
	if c.version.Revision > 0 && c.isExact() {
		r.from = c.version
	}
	for k, x := range c.items {
		if x.IsDeleted {
			delete(c.items, k)
		}
	}
	var applied []Item
	c.tombstones = 0
	for _, x := range changes {
		old, ok := c.items[x.Key]
		if ok && !x.IsDeleted && old.Revision == x.Revision && bytes.Equal(old.Value, x.Value) {
			continue
		}
		r.keys[x.Key] = true
		if x.IsDeleted {
			c.tombstones++
		}
		c.items[x.Key] = x
		if ok || !x.IsDeleted {
			applied = append(applied, x)
		}
	}
	c.version, c.compactedRevision, c.restored = version, version.Revision, r
	slices.SortFunc(applied, CompareRevision)
	c.compact()
	return applied
}

// Since returns the changes after a version, for another cache that is complete
// up to it, to be merged by Merge. If they are not known, it returns a complete listing. A cache of a
// later era needs none of them.
func (c *Cache) Since(v Version) Changes {
	d := Changes{Version: c.version}
	if v.Era > c.version.Era {
		return d
	}
	isAfter := func(x Item) bool { return x.Revision > v.Revision }
	switch {
	case v.Era == c.version.Era:
		d.IsSnapshot = v.Revision < c.compactedRevision
	case v == c.restored.from && v.Revision > 0:
		d.IsSnapshot = c.compactedRevision != c.restored.revision
		isAfter = func(x Item) bool { return x.Revision > c.restored.revision || c.restored.keys[x.Key] }
	default:
		d.IsSnapshot = true
	}
	for _, x := range c.items {
		if !d.IsSnapshot && isAfter(x) || d.IsSnapshot && !x.IsDeleted {
			d.Items = append(d.Items, x)
		}
	}
	slices.SortFunc(d.Items, CompareRevision)
	return d
}

// put stores an item of the present era and reports whether it is newer than the
// cached one.
func (c *Cache) put(x Item) bool {
	old, ok := c.items[x.Key]
	if ok && old.Revision >= x.Revision {
		return false
	}
	if ok && old.IsDeleted && x.IsDeleted {
		// Other caches may have seen the key exist in between.
		c.items[x.Key] = x
		return false
	}
	if !ok && x.Revision <= c.version.Revision {
		return false // The key was deleted since.
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
// are more than maxTombstones. It keeps those after the version of the cache, since
// older changes of their keys may still arrive.
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
		if x.Revision > c.version.Revision {
			break
		}
		delete(c.items, x.Key)
		c.compactedRevision = max(c.compactedRevision, x.Revision)
		c.restored = restoration{}
		c.tombstones--
	}
}

// CompareRevision compares two items by revision for sorting.
func CompareRevision(a, b Item) int {
	return cmp.Compare(a.Revision, b.Revision)
}
