// Package comfreycell divides a fleet of gateways into cells, so that what a
// gateway sends and receives does not grow with the fleet. It makes no calls and
// reads no clock.
//
// It is built for this load: hundreds of gateways in a handful of data centres
// place generations on as many replicas. If each gateway sends its placements to
// all others, or chooses among all replicas, then weak hosts spend their
// processor time on messages, and all gateways choose the same replica within
// the time that a message takes. In a cell, the gateways exchange all of their
// placements and share the replicas of the cell. Between cells, only a few
// relays exchange loads.
package comfreycell

import (
	"cmp"
	"math/bits"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxMembers bounds the gateways of a cell. A fleet of up to this size is a
	// single cell.
	MaxMembers = 40
	// Relays is how many gateways of a cell exchange its state with other cells.
	// One would be enough; the second avoids a gap when the first is
	// disconnected.
	Relays = 2
	// liveTimeout is the age of its last sign of life from which on a gateway of
	// the own cell does not count as live; it sends four messages a second.
	liveTimeout = 700 * time.Millisecond
	// remoteLiveTimeout is the same for gateways of other cells, which the relays
	// list every second.
	remoteLiveTimeout = 3500 * time.Millisecond
)

// ID identifies a cell. The ID of the only cell of a small fleet is empty.
type ID string

// Gateway is a gateway of the fleet.
type Gateway struct {
	Address string
	// DataCentre is empty if it is unknown. Such a gateway counts as a member of
	// every cell, but not as one of its relays.
	DataCentre string
	// SilentFor is the time since the last sign of life. It is ignored for the
	// gateway that computes the layout.
	SilentFor time.Duration
}

// Layout is the division of a fleet into cells, as one gateway sees it. The same
// fleet gives the same cells on every gateway. A Layout is immutable.
type Layout struct {
	self Gateway
	own  ID
	// splitBits is how often the gateways of a data centre are divided in two;
	// nil if the fleet is a single cell.
	splitBits map[string]int
	// members lists the known gateways of each cell, without those of unknown
	// data centres, by rank.
	members map[ID][]Gateway
	// unknown lists the addresses of the gateways of unknown data centres.
	unknown []string
	// live lists the cells with live gateways, sorted, and liveByDataCentre
	// those of each data centre.
	live             []ID
	liveByDataCentre map[string][]ID
	fleetSize        int
	fleetRank        int
}

// New returns the layout of the fleet that consists of self and others.
func New(self Gateway, others []Gateway) Layout {
	self.SilentFor = 0
	l := Layout{self: self, members: map[ID][]Gateway{}, liveByDataCentre: map[string][]ID{}, fleetSize: len(others) + 1}
	if l.fleetSize > MaxMembers {
		sizes := map[string]int{self.DataCentre: 1}
		for _, g := range others {
			sizes[g.DataCentre]++
		}
		l.splitBits = map[string]int{}
		for c, n := range sizes {
			l.splitBits[c] = bits.Len(uint((n - 1) / MaxMembers))
		}
	}
	l.own = l.cellOf(self)
	l.add(self)
	for _, g := range others {
		if g.DataCentre == "" && self.DataCentre != "" {
			l.unknown = append(l.unknown, g.Address)
			continue
		}
		l.add(g)
	}
	slices.Sort(l.unknown)
	for _, m := range l.members {
		slices.SortFunc(m, compareRank)
	}
	slices.Sort(l.live)
	return l
}

// add adds a gateway of a known data centre.
func (l *Layout) add(g Gateway) {
	id := l.cellOf(g)
	l.members[id] = append(l.members[id], g)
	timeout := remoteLiveTimeout
	if id == l.own {
		timeout = liveTimeout
	}
	if g.SilentFor < timeout && compareRank(g, l.self) < 0 {
		l.fleetRank++
	}
	if g.SilentFor >= remoteLiveTimeout {
		return
	}
	if !slices.Contains(l.live, id) {
		l.live = append(l.live, id)
	}
	if !slices.Contains(l.liveByDataCentre[g.DataCentre], id) {
		l.liveByDataCentre[g.DataCentre] = append(l.liveByDataCentre[g.DataCentre], id)
	}
}

