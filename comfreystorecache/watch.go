package comfreystorecache

import "time"

const (
	// watchers is the number of gateways that watch the store on behalf of all
	// gateways. One would be enough; the second avoids a gap when the first is
	// disconnected.
	watchers = 2
	// maxStoreAge is the age of the cache from which a gateway watches the store
	// itself. A change must be active within 2 s.
	maxStoreAge = 1100 * time.Millisecond
	// fallbackSpacing is how much later each further gateway of a cell watches
	// itself, so that its predecessors can confirm the cache for the whole cell.
	// A confirmation takes a few milliseconds.
	fallbackSpacing = 100 * time.Millisecond
	// maxFallbackDelay bounds the delay, for cells in which the first gateways
	// are all disconnected from the store.
	maxFallbackDelay = 2 * time.Second
	// firstRetryDelay is the delay after a failed call, and lastRetryDelay that
	// after several, for the first gateway of a cell. The others wait longer: the
	// first ones detect the end of an outage for all of them.
	firstRetryDelay = 50 * time.Millisecond
	lastRetryDelay  = 600 * time.Millisecond
	maxRetryDelay   = 5 * time.Second
)

// WatchRequest describes one watch call.
type WatchRequest struct {
	// Prefix selects the keys; all of them if it is empty.
	Prefix string
	// After is the version after which changes are requested.
	After Version
	// Wait is how long the store waits for a change.
	Wait time.Duration
	// OnBody, if set, is called when the body of the response begins to arrive. It
	// reports whether the body is read if it is large.
	OnBody func() bool
}

// HasGap reports whether a revision after one and up to another one belongs to none
// of the changes, so that a key may have changed that they do not include. Each
// change of the store has a revision of its own.
func HasGap(after, revision uint64, changes ...[]Item) bool {
	if revision <= after {
		return false
	}
	known := map[uint64]bool{}
	for _, l := range changes {
		for _, x := range l {
			if x.Revision > after && x.Revision <= revision {
				known[x.Revision] = true
			}
		}
	}
	return uint64(len(known)) < revision-after
}

// Position is the place of a gateway among those that could watch the store. It
// counts the live gateways before it, in an order on which all gateways agree.
type Position struct {
	// InFleet counts the gateways of the whole fleet, and InCell those that
	// receive every message of this gateway.
	InFleet, InCell int
}

// ShouldWatch reports whether a gateway has to watch the store itself. Calls to
// the store are charged, and each change completes every watch, so only the
// first gateways of the fleet watch and send the changes to the others. The
// storeAge is the time since the gateway's cache was last known to be current;
// isSynced is false if it never was. A gateway whose cache is older than the
// watchers' interval explains watches as well, because the watchers may be
// disconnected.
//
// It is built for this load: the store fails, or refuses some of hundreds of
// gateways. If all of them fell back to watches of their own at once, the store
// would get most of a day's calls in these seconds.
func ShouldWatch(p Position, storeAge time.Duration, isSynced bool) bool {
	if !isSynced || p.InFleet < watchers {
		return true
	}
	return storeAge > maxStoreAge+min(time.Duration(p.InCell)*fallbackSpacing, maxFallbackDelay)
}

// RetryDelay returns the delay before a gateway calls the store again, given the
// number of calls that have failed in succession.
func RetryDelay(p Position, failed int) time.Duration {
	d := firstRetryDelay
	for range failed - 1 {
		d = min(2*d, lastRetryDelay)
	}
	return min(d*time.Duration(1+p.InCell), maxRetryDelay)
}
