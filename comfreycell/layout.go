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
	"fmt"
	"maps"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxMembers bounds the gateways of a cell. A fleet of up to this size is a
	// single cell. The division is by hash, so that a cell can exceed the bound a
	// little.
	MaxMembers = 40
	// Relays is how many gateways of a cell exchange its state with other cells.
	// One would be enough; the second avoids a gap when the first is
	// disconnected.
	Relays = 2
	// Leaders is how many gateways of a cell are listed to cells of other data
	// centres. They include the next relays if the present ones fail.
	Leaders = 4
	// minStateInterval and stateIntervalPerCell are how often each relay sends the
	// state of its cell.
	minStateInterval     = 500 * time.Millisecond
	stateIntervalPerCell = 125 * time.Millisecond
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
	// AliveFor is how long it has been running, as far as it is known.
	AliveFor time.Duration
}

// ranked is a gateway with the hash of its address, by which gateways are ordered
// so that the first ones are spread over the data centres.
type ranked struct {
	Gateway
	hash uint64
}

func newRanked(g Gateway) ranked {
	return ranked{g, xxhash.Sum64String(g.Address)}
}

func compareRank(a, b ranked) int {
	return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.Address, b.Address))
}

// Layout is the division of a fleet into cells, as one gateway sees it. The same
// fleet gives the same cells on every gateway. A Layout is immutable.
type Layout struct {
	self ranked
	own  ID
	// splitBits is how often the gateways of each data centre are divided in two;
	// nil if the fleet is a single cell.
	splitBits map[string]int
	// cells holds the cells of each data centre by number, so that their names are
	// formatted once; nil if the fleet is a single cell.
	cells map[string][]ID
	// members lists the known gateways of each cell, without those of unknown
	// data centres, by rank.
	members map[ID][]ranked
	// unknown lists the addresses of the gateways of unknown data centres.
	unknown []string
	// live lists the data centres with live gateways, sorted.
	live []string
	// sizes holds the number of known gateways in each data centre.
	sizes     map[string]int
	fleetSize int
	fleetRank int
}

// New returns the layout of the fleet that consists of self and others. Of a data
// centre other than its own, a gateway knows only some gateways; sizes holds how
// many there are, as far as that was reported.
func New(self Gateway, others []Gateway, sizes map[string]int) Layout {
	self.SilentFor = 0
	l := Layout{self: newRanked(self), members: map[ID][]ranked{}, sizes: map[string]int{self.DataCentre: 1}}
	for _, g := range others {
		l.sizes[g.DataCentre]++
	}
	for c, n := range sizes {
		if c != self.DataCentre {
			l.sizes[c] = max(l.sizes[c], n)
		}
	}
	for _, n := range l.sizes {
		l.fleetSize += n
	}
	if l.fleetSize > MaxMembers {
		l.splitBits, l.cells = map[string]int{}, map[string][]ID{}
		for c, n := range l.sizes {
			if c != "" || self.DataCentre == "" { // No cell consists of gateways of unknown data centres.
				b := bits.Len(uint((n - 1) / MaxMembers))
				l.splitBits[c] = b
				for i := range uint64(1) << b {
					l.cells[c] = append(l.cells[c], cellID(c, b, i))
				}
			}
		}
	}
	l.own = l.cellOf(self.DataCentre, l.self.hash)
	l.add(l.self)
	for _, g := range others {
		if g.DataCentre == "" && self.DataCentre != "" {
			l.unknown = append(l.unknown, g.Address)
			continue
		}
		l.add(newRanked(g))
	}
	slices.Sort(l.unknown)
	for _, m := range l.members {
		slices.SortFunc(m, compareRank)
	}
	slices.Sort(l.live)
	return l
}

