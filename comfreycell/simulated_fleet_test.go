package comfreycell_test

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"comfreyridge.example/comfreyridge/comfreycell"
	"comfreyridge.example/comfreyridge/comfreystorecache"
)

// The intervals, sizes and bounds of the simulated gossip.
const (
	simulationStep = 250 * time.Millisecond
	// stepsPerExchange is the number of steps between two exchanges of a gateway
	// in a fleet of several cells.
	stepsPerExchange = 4
	// remoteExchangeShare is the number of exchanges for each that is with a
	// gateway of another cell.
	remoteExchangeShare = 5
	datagramLoss        = 0.025
	placementBytes      = 330
	cellStateBytes      = 900
	exchangeBytes       = 1500
	remoteAddresses     = 3
	confirmationBytes   = 80
	peerExpiry          = 15 * time.Second
	// introductionTime is how long placements are sent to a gateway that has not
	// shown to be running.
	introductionTime       = 2 * time.Second
	remoteIntroductionTime = 300 * time.Millisecond
)

// simulatedGateway is a gateway of a simulated fleet.
type simulatedGateway struct {
	comfreycell.Gateway
	// isBlind means that the store refuses the gateway.
	isBlind bool
	// alive holds when each other gateway was last known to be running, seen
	// when it last sent its placements, and states when a state of each other
	// cell arrived. heardOf holds when it first heard of gateways that have not
	// shown to be running.
	alive, seen map[int]time.Duration
	heardOf     map[int]time.Duration
	states      map[comfreycell.ID]time.Duration
	// sizes holds the sizes of other data centres, and sizesAt when gateways there
	// reported them.
	sizes   map[string]int
	sizesAt map[string]time.Duration
	// storeAt is when the store cache was known to be current.
	storeAt   time.Duration
	nextCall  time.Duration
	nextState int
	failed    int
	layout    comfreycell.Layout
}

// simulatedFleet is a fleet whose gateways gossip in steps. Datagrams arrive in
// the step in which they are sent, or are lost.
type simulatedFleet struct {
	now      time.Duration
	step     int
	random   *rand.Rand
	gateways []*simulatedGateway
	index    map[string]int
	// isCut reports whether messages from one data centre to another are lost.
	isCut func(from, to string) bool
	// bytes are sent ones, bytesBetween those between data centres.
	bytes, bytesBetween, storeCalls int
}

func newSimulatedFleet(n int, seed uint64) *simulatedFleet {
	f := &simulatedFleet{random: rand.New(rand.NewPCG(seed, 0)), index: map[string]int{}, now: time.Hour}
	f.isCut = func(string, string) bool { return false }
	for i, g := range fleet(n, 5) {
		f.gateways = append(f.gateways, &simulatedGateway{Gateway: g, isBlind: i%3 == 0})
		f.index[g.Address] = i
		f.restart(i)
	}
	return f
}

// restart makes a gateway forget everything but three seeds.
func (f *simulatedFleet) restart(i int) {
	g := f.gateways[i]
	g.alive, g.seen, g.states = map[int]time.Duration{}, map[int]time.Duration{}, map[comfreycell.ID]time.Duration{}
	g.heardOf = map[int]time.Duration{}
	g.sizes, g.sizesAt = map[string]int{}, map[string]time.Duration{}
	g.storeAt, g.nextCall, g.failed = 0, 0, 0
	for s := range min(3, len(f.gateways)) {
		if s != i {
			g.heardOf[s] = f.now
		}
	}
}

// send counts a message and reports whether it arrives.
func (f *simulatedFleet) send(from, to, size int) bool {
	f.bytes += size
	if f.gateways[from].DataCentre != f.gateways[to].DataCentre {
		f.bytesBetween += size
	}
	return f.random.Float64() >= datagramLoss && !f.isCut(f.gateways[from].DataCentre, f.gateways[to].DataCentre)
}

// run simulates a duration.
func (f *simulatedFleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += simulationStep {
		f.step++
		for i := range f.gateways {
			f.layOut(i)
		}
		for i, g := range f.gateways {
			f.sendPlacements(i)
			if f.step >= g.nextState {
				f.sendCellStates(i)
			}
			if g.layout.FleetSize() <= comfreycell.MaxMembers || (f.step+i)%stepsPerExchange == 0 {
				f.exchange(i)
			}
			f.callStore(i)
		}
	}
}

