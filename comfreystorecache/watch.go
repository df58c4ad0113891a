package comfreystorecache

import "time"

const (
	// watchers is how many gateways watch the store for all of them: one is
	// enough, and the second takes over without a gap when the first is cut off.
	watchers = 2
	// quietPeer is how long a gateway may be silent before it is not counted on;
	// gateways speak four times a second.
	quietPeer = 700 * time.Millisecond
	// staleContact is how old the youngest contact with the store may become
	// before a gateway watches by itself. A change must be in force within 2 s.
	staleContact = 1100 * time.Millisecond
)

// Peer is another gateway, as far as the duty to watch is concerned.
type Peer struct {
	Address string
	// LastMessageAge is how long ago it was heard.
	LastMessageAge time.Duration
}

// ShouldWatch reports whether a gateway has to watch the store itself. A call to
// the store is priced, and each change answers every watch, so that only the
// gateways with the lowest addresses watch and tell the others. A gateway whose
// copy was last known to be up to date longer ago than the watchers' rhythm
// explains watches as well, because the watchers may be cut off.
func ShouldWatch(self string, peers []Peer, contactAge time.Duration, hasContact bool) bool {
	if !hasContact || contactAge > staleContact {
		return true
	}
	lower := 0
	for _, p := range peers {
		if p.LastMessageAge < quietPeer && p.Address < self {
			lower++
		}
	}
	return lower < watchers
}