// add adds a gateway of a known data centre.
func (l *Layout) add(g ranked) {
	id := l.cellOf(g.DataCentre, g.hash)
	l.members[id] = append(l.members[id], g)
	if g.SilentFor < l.timeout(id) && compareRank(g, l.self) < 0 {
		l.fleetRank++
	}
	if g.SilentFor < remoteLiveTimeout && !slices.Contains(l.live, g.DataCentre) {
		l.live = append(l.live, g.DataCentre)
	}
}

// timeout returns how long a gateway of a cell may be silent and counts as live.
func (l Layout) timeout(id ID) time.Duration {
	if id == l.own {
		return liveTimeout
	}
	return remoteLiveTimeout
}

// cellOf returns the cell of the gateway or replica in a data centre whose address
// or id has the hash. A data centre with too many gateways for one
// cell is divided in two by one more bit of the hash, so that gateways which do
// not agree on the number of bits still share a cell with half of the others.
func (l Layout) cellOf(dataCentre string, hash uint64) ID {
	if l.splitBits == nil {
		return ""
	}
	c := l.cells[dataCentre]
	if c == nil {
		return ID(dataCentre)
	}
	return c[hash>>(64-l.splitBits[dataCentre])]
}

// cellID returns the cell of a number in a data centre that is divided by bits.
func cellID(dataCentre string, bits int, number uint64) ID {
	if bits == 0 {
		return ID(dataCentre)
	}
	return ID(fmt.Sprintf("%s/%0*b", dataCentre, bits, number))
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

// SettledMembers returns the live gateways of the own cell that have been running for
// a time, which may include this one.
func (l Layout) SettledMembers(period time.Duration) []string {
	var a []string
	for _, g := range l.members[l.own] {
		if g.SilentFor < liveTimeout && g.AliveFor >= period {
			a = append(a, g.Address)
		}
	}
	return a
}

// MembersHeardWithin returns the number of gateways of the own cell, including this
// one, that have shown to be running within a time.
func (l Layout) MembersHeardWithin(period time.Duration) int {
	n := 0
	for _, g := range l.members[l.own] {
		if g.SilentFor < period {
			n++
		}
	}
	return n
}

// Contact returns a gateway of another cell; false if none is known.
func (l Layout) Contact(id ID) (address string, ok bool) {
	return l.relayAt(id, 0)
}

// FleetSize returns the number of gateways, including this one, as far as it is
// known.
func (l Layout) FleetSize() int {
	return l.fleetSize
}

// Sizes returns the number of known gateways in each data centre, including this
// one. It must not be changed.
func (l Layout) Sizes() map[string]int {
	return l.sizes
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

// LeadingMembers returns the addresses of the first live gateways of the own
// cell, including this one.
func (l Layout) LeadingMembers() []string {
	var a []string
	for _, g := range l.members[l.own] {
		if g.SilentFor < liveTimeout && len(a) < Leaders {
			a = append(a, g.Address)
		}
	}
	return a
}

// RelayTarget is the gateway of another cell to which a relay sends the state of
// its own cell.
type RelayTarget struct {
	Cell    ID
	Address string
	// IsSameDataCentre is true for a cell in the data centre of this gateway.
	IsSameDataCentre bool
}

// RelayTargets returns a gateway of each cell with which the own one exchanges
// states, or nothing if this gateway is not a relay. These are the other cells of
// its data centre, and one in each other data centre, or several if that is
// divided into more cells. The relays of two cells form pairs by their rank, so
// that each state travels once for each relay.
func (l Layout) RelayTargets() []RelayTarget {
	rank := l.Rank()
	if rank >= Relays {
		return nil
	}
	var t []RelayTarget
	for _, c := range slices.Sorted(maps.Keys(l.splitBits)) {
		for _, id := range l.partners(c) {
			a, ok := l.relayAt(id, rank)
			if !ok {
				a, ok = l.gatewayIn(c) // It passes the state on.
			}
			if ok {
				t = append(t, RelayTarget{Cell: id, Address: a, IsSameDataCentre: c == l.self.DataCentre})
			}
		}
	}
	return t
}

// StateInterval returns how often each relay of the cell sends its state. It grows
// with the number of cells that receive it, so that what they receive does not.
func (l Layout) StateInterval() time.Duration {
	n := 0
	for c := range l.splitBits {
		n += len(l.partners(c))
	}
	return max(minStateInterval, time.Duration(n)*stateIntervalPerCell)
}

// Guest returns the only other cell that may use a replica of the own cell, or
// false if there is no other cell.
//
// It is built for this load: a replica with free capacity appears in the state of
// its cell, which all gateways of all other cells receive at the same time. If
// all of them may use it, dozens of prompts arrive there before the next state.
func (l Layout) Guest(replica string) (ID, bool) {
	var ids []ID
	for c := range l.splitBits {
		ids = append(ids, l.partners(c)...)
	}
	if len(ids) == 0 {
		return "", false
	}
	slices.Sort(ids)
	return slices.MaxFunc(ids, func(a, b ID) int {
		return cmp.Compare(xxhash.Sum64String(replica+" "+string(a)), xxhash.Sum64String(replica+" "+string(b)))
	}), true
}

// partners returns the cells of a data centre with which the own one exchanges
// states. Two cells of different data centres are partners if the number of one
// begins with that of the other, so that both agree on it.
func (l Layout) partners(dataCentre string) []ID {
	ownBits, n := l.splitBits[l.self.DataCentre], l.splitBits[dataCentre]
	own := l.self.hash >> (64 - ownBits)
	shared := min(ownBits, n)
	var ids []ID
	for i, id := range l.cells[dataCentre] {
		if id != l.own && (dataCentre == l.self.DataCentre || uint64(i)>>(n-shared) == own>>(ownBits-shared)) {
			ids = append(ids, id)
		}
	}
	return ids
}

// relayAt returns the live gateway of a rank in another cell, or the last one. If
// none is live, it returns the one that was heard of most recently.
func (l Layout) relayAt(id ID, rank int) (address string, ok bool) {
	var live []ranked
	for _, g := range l.members[id] {
		if g.SilentFor < remoteLiveTimeout {
			live = append(live, g)
		}
	}
	if len(live) > 0 {
		return live[min(rank, len(live)-1)].Address, true
	}
	return latest(l.members[id])
}

// gatewayIn returns the gateway of a data centre that was heard of most recently.
func (l Layout) gatewayIn(dataCentre string) (address string, ok bool) {
	var all []ranked
	for _, m := range l.members {
		for _, g := range m {
			if g.DataCentre == dataCentre {
				all = append(all, g)
			}
		}
	}
	return latest(all)
}

// latest returns the gateway that was heard of most recently.
func latest(l []ranked) (address string, ok bool) {
	if len(l) == 0 {
		return "", false
	}
	return slices.MinFunc(l, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.SilentFor, b.SilentFor), compareRank(a, b))
	}).Address, true
}

// Forward returns the gateway to which a state for another cell is passed on, by
// a gateway of the same data centre that received it from a relay. It reports
// false if none is known.
func (l Layout) Forward(receiver ID) (address string, ok bool) {
	if receiver == l.own || !slices.Contains(l.partners(l.self.DataCentre), receiver) {
		return "", false
	}
	return l.relayAt(receiver, 0)
}

// Home returns the cell whose gateways use a replica: one in the data centre of
// the replica, or in any other if no gateway is live there.
func (l Layout) Home(replica, dataCentre string) ID {
	if !slices.Contains(l.live, dataCentre) {
		dataCentre = slices.MaxFunc(l.live, func(a, b string) int {
			return cmp.Compare(xxhash.Sum64String(replica+" "+a), xxhash.Sum64String(replica+" "+b))
		})
	}
	return l.cellOf(dataCentre, xxhash.Sum64String(replica))
}

// IsHome reports whether the own cell uses a replica.
func (l Layout) IsHome(replica, dataCentre string) bool {
	return l.splitBits == nil || l.Home(replica, dataCentre) == l.own
}
