package comfreystorecache_test

import (
	"fmt"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreystorecache"
)

func ExampleListing() {
	pages := map[string]comfreystorecache.Page{
		"":  {Version: comfreystorecache.Version{Era: 1, Revision: 7}, Items: []comfreystorecache.Item{{Key: "a", Revision: 3}}, Next: "a"},
		"a": {Version: comfreystorecache.Version{Era: 1, Revision: 8}, Items: []comfreystorecache.Item{{Key: "b", Revision: 8}}},
	}
	var l comfreystorecache.Listing
	for !l.IsComplete() {
		if err := l.Add(pages[l.Next()]); err != nil {
			fmt.Println(err)
			return
		}
	}
	v, items := l.Items()
	fmt.Println(v, len(items))
	// Output: 1/7 2
}

func TestListingRetriesPages(t *testing.T) {
	var l comfreystorecache.Listing
	if _, ok := l.RetryDelay(); ok {
		t.Error("the first page is requested again, although the store may refuse this process")
	}
	if err := l.Add(comfreystorecache.Page{Next: "a"}); err != nil {
		t.Fatal(err)
	}
	total := time.Duration(0)
	for d, ok := l.RetryDelay(); ok; d, ok = l.RetryDelay() {
		total += d
	}
	if total < time.Second || total > 2*time.Second {
		t.Errorf("a page is requested again for %v, want 1 to 2 s", total)
	}
	if err := l.Add(comfreystorecache.Page{Next: "b"}); err != nil {
		t.Fatal(err)
	}
	if d, ok := l.RetryDelay(); !ok || d > 100*time.Millisecond {
		t.Errorf("the next page: got delay %v, %v", d, ok)
	}
	if err := l.Add(comfreystorecache.Page{Version: comfreystorecache.Version{Era: 1}}); err == nil {
		t.Error("a page of another era was added")
	}
}

func TestListingWithoutEnd(t *testing.T) {
	var l comfreystorecache.Listing
	var err error
	n := 0
	for ; err == nil && n < 5000; n++ {
		err = l.Add(comfreystorecache.Page{Next: "a"})
	}
	if err == nil || n != 1001 {
		t.Errorf("%d pages were added, error %v", n, err)
	}
}