func (f *simulatedFleet) layOut(i int) {
	g := f.gateways[i]
	var others []comfreycell.Gateway
	for k, t := range g.alive {
		if f.now-t > peerExpiry {
			delete(g.alive, k)
			continue
		}
		o := f.gateways[k].Gateway
		o.SilentFor = f.now - t
		if f.step > 1 {
			o.SilentFor = max(0, o.SilentFor-simulationStep)
		}
		others = append(others, o)
	}
	g.layout = comfreycell.New(g.Gateway, others, g.sizes)
}

func (f *simulatedFleet) sendPlacements(i int) {
	g := f.gateways[i]
	for _, k := range slices.Sorted(maps.Keys(g.heardOf)) {
		at := g.heardOf[k]
		if _, ok := g.alive[k]; ok || f.now-at > introductionTime {
			delete(g.heardOf, k)
			continue
		}
		if g.layout.FleetSize() > comfreycell.MaxMembers && f.gateways[k].DataCentre != g.DataCentre && f.now-at > remoteIntroductionTime {
			continue
		}
		if f.send(i, k, placementBytes) {
			f.gateways[k].alive[i] = f.now
		}
	}
	for _, a := range g.layout.Members() {
		k := f.index[a]
		if !f.send(i, k, placementBytes) {
			continue
		}
		o := f.gateways[k]
		o.alive[i], o.seen[i] = f.now, f.now
	}
}

func (f *simulatedFleet) sendCellStates(i int) {
	g := f.gateways[i]
	g.nextState = f.step + int(g.layout.StateInterval()/simulationStep)
	for _, t := range g.layout.RelayTargets() {
		k := f.index[t.Address]
		if !f.send(i, k, cellStateBytes) {
			continue
		}
		f.receiveState(k, g)
		if a, ok := f.gateways[k].layout.Forward(t.Cell); ok {
			next := f.index[a]
			if !f.send(k, next, cellStateBytes) {
				continue
			}
			k = next
			f.receiveState(k, g)
		}
		if f.gateways[k].layout.Own() != t.Cell {
			continue // The gateways do not agree on the cells yet.
		}
		for _, a := range f.gateways[k].layout.LiveMembers() {
			if m := f.index[a]; f.send(k, m, cellStateBytes) {
				f.receiveState(m, g)
			}
		}
	}
}

// receiveState applies the state that a relay has sent to gateway i.
func (f *simulatedFleet) receiveState(i int, relay *simulatedGateway) {
	g := f.gateways[i]
	g.states[relay.layout.Own()] = f.now
	g.sizes[relay.DataCentre], g.sizesAt[relay.DataCentre] = relay.layout.Sizes()[relay.DataCentre], f.now
	listed := relay.layout.LeadingMembers()
	if relay.DataCentre == g.DataCentre {
		listed = append(relay.layout.LiveMembers(), relay.Address)
	}
	for _, a := range listed {
		if k := f.index[a]; k != i {
			g.alive[k] = f.now
		}
	}
}

// exchange merges the lists of gateways of i and of a random one that it knows,
// usually of its own cell.
func (f *simulatedFleet) exchange(i int) {
	g := f.gateways[i]
	k, ok := f.exchangeTarget(g)
	if !ok {
		return
	}
	// An exchange travels over TCP: what is lost is sent again, unless a
	// direction is cut.
	f.send(i, k, exchangeBytes)
	f.send(k, i, exchangeBytes)
	if from, to := g.DataCentre, f.gateways[k].DataCentre; f.isCut(from, to) || f.isCut(to, from) {
		return
	}
	f.merge(i, k)
	f.merge(k, i)
	g.alive[k], f.gateways[k].alive[i] = f.now, f.now
	delete(g.heardOf, k)
}

