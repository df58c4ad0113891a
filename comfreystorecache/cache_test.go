package comfreystorecache_test

import (
	"fmt"
	"testing"

	"comfreyridge.example/comfreyridge/comfreystorecache"
)

func ExampleCache_Replace() {
	c := comfreystorecache.New()
	c.Replace(5, []comfreystorecache.Item{{Key: "a", Revision: 2}, {Key: "b", Revision: 4}})
	for _, x := range c.Replace(9, []comfreystorecache.Item{{Key: "b", Revision: 8}}) {
		fmt.Println(x.Key, x.Revision, x.IsDeleted)
	}
	// Output:
	// b 8 false
	// a 9 true
}

func TestOlderRevisionsAreIgnored(t *testing.T) {
	c := comfreystorecache.New()
	c.Apply(7, []comfreystorecache.Item{{Key: "c", Revision: 7, Value: []byte("new")}})
	if got := c.Apply(3, []comfreystorecache.Item{{Key: "c", Revision: 3, Value: []byte("old")}}); len(got) != 0 {
		t.Errorf("an older change was applied: %v", got)
	}
	if got := c.Replace(5, nil); len(got) != 0 {
		t.Errorf("an older listing deleted %v", got)
	}
	if c.Revision() != 7 {
		t.Errorf("complete up to %d, want 7", c.Revision())
	}
}

func TestKeyDeletedBetweenListPagesStaysDeleted(t *testing.T) {
	c := comfreystorecache.New()
	c.Replace(10, []comfreystorecache.Item{{Key: "a", Revision: 3}})
	c.Apply(12, []comfreystorecache.Item{{Key: "a", Revision: 12, IsDeleted: true}})
	if got := c.Apply(12, []comfreystorecache.Item{{Key: "a", Revision: 3}}); len(got) != 0 {
		t.Errorf("an outdated page restored %v", got)
	}
}

func TestSinceReturnsDeletions(t *testing.T) {
	a, b := comfreystorecache.New(), comfreystorecache.New()
	a.Apply(2, []comfreystorecache.Item{{Key: "x", Revision: 1}, {Key: "y", Revision: 2}})
	d, isComplete := a.Since(0)
	if !isComplete {
		t.Fatal("got a listing before any tombstone was dropped")
	}
	b.Apply(a.Revision(), d)
	a.Apply(5, []comfreystorecache.Item{{Key: "x", Revision: 5, IsDeleted: true}})
	d, _ = a.Since(b.Revision())
	if got := b.Apply(a.Revision(), d); len(got) != 1 || !got[0].IsDeleted {
		t.Errorf("got %v, want the deletion of x", got)
	}
}

func TestCacheBehindCompactedDeletionsReceivesListing(t *testing.T) {
	a, b := comfreystorecache.New(), comfreystorecache.New()
	a.Apply(1, []comfreystorecache.Item{{Key: "k-0", Revision: 1}})
	d, _ := a.Since(0)
	b.Apply(1, d)
	r := uint64(1)
	for i := range 600 {
		r++
		a.Apply(r, []comfreystorecache.Item{{Key: fmt.Sprintf("k-%d", i), Revision: r}})
		r++
		a.Apply(r, []comfreystorecache.Item{{Key: fmt.Sprintf("k-%d", i), Revision: r, IsDeleted: true}})
	}
	d, isComplete := a.Since(b.Revision())
	if isComplete {
		t.Fatal("got all of 600 deletions, want a listing")
	}
	if got := b.Replace(a.Revision(), d); len(got) != 1 || !got[0].IsDeleted {
		t.Errorf("got %v, want the deletion of k-0", got)
	}
}
