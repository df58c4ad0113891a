package comfreyreplay

import (
	"math/rand/v2"
	"time"

	"comfreyridge.example/comfreyridge/comfreyadmission"
)

const (
	// nearLatency and farLatency are the one-way times within a data centre
	// and between two.
	nearLatency = 300 * time.Microsecond
	farLatency  = 1500 * time.Microsecond
	// tickInterval is how often a controller's clock ticks.
	tickInterval = 100 * time.Millisecond
	// drainLimit bounds how long a replay goes on after its trace ended.
	drainLimit = 5 * time.Minute
	// gatewayAttempts is how many replicas a gateway tries before it passes a
	// refusal on.
	gatewayAttempts = 2
	// maxReturns bounds how often a caller comes back.
	maxReturns = 20
)

// Setup holds what a replay compares: an admission policy, a routing choice
// and the engines. Setups are values.
type Setup struct {
	// Name is the name in reports.
	Name string
	// Admission configures each replica's controller. CapacityTokens is taken
	// from Engine.
	Admission comfreyadmission.Config
	// Choose picks replicas; the default is ChooseTwo.
	Choose Choose
	// Engine is the model of each engine.
	Engine EngineShape
	// Replicas is the number of engines, at least 1.
	Replicas int
	// DataCentres are where gateways and replicas are.
	DataCentres []string
	// ReportInterval is the time between two load reports of a replica to a
	// gateway; zero means that gateways see the load as it is.
	ReportInterval time.Duration
	// Seed selects the random numbers of routing.
	Seed uint64
}

// replica is an engine with its sidecar's controller.
type replica struct {
	controller *comfreyadmission.Controller
	engine     *engine
	calls      map[string]*call // queued or running here
	down       bool
	silent     bool // its load reports are lost
	preempt    []string
}

// gateway is what an entry host knows.
type gateway struct {
	hints    []Hint
	reported []time.Duration
}

// fleet is a running replay.
type fleet struct {
	setup    Setup
	now      time.Duration
	events   schedule
	replicas []*replica
	gateways []*gateway
	source   *rand.Rand
	collect  *collector
	open     int // callers that have not ended
	arriving int // records that have not happened
}

// origin is the wall-clock time of the start of a trace.
var origin = time.Unix(0, 0)

// Replay runs a trace through a setup on a virtual clock.
func Replay(s Setup, trace []Record) Result {
	f := newFleet(s, trace)
	for f.events.Len() > 0 {
		e := f.events.next()
		f.now = e.at
		if f.now > f.collect.window+drainLimit {
			break
		}
		f.handle(e)
	}
	return f.collect.finish()
}

// newFleet returns a fleet with the trace in its schedule.
func newFleet(s Setup, trace []Record) *fleet {
	s.Engine = s.Engine.withDefaults()
	s.Admission.CapacityTokens = s.Engine.CapacityTokens
	if s.Choose == nil {
		s.Choose = ChooseTwo
	}
	f := &fleet{setup: s, source: rand.New(rand.NewPCG(s.Seed, 11)), arriving: len(trace)}
	length := time.Duration(0)
	for i := range trace {
		r := &trace[i]
		length = max(length, r.At)
		if r.Event != EventNone {
			f.events.add(event{at: r.At, kind: eventFault, record: r, replica: r.Replica})
			continue
		}
		c := &call{record: r, gateway: f.gatewayOf(r.DataCentre), booked: -1}
		f.events.add(event{at: r.At, kind: eventArrive, call: c})
	}
	f.collect = newCollector(s.Name, length)
	f.build()
	return f
}

// gatewayOf returns the gateway of a data centre, or the first one.
func (f *fleet) gatewayOf(name string) int {
	for i, d := range f.setup.DataCentres {
		if d == name {
			return i
		}
	}
	return 0
}

// build adds the replicas and gateways and their timers.
func (f *fleet) build() {
	s := f.setup
	for range s.Replicas {
		f.replicas = append(f.replicas, &replica{
			controller: comfreyadmission.New(s.Admission),
			engine:     newEngine(s.Engine),
			calls:      map[string]*call{},
		})
	}
	for g := range max(len(s.DataCentres), 1) {
		w := &gateway{hints: make([]Hint, s.Replicas), reported: make([]time.Duration, s.Replicas)}
		for n := range w.hints {
			w.hints[n].Near = f.home(n) == g
			if s.ReportInterval > 0 {
				phase := time.Duration(f.source.Int64N(int64(s.ReportInterval)))
				f.events.add(event{at: phase, kind: eventReport, replica: n, epoch: g})
			}
		}
		f.gateways = append(f.gateways, w)
	}
	for n := range f.replicas {
		f.events.add(event{at: tickInterval, kind: eventTick, replica: n})
	}
}

// home returns the data centre of a replica.
func (f *fleet) home(n int) int {
	return n % max(len(f.setup.DataCentres), 1)
}

// latency returns the one-way time between a gateway and a replica.
func (f *fleet) latency(g, n int) time.Duration {
	if f.home(n) == g {
		return nearLatency
	}
	return farLatency
}

// active reports whether anything is left to happen to a caller.
func (f *fleet) active() bool {
	return f.open > 0 || f.arriving > 0
}

// clock returns the virtual time as the controllers see it.
func (f *fleet) clock() time.Time {
	return origin.Add(f.now)
}

// handle lets one event happen.
func (f *fleet) handle(e event) {
	switch e.kind {
	case eventArrive:
		f.arriving--
		f.open++
		f.collect.arrived(e.call)
		f.route(e.call)
	case eventDeliver:
		f.deliver(e.call, e.replica)
	case eventRefused:
		f.refused(e.call, e.replica)
	case eventReturn:
		f.comeBack(e.call)
	case eventStep:
		f.stepped(e.replica, e.epoch)
	case eventReport:
		f.report(e.epoch, e.replica)
	case eventTick:
		f.tick(e.replica)
	case eventFault:
		f.arriving--
		f.fault(e.record)
	case eventRestore:
		f.replicas[e.replica].down = false
		f.replicas[e.replica].silent = false
	}
}

// tick lets a controller's clock tick.
func (f *fleet) tick(n int) {
	r := f.replicas[n]
	if !r.down {
		f.apply(n, r.controller.Tick(f.clock()))
		f.kick(n)
	}
	if f.active() {
		f.events.add(event{at: f.now + tickInterval, kind: eventTick, replica: n})
	}
}
