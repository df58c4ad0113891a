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

// order is one order with all that was ever said of it.
type order struct {
	text     string
	mintedAt time.Time
	body     comfreyorder.BodyHash
	runs     int
	ranBody  comfreyorder.BodyHash
	saidNot  bool
	saidRan  bool
	answer   string
}

// message is a request on its way from a gateway to a host.
type message struct {
	gateway   int
	host      int
	operation comfreyorder.Operation
	order     int
	body      comfreyorder.BodyHash
}

// stage is how far a sidecar has come with an order that it was told to run.
type stage int

const (
	stageConfirm stage = iota
	stageSend
	stageRunning
	stageComplete
)

// job is an order that a sidecar works on.
type job struct {
	order   int
	ticket  comfreyorder.Ticket
	body    comfreyorder.BodyHash
	stage   stage
	outcome comfreyorder.Outcome
}

// process is one incarnation of a sidecar. A replaced one that was paused
// keeps its jobs and may wake up.
type process struct {
	owner    *comfreyorder.Owner
	jobs     []job
	isPaused bool
	hasLeft  bool
}

// world is a fleet with the ground truth of what the applications ran.
type world struct {
	t        *testing.T
	r        *rand.Rand
	now      time.Time
	next     uint64
	nonce    uint64
	hosts    [hostCount]*process
	replaced []*process
	cut      [gatewayCount][hostCount]bool
	network  []message
	orders   []*order
}

func newWorld(t *testing.T, r *rand.Rand) *world {
	w := &world{t: t, r: r, now: time.Unix(1764796800, 0)}
	for i := range w.hosts {
		w.start(i)
	}
	return w
}

// start replaces the sidecar of a host. Now and then the new one is given the
// incarnation of the old one by mistake.
func (w *world) start(host int) {
	if w.r.IntN(4) > 0 {
		w.next++
	}
	w.hosts[host] = &process{owner: comfreyorder.NewOwner(comfreyorder.Config{
		Host:               fmt.Sprint("host-", host),
		Incarnation:        w.next,
		Lifetime:           lifetime,
		Retention:          lifetime,
		MaxTickets:         6,
		MaxCustomerTickets: 6,
		Nonce:              w.drawNonce,
	})}
}

func (w *world) drawNonce() comfreyorder.Nonce {
	w.nonce++
	return comfreyorder.Nonce{byte(w.nonce), byte(w.nonce >> 8), byte(w.r.Uint32())}
}

// step makes one thing happen.
func (w *world) step() {
	w.now = w.now.Add(time.Duration(w.r.ExpFloat64() * float64(time.Second)))
	switch n := w.r.IntN(100); {
	case n < 12:
		w.call()
	case n < 45:
		w.deliver()
	case n < 85:
		w.work(w.anyProcess())
	case n < 88:
		p := w.anyProcess()
		p.isPaused = !p.isPaused
	case n < 92:
		w.cut[w.r.IntN(gatewayCount)][w.r.IntN(hostCount)] = w.r.IntN(2) == 0
	case n < 94:
		w.fail(w.r.IntN(hostCount))
	case n < 95:
		w.leave(w.hosts[w.r.IntN(hostCount)])
	case n < 97:
		w.now = w.now.Add(time.Duration(w.r.Int64N(int64(2 * lifetime))))
	}
}

func (w *world) anyProcess() *process {
	if len(w.replaced) > 0 && w.r.IntN(4) == 0 {
		return w.replaced[w.r.IntN(len(w.replaced))]
	}
	return w.hosts[w.r.IntN(hostCount)]
}

// fail replaces the sidecar of a host. The old one is dead, or it is only
// paused and everyone else takes it for dead.
func (w *world) fail(host int) {
	if w.r.IntN(2) == 0 {
		w.hosts[host].isPaused = true
		w.replaced = append(w.replaced, w.hosts[host])
	}
	w.start(host)
}

func (w *world) leave(p *process) {
	if !p.isPaused {
		p.owner.Leave(w.now)
		p.hasLeft = true
	}
}

// call is one act of the caller through any gateway.
func (w *world) call() {
	g := w.r.IntN(gatewayCount)
	if len(w.orders) < orderCount && w.r.IntN(3) == 0 {
		w.network = append(w.network, message{gateway: g, host: w.r.IntN(hostCount), operation: comfreyorder.OperationMint})
		return
	}
	if len(w.orders) == 0 {
		return
	}
	w.send(g, w.r.IntN(len(w.orders)))
}

func (w *world) send(gateway, i int) {
	o := w.orders[i]
	k, err := comfreyorder.ParseTicket(o.text, key)
	if err != nil {
		w.t.Fatal(err)
	}
	m := message{gateway: gateway, order: i, body: o.body}
	fmt.Sscanf(k.OwnerHost, "host-%d", &m.host)
	switch w.r.IntN(10) {
	case 0:
		m.operation = comfreyorder.OperationVoid
	case 1:
		m.operation = comfreyorder.OperationState
	case 2:
		m.body = comfreyorder.HashBody("", []byte("another body"))
	}
	w.network = append(w.network, m)
	if w.r.IntN(4) == 0 {
		e := comfreyorder.NoResponseError(m.operation, comfreyverdict.ReasonConnectionLost)
		w.hear(o, e.Verdict)
	}
}

// deliver takes any message from the network, in any order. It may come twice
// or not at all.
func (w *world) deliver() {
	if len(w.network) == 0 {
		return
	}
	i := w.r.IntN(len(w.network))
	m := w.network[i]
	if w.r.IntN(5) > 0 {
		w.network = append(w.network[:i], w.network[i+1:]...)
	}
	p := w.hosts[m.host]
	if w.cut[m.gateway][m.host] || p.isPaused || w.r.IntN(10) == 0 {
		if m.operation != comfreyorder.OperationMint {
			w.hear(w.orders[m.order], comfreyorder.NoResponseError(m.operation, comfreyverdict.ReasonDialFailed).Verdict)
		}
		return
	}
	w.receive(p, m)
}

func (w *world) receive(p *process, m message) {
	if m.operation == comfreyorder.OperationMint {
		w.mint(p)
		return
	}
	o := w.orders[m.order]
	k, err := comfreyorder.ParseTicket(o.text, key)
	if err != nil {
		w.t.Fatal(err)
	}
	c := comfreyorder.PresentedTicket{Ticket: k, Customer: k.Customer, Service: k.Service}
	switch m.operation {
	case comfreyorder.OperationVoid:
		s, err := p.owner.Void(w.now, c)
		w.hearReport(o, s, err)
	case comfreyorder.OperationState:
		s, err := p.owner.State(w.now, c)
		w.hearReport(o, s, err)
	default:
		w.put(p, m, c)
	}
}
