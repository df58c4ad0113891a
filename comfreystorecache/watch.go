package comfreystorecache

import "time"

const (
	// watchers is the number of gateways that watch the store on behalf of all
	// gateways. One would be enough; the second avoids a gap when the first is
	// disconnected.
	watchers = 2
	// peerTimeout is the time without a message after which a gateway does not
	// count as a watcher; gateways send four messages a second.
	peerTimeout = 700 * time.Millisecond
	// maxStoreAge is the age of the cache from which a gateway watches the store
	// itself. A change must be active within 2 s.
	maxStoreAge = 1100 * time.Millisecond
)

// Peer is another gateway, which may be watching the store.
type Peer struct {
	Address string
	// LastMessageAge is the time since its last message.
	LastMessageAge time.Duration
}

// ShouldWatch reports whether a gateway has to watch the store itself. Calls to
// the store are charged, and each change completes every watch, so only the
// gateways with the lowest addresses watch and send the changes to their peers.
// The storeAge is the time since the gateway's cache was last known to be
// current; isSynced is false if it never was. A gateway whose cache is older than
// the watchers' interval explains watches as well, because the watchers may be
// disconnected.
func ShouldWatch(self string, peers []Peer, storeAge time.Duration, isSynced bool) bool {
	if !isSynced || storeAge > maxStoreAge {
		return true
	}
	lower := 0
	for _, p := range peers {
		if p.LastMessageAge < peerTimeout && p.Address < self {
			lower++
		}
	}
	return lower < watchers
}
