package comfreystorecache_test

import (
	"fmt"
	"testing"

	"comfreyridge.example/comfreyridge/comfreystorecache"
)

// revision returns a version of the era zero.
func revision(n uint64) comfreystorecache.Version {
	return comfreystorecache.Version{Revision: n}
}

func ExampleCache_Replace() {
	c := comfreystorecache.New()
	c.Replace(comfreystorecache.Version{Revision: 5}, []comfreystorecache.Item{{Key: "a", Revision: 2}, {Key: "b", Revision: 4}})
	for _, x := range c.Replace(comfreystorecache.Version{Revision: 9}, []comfreystorecache.Item{{Key: "b", Revision: 8}}) {
		fmt.Println(x.Key, x.Revision, x.IsDeleted)
	}
	// Output:
	// b 8 false
	// a 9 true
}

func TestOlderRevisionsAreIgnored(t *testing.T) {
	c := comfreystorecache.New()
	c.Apply(revision(0), revision(7), []comfreystorecache.Item{{Key: "c", Revision: 7, Value: []byte("new")}})
	if got, _ := c.Apply(revision(0), revision(3), []comfreystorecache.Item{{Key: "c", Revision: 3, Value: []byte("old")}}); len(got) != 0 {
		t.Errorf("an older change was applied: %v", got)
	}
	if got := c.Replace(revision(5), nil); len(got) != 0 {
		t.Errorf("an older listing deleted %v", got)
	}
	if c.Version() != revision(7) {
		t.Errorf("complete up to %v, want 7", c.Version())
	}
}

func TestKeyDeletedBetweenListPagesStaysDeleted(t *testing.T) {
	c := comfreystorecache.New()
	c.Replace(revision(10), []comfreystorecache.Item{{Key: "a", Revision: 3}})
	c.Apply(revision(10), revision(12), []comfreystorecache.Item{{Key: "a", Revision: 12, IsDeleted: true}})
	if got, _ := c.Apply(revision(12), revision(12), []comfreystorecache.Item{{Key: "a", Revision: 3}}); len(got) != 0 {
		t.Errorf("an outdated page restored %v", got)
	}
}

func TestSinceReturnsDeletions(t *testing.T) {
	a, b := comfreystorecache.New(), comfreystorecache.New()
	a.Apply(revision(0), revision(2), []comfreystorecache.Item{{Key: "x", Revision: 1}, {Key: "y", Revision: 2}})
	d := a.Since(revision(0))
	if d.IsSnapshot {
		t.Fatal("got a listing before any tombstone was dropped")
	}
	b.Apply(revision(0), d.Version, d.Items)
	a.Apply(revision(2), revision(5), []comfreystorecache.Item{{Key: "x", Revision: 5, IsDeleted: true}})
	d = a.Since(b.Version())
	if got, _ := b.Apply(b.Version(), d.Version, d.Items); len(got) != 1 || !got[0].IsDeleted {
		t.Errorf("got %v, want the deletion of x", got)
	}
}

func TestCacheBehindCompactedDeletionsReceivesListing(t *testing.T) {
	a, b := comfreystorecache.New(), comfreystorecache.New()
	a.Apply(revision(0), revision(1), []comfreystorecache.Item{{Key: "k-0", Revision: 1}})
	d := a.Since(revision(0))
	b.Apply(revision(0), d.Version, d.Items)
	r := uint64(1)
	for i := range 600 {
		r++
		a.Apply(a.Version(), revision(r), []comfreystorecache.Item{{Key: fmt.Sprintf("k-%d", i), Revision: r}})
		r++
		a.Apply(a.Version(), revision(r), []comfreystorecache.Item{{Key: fmt.Sprintf("k-%d", i), Revision: r, IsDeleted: true}})
	}
	d = a.Since(b.Version())
	if !d.IsSnapshot {
		t.Fatal("got all of 600 deletions, want a listing")
	}
	if got := b.Replace(d.Version, d.Items); len(got) != 1 || !got[0].IsDeleted {
		t.Errorf("got %v, want the deletion of k-0", got)
	}
}