// cellOf returns the cell of a gateway. A data centre with too many gateways for
// one cell is divided in two by one more bit of the hash of the addresses, so
// that gateways which do not agree on the number of bits still share a cell with
// half of the others.
func (l *Layout) cellOf(g Gateway) ID {
	if l.splitBits == nil {
		return ""
	}
	id := ID(g.DataCentre)
	if n := l.splitBits[g.DataCentre]; n > 0 {
		id += ID("/" + strconv.FormatUint(xxhash.Sum64String(g.Address)>>(64-n), 2))
	}
	return id
}

// compareRank orders gateways by a hash of their address, so that the first ones
// are spread over the data centres.
func compareRank(a, b Gateway) int {
	return cmp.Or(cmp.Compare(xxhash.Sum64String(a.Address), xxhash.Sum64String(b.Address)), cmp.Compare(a.Address, b.Address))
}

// Own returns the cell of the gateway that computed the layout.
func (l Layout) Own() ID {
	return l.own
}

// Members returns the addresses of the other gateways of the own cell, live or
// not, and of those whose data centre is unknown.
func (l Layout) Members() []string {
	a := slices.Clone(l.unknown)
	for _, g := range l.members[l.own] {
		if g.Address != l.self.Address {
			a = append(a, g.Address)
		}
	}
	return a
}

// LiveMembers returns the addresses of the other gateways of the own cell that
// are live.
func (l Layout) LiveMembers() []string {
	var a []string
	for _, g := range l.members[l.own] {
		if g.Address != l.self.Address && g.SilentFor < liveTimeout {
			a = append(a, g.Address)
		}
	}
	return a
}

// FleetSize returns the number of known gateways, including this one.
func (l Layout) FleetSize() int {
	return l.fleetSize
}

// Rank returns how many live gateways of the own cell precede this one.
func (l Layout) Rank() int {
	n := 0
	for _, g := range l.members[l.own] {
		if g.Address == l.self.Address {
			break
		}
		if g.SilentFor < liveTimeout {
			n++
		}
	}
	return n
}

// FleetRank returns how many live gateways of the fleet precede this one.
func (l Layout) FleetRank() int {
	return l.fleetRank
}

// IsRelay reports whether this gateway is a relay of its cell.
func (l Layout) IsRelay() bool {
	return l.Rank() < Relays
}

// RelayTarget is the gateway of another cell to which a relay sends the state of
// its own cell.
type RelayTarget struct {
	Cell    ID
	Address string
}

// RelayTargets returns a gateway of every other cell, or nothing if this gateway
// is not a relay. The relays of two cells form pairs by their rank, so that each
// state travels once for each relay.
func (l Layout) RelayTargets() []RelayTarget {
	rank := l.Rank()
	if rank >= Relays {
		return nil
	}
	var t []RelayTarget
	for _, id := range l.live {
		if id == l.own {
			continue
		}
		var live []Gateway
		for _, g := range l.members[id] {
			if g.SilentFor < remoteLiveTimeout {
				live = append(live, g)
			}
		}
		t = append(t, RelayTarget{Cell: id, Address: live[min(rank, len(live)-1)].Address})
	}
	return t
}

// Home returns the cell whose gateways use a replica: one in the data centre of
// the replica, or any if no gateway is live there.
func (l Layout) Home(replica, dataCentre string) ID {
	cells := l.liveByDataCentre[dataCentre]
	if len(cells) == 0 {
		cells = l.live
	}
	switch len(cells) {
	case 0:
		return l.own
	case 1:
		return cells[0]
	}
	return slices.MaxFunc(cells, func(a, b ID) int {
		return cmp.Compare(homeWeight(replica, a), homeWeight(replica, b))
	})
}

// IsHome reports whether the own cell uses a replica.
func (l Layout) IsHome(replica, dataCentre string) bool {
	return l.Home(replica, dataCentre) == l.own
}

// homeWeight returns the weight of a cell in the rendezvous hashing of a replica.
func homeWeight(replica string, c ID) uint64 {
	return xxhash.Sum64String(replica + " " + string(c))
}
