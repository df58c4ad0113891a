package comfreyorder_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyorder"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

const (
	gatewayCount = 2
	hostCount    = 3
	orderCount   = 4
	lifetime     = 60 * time.Second
)

// order is an order with its executions and the verdicts reported for it.
type order struct {
	ticketText     string
	mintedAt       time.Time
	body           comfreyorder.BodyHash
	executions     int
	executedBody   comfreyorder.BodyHash
	reportedNotRun bool
	reportedRan    bool
	response       string
}

// message is a request in transit from a gateway to a host.
type message struct {
	gateway   int
	host      int
	operation comfreyorder.Operation
	order     int
	body      comfreyorder.BodyHash
}

// stage is the next step of a job.
type stage int

const (
	stageConfirm stage = iota
	stageSend
	stageExecute
	stageComplete
)

// job is an order that a sidecar executes, from DecisionRun to Complete.
type job struct {
	order   int
	ticket  comfreyorder.Ticket
	body    comfreyorder.BodyHash
	stage   stage
	outcome comfreyorder.Outcome
}

// process is one incarnation of a sidecar. A paused one that was replaced keeps
// its jobs and may resume.
type process struct {
	owner    *comfreyorder.Owner
	jobs     []job
	isPaused bool
	hasLeft  bool
}

// simulation is a fleet of gateways and sidecars with a record of what the
// applications really executed.
type simulation struct {
	t               *testing.T
	r               *rand.Rand
	now             time.Time
	nextIncarnation uint64
	nonce           uint64
	hosts           [hostCount]*process
	replaced        []*process
	partitioned     [gatewayCount][hostCount]bool
	network         []message
	orders          []*order
}

func newSimulation(t *testing.T, r *rand.Rand) *simulation {
	s := &simulation{t: t, r: r, now: time.Unix(1764796800, 0)}
	for i := range s.hosts {
		s.startSidecar(i)
	}
	return s
}

// startSidecar replaces the sidecar of a host. One time in four the incarnation
// is not increased, as if by mistake.
func (s *simulation) startSidecar(host int) {
	if s.r.IntN(4) > 0 {
		s.nextIncarnation++
	}
	s.hosts[host] = &process{owner: comfreyorder.NewOwner(comfreyorder.Config{
		Host:               fmt.Sprint("host-", host),
		Incarnation:        s.nextIncarnation,
		Lifetime:           lifetime,
		Retention:          lifetime,
		MaxTickets:         6,
		MaxCustomerTickets: 6,
		Nonce:              s.drawNonce,
	})}
}

func (s *simulation) drawNonce() comfreyorder.Nonce {
	s.nonce++
	return comfreyorder.Nonce{byte(s.nonce), byte(s.nonce >> 8), byte(s.r.Uint32())}
}

// step advances the clock and performs one random event.
func (s *simulation) step() {
	s.now = s.now.Add(time.Duration(s.r.ExpFloat64() * float64(time.Second)))
	switch n := s.r.IntN(100); {
	case n < 12:
		s.callerStep()
	case n < 45:
		s.deliver()
	case n < 85:
		s.advanceJob(s.anyProcess())
	case n < 88:
		p := s.anyProcess()
		p.isPaused = !p.isPaused
	case n < 92:
		s.partitioned[s.r.IntN(gatewayCount)][s.r.IntN(hostCount)] = s.r.IntN(2) == 0
	case n < 94:
		s.replaceSidecar(s.r.IntN(hostCount))
	case n < 95:
		s.leave(s.hosts[s.r.IntN(hostCount)])
	case n < 97:
		s.now = s.now.Add(time.Duration(s.r.Int64N(int64(2 * lifetime))))
	}
}

func (s *simulation) anyProcess() *process {
	if len(s.replaced) > 0 && s.r.IntN(4) == 0 {
		return s.replaced[s.r.IntN(len(s.replaced))]
	}
	return s.hosts[s.r.IntN(hostCount)]
}

// replaceSidecar replaces the sidecar of a host. The old one has crashed, or it
// is only paused but treated as crashed.
func (s *simulation) replaceSidecar(host int) {
	if s.r.IntN(2) == 0 {
		s.hosts[host].isPaused = true
		s.replaced = append(s.replaced, s.hosts[host])
	}
	s.startSidecar(host)
}

func (s *simulation) leave(p *process) {
	if !p.isPaused {
		p.owner.Leave(s.now)
		p.hasLeft = true
	}
}

// callerStep mints a ticket or sends a request for an order, through a random
// gateway.
func (s *simulation) callerStep() {
	g := s.r.IntN(gatewayCount)
	if len(s.orders) < orderCount && s.r.IntN(3) == 0 {
		s.network = append(s.network, message{gateway: g, host: s.r.IntN(hostCount), operation: comfreyorder.OperationMint})
		return
	}
	if len(s.orders) == 0 {
		return
	}
	s.send(g, s.r.IntN(len(s.orders)))
}

func (s *simulation) send(gateway, i int) {
	o := s.orders[i]
	k, err := comfreyorder.ParseTicket(o.ticketText, key)
	if err != nil {
		s.t.Fatal(err)
	}
	m := message{gateway: gateway, order: i, body: o.body}
	fmt.Sscanf(k.OwnerHost, "host-%d", &m.host)
	switch s.r.IntN(10) {
	case 0:
		m.operation = comfreyorder.OperationVoid
	case 1:
		m.operation = comfreyorder.OperationState
	case 2:
		m.body = comfreyorder.HashBody("", []byte("another body"))
	}
	s.network = append(s.network, m)
	if s.r.IntN(4) == 0 {
		e := comfreyorder.NoResponseError(m.operation, comfreyverdict.ReasonConnectionLost)
		s.recordVerdict(o, e.Verdict)
	}
}

// deliver delivers a random message from the network. A message may arrive out
// of order, twice or not at all.
func (s *simulation) deliver() {
	if len(s.network) == 0 {
		return
	}
	i := s.r.IntN(len(s.network))
	m := s.network[i]
	if s.r.IntN(5) > 0 {
		s.network = append(s.network[:i], s.network[i+1:]...)
	}
	p := s.hosts[m.host]
	if s.partitioned[m.gateway][m.host] || p.isPaused || s.r.IntN(10) == 0 {
		if m.operation != comfreyorder.OperationMint {
			s.recordVerdict(s.orders[m.order], comfreyorder.NoResponseError(m.operation, comfreyverdict.ReasonDialFailed).Verdict)
		}
		return
	}
	s.receive(p, m)
}

func (s *simulation) receive(p *process, m message) {
	if m.operation == comfreyorder.OperationMint {
		s.mint(p)
		return
	}
	o := s.orders[m.order]
	k, err := comfreyorder.ParseTicket(o.ticketText, key)
	if err != nil {
		s.t.Fatal(err)
	}
	c := comfreyorder.PresentedTicket{Ticket: k, Customer: k.Customer, Service: k.Service}
	switch m.operation {
	case comfreyorder.OperationVoid:
		v, err := p.owner.Void(s.now, c)
		s.recordReport(o, v, err)
	case comfreyorder.OperationState:
		v, err := p.owner.State(s.now, c)
		s.recordReport(o, v, err)
	default:
		s.put(p, m, c)
	}
}
