package comfreystorecache

import (
	"fmt"
	"time"
)

const (
	// maxPages is the largest number of pages of one listing, in case the store
	// reports more pages without end.
	maxPages = 1000
	// maxPageRetries bounds how often one page is requested again, and
	// firstPageRetryDelay is the delay before the first time. It doubles with each.
	maxPageRetries      = 5
	firstPageRetryDelay = 40 * time.Millisecond
)

// Page is a part of a listing of all keys.
type Page struct {
	// Version is that of the store when it responded.
	Version Version
	Items   []Item
	// Next is the key after which the next page begins; empty on the last page.
	Next string
}

// Listing collects the pages of a listing of all keys. A page that fails is
// requested again, without the pages before it.
//
// It is built for this load: hundreds of gateways start at once and list
// thousands of replicas in dozens of pages each. The store answers more calls
// than it may with a refusal. If each refused page began a listing anew, the
// calls would only multiply.
type Listing struct {
	version    Version
	items      []Item
	next       string
	pages      int
	failed     int
	isComplete bool
}

// Next returns the key after which the next page begins; empty for the first one.
func (l *Listing) Next() string {
	return l.next
}

// Add adds the next page. It is an error if the store was restored since the first
// page, or has too many pages.
func (l *Listing) Add(p Page) error {
	if l.pages == 0 {
		l.version = p.Version
	}
	if p.Version.Era != l.version.Era {
		return fmt.Errorf("comfreystorecache: expected all pages of a listing in era %d, got one of era %d", l.version.Era, p.Version.Era)
	}
	if l.pages == maxPages {
		return fmt.Errorf("comfreystorecache: expected a listing of at most %d pages, got more", maxPages)
	}
	l.pages++
	l.failed = 0
	l.items = append(l.items, p.Items...)
	l.next, l.isComplete = p.Next, p.Next == ""
	return nil
}

// RetryDelay returns the delay after which a page that failed is requested again.
// It reports false if the listing has failed: on its first page, since the store
// then may refuse this process altogether, or on one page too often.
func (l *Listing) RetryDelay() (time.Duration, bool) {
	if l.pages == 0 || l.failed == maxPageRetries {
		return 0, false
	}
	l.failed++
	return firstPageRetryDelay << (l.failed - 1), true
}

// IsComplete reports whether all pages were added.
func (l *Listing) IsComplete() bool {
	return l.isComplete
}

// Items returns every item of a complete listing, and the version of the store
// when the listing began. Items that changed meanwhile can be newer.
func (l *Listing) Items() (Version, []Item) {
	return l.version, l.items
}
