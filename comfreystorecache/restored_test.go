package comfreystorecache_test

import (
	"bytes"
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	"comfreyridge.example/comfreyridge/comfreyseed"
	"comfreyridge.example/comfreyridge/comfreystorecache"
)

func ExampleCache_Since() {
	a, b := comfreystorecache.New(), comfreystorecache.New()
	lost := comfreystorecache.Version{Era: 1, Revision: 9}
	for _, c := range []*comfreystorecache.Cache{a, b} {
		c.Replace(lost, []comfreystorecache.Item{{Key: "k", Revision: 9}, {Key: "l", Revision: 2}})
	}
	// The store is restored from a copy without revision 9, and one cache lists it.
	a.Replace(comfreystorecache.Version{Era: 2, Revision: 6}, []comfreystorecache.Item{{Key: "k", Revision: 5}, {Key: "l", Revision: 2}})
	d := a.Since(b.Version())
	changes := b.Merge(b.Version(), d)
	fmt.Println(d.IsSnapshot, changes[0].Key, changes[0].Revision, b.Version())
	// Output:
	// false k 5 2/6
}

// simulatedStore is a store that keeps the history of its present era.
type simulatedStore struct {
	version comfreystorecache.Version
	items   map[string]comfreystorecache.Item
	history []comfreystorecache.Item
	copies  []simulatedStore
	// states holds the contents at each version.
	states map[comfreystorecache.Version]map[string]comfreystorecache.Item
}

func (s *simulatedStore) write(r *rand.Rand) {
	s.version.Revision++
	x := comfreystorecache.Item{Key: fmt.Sprint("k", r.IntN(12)), Revision: s.version.Revision}
	if _, ok := s.items[x.Key]; ok && r.IntN(3) == 0 {
		x.IsDeleted = true
		delete(s.items, x.Key)
	} else {
		x.Value = fmt.Append(nil, s.version.Era, r.Uint64())
		s.items[x.Key] = x
	}
	s.history = append(s.history, x)
	s.states[s.version] = maps.Clone(s.items)
}

func (s *simulatedStore) keepCopy() {
	c := *s
	c.items = maps.Clone(s.items)
	c.history = append([]comfreystorecache.Item(nil), s.history...)
	s.copies = append(s.copies, c)
}

// restore returns to a random copy, in a new era.
func (s *simulatedStore) restore(r *rand.Rand) {
	era := s.version.Era + 1
	if len(s.copies) > 0 {
		c := s.copies[r.IntN(len(s.copies))]
		s.version, s.items = c.version, maps.Clone(c.items)
		s.history = append([]comfreystorecache.Item(nil), c.history...)
	}
	s.version.Era = era
	s.states[s.version] = maps.Clone(s.items)
}

// watch brings a cache to the present version by a watch, or by a listing after a
// restoration.
func (s *simulatedStore) watch(c *comfreystorecache.Cache) {
	after := c.Version()
	if after.Era != s.version.Era || after.Revision == 0 {
		var l []comfreystorecache.Item
		for _, x := range s.items {
			l = append(l, x)
		}
		c.Replace(s.version, l)
		return
	}
	var l []comfreystorecache.Item
	for _, x := range s.history {
		if x.Revision > after.Revision {
			l = append(l, x)
		}
	}
	c.Apply(after, s.version, l)
}

// exchange brings a cache to the version of another one if that is later.
func exchange(c, from *comfreystorecache.Cache) {
	after := c.Version()
	c.Merge(after, from.Since(after))
}

// contents returns the items of a cache that exist.
func contents(c *comfreystorecache.Cache) map[string]comfreystorecache.Item {
	m := map[string]comfreystorecache.Item{}
	for _, x := range c.Since(comfreystorecache.Version{Era: c.Version().Era}).Items {
		if !x.IsDeleted {
			m[x.Key] = x
		}
	}
	return m
}

// TestCacheOfLaterEraNeedsNothing lets a cache of an older era be asked for its
// changes by one of a newer era, which must not cost a listing of all keys.
func TestCacheOfLaterEraNeedsNothing(t *testing.T) {
	older, newer := comfreystorecache.New(), comfreystorecache.New()
	older.Replace(comfreystorecache.Version{Era: 1, Revision: 9}, []comfreystorecache.Item{{Key: "a", Revision: 9}})
	newer.Replace(comfreystorecache.Version{Era: 2, Revision: 5}, []comfreystorecache.Item{{Key: "b", Revision: 4}})
	if d := older.Since(newer.Version()); len(d.Items) > 0 {
		t.Errorf("a cache of the older era sends %v", d.Items)
	}
	exchange(newer, older)
	if got := contents(newer); len(got) != 1 || newer.Version().Era != 2 {
		t.Errorf("after the exchange the newer cache holds %v at %v", got, newer.Version())
	}
}

// TestRandomRestorations lets caches follow a store that is restored from older
// copies, some from the store and some from each other, at random times. A cache
// must hold exactly the contents of the store at the version that it claims, and
// never return to an older version.
func TestRandomRestorations(t *testing.T) {
	for seed := range comfreyseed.Seeds(200) {
		r := rand.New(rand.NewPCG(seed, 1))
		s := &simulatedStore{
			version: comfreystorecache.Version{Era: 1}, items: map[string]comfreystorecache.Item{},
			states: map[comfreystorecache.Version]map[string]comfreystorecache.Item{},
		}
		caches := make([]*comfreystorecache.Cache, 6)
		for i := range caches {
			caches[i] = comfreystorecache.New()
		}
		for step := range 400 {
			i, k := r.IntN(len(caches)), r.IntN(len(caches))
			before := caches[i].Version()
			switch n := r.IntN(100); {
			case n < 40:
				s.write(r)
			case n < 55 && i < 2:
				s.watch(caches[i])
			case n < 93:
				exchange(caches[i], caches[k])
			case n < 95:
				caches[i], before = comfreystorecache.New(), comfreystorecache.Version{} // It restarts.
			case n < 98:
				s.keepCopy()
			default:
				s.restore(r)
			}
			v := caches[i].Version()
			if v.Compare(before) < 0 {
				t.Fatalf("seed %d, step %d: a cache returned from %v to %v", seed, step, before, v)
			}
			if got, want := contents(caches[i]), s.states[v]; !maps.EqualFunc(got, want, isSame) {
				t.Fatalf("seed %d, step %d: at %v a cache holds %v, want %v", seed, step, v, got, want)
			}
		}
	}
}

func isSame(a, b comfreystorecache.Item) bool {
	return a.Revision == b.Revision && bytes.Equal(a.Value, b.Value) && !a.IsDeleted && !b.IsDeleted
}

// TestListingSinceOlderCacheIsComplete guards against a gateway that starts with
// a listing and then sends its items as if they were all changes since an older
// version: a key that was deleted before the listing would stay in the other
// cache.
func TestListingSinceOlderCacheIsComplete(t *testing.T) {
	behind, started := comfreystorecache.New(), comfreystorecache.New()
	behind.Apply(revision(0), revision(3), []comfreystorecache.Item{{Key: "a", Revision: 2}, {Key: "b", Revision: 3}})
	started.Replace(revision(5), []comfreystorecache.Item{{Key: "b", Revision: 3}})
	exchange(behind, started)
	if got := contents(behind); len(got) != 1 {
		t.Errorf("got %v, want b alone", got)
	}
}