// exchangeTarget returns the gateway with which g exchanges next, or false if it
// knows none.
func (f *simulatedFleet) exchangeTarget(g *simulatedGateway) (index int, ok bool) {
	isMember := map[int]bool{}
	near := slices.Sorted(maps.Keys(g.heardOf))
	for _, a := range g.layout.Members() {
		k := f.index[a]
		isMember[k] = true
		if _, ok := g.heardOf[k]; !ok {
			near = append(near, k)
		}
	}
	if len(near) == 0 || f.random.IntN(remoteExchangeShare) == 0 {
		var remote []int
		for _, k := range slices.Sorted(maps.Keys(g.alive)) {
			if _, ok := g.heardOf[k]; !ok && !isMember[k] {
				remote = append(remote, k)
			}
		}
		if len(remote) > 0 {
			near = remote
		}
	}
	if len(near) == 0 {
		return 0, false
	}
	return near[f.random.IntN(len(near))], true
}

// merge adds the gateways that from knows to those that to has heard of: all of
// the data centre of to and some others.
func (f *simulatedFleet) merge(to, from int) {
	remote := 0
	g, o := f.gateways[to], f.gateways[from]
	o.sizes[o.DataCentre], o.sizesAt[o.DataCentre] = o.layout.Sizes()[o.DataCentre], f.now
	for c, at := range o.sizesAt {
		if at > g.sizesAt[c] {
			g.sizes[c], g.sizesAt[c] = o.sizes[c], at
		}
	}
	known := slices.Sorted(maps.Keys(o.alive))
	f.random.Shuffle(len(known), func(i, j int) { known[i], known[j] = known[j], known[i] })
	for _, k := range known {
		if _, known := g.alive[k]; known || k == to {
			continue
		}
		if f.gateways[k].DataCentre != g.DataCentre {
			if remote++; remote > remoteAddresses {
				continue
			}
		}
		if _, ok := g.heardOf[k]; !ok {
			g.heardOf[k] = f.now
		}
	}
}

// callStore calls the store if the gateway has to watch it. Each call confirms
// the cache and is sent to the others, unless the store refuses the gateway.
func (f *simulatedFleet) callStore(i int) {
	g := f.gateways[i]
	p := comfreystorecache.Position{InFleet: g.layout.FleetRank(), InCell: g.layout.Rank()}
	if f.now < g.nextCall || !comfreystorecache.ShouldWatch(p, f.now-g.storeAt, g.storeAt > 0) {
		return
	}
	f.storeCalls++
	if g.isBlind {
		g.failed++
		g.nextCall = f.now + comfreystorecache.RetryDelay(p, g.failed)
		return
	}
	g.failed, g.nextCall = 0, f.now+700*time.Millisecond
	g.storeAt = f.now
	f.confirm(i, g.layout.Members())
	f.confirmAt(i, g, g.layout.RelayTargets())
}

// confirm sends a confirmation of the store from a gateway to others, each of
// which passes it on if it is new.
func (f *simulatedFleet) confirm(from int, to []string) {
	for _, a := range to {
		k := f.index[a]
		o := f.gateways[k]
		if !f.send(from, k, confirmationBytes) || o.storeAt == f.now {
			continue
		}
		o.storeAt = f.now
		origin := f.gateways[from]
		if o.layout.Own() == origin.layout.Own() {
			f.confirmAt(k, origin, o.layout.RelayTargets())
		}
	}
}

// confirmAt sends a confirmation from a relay to those of other cells, which pass
// it on to their members and, from another data centre, to the other cells of
// their own.
func (f *simulatedFleet) confirmAt(from int, origin *simulatedGateway, targets []comfreycell.RelayTarget) {
	for _, t := range targets {
		k := f.index[t.Address]
		o := f.gateways[k]
		if !f.send(from, k, confirmationBytes) || o.storeAt == f.now {
			continue
		}
		o.storeAt = f.now
		f.confirmMembers(k)
		if o.DataCentre == origin.DataCentre {
			continue
		}
		for _, t := range o.layout.RelayTargets() {
			if m := f.index[t.Address]; t.IsSameDataCentre && f.send(k, m, confirmationBytes) && f.gateways[m].storeAt != f.now {
				f.gateways[m].storeAt = f.now
				f.confirmMembers(m)
			}
		}
	}
}

// confirmMembers sends a confirmation from another cell to the members.
func (f *simulatedFleet) confirmMembers(from int) {
	for _, a := range f.gateways[from].layout.LiveMembers() {
		if k := f.index[a]; f.send(from, k, confirmationBytes) {
			f.gateways[k].storeAt = f.now
		}
	}
}
