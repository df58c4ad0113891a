package comfreyorder_test

import (
	"math/rand/v2"
	"testing"

	"comfreyridge.example/comfreyridge/comfreyorder"
	"comfreyridge.example/comfreyridge/comfreyseed"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

const (
	protocolSeeds = 4000
	protocolSteps = 400
)

// TestOrdersRunAtMostOnce drives two gateways, three owners and a caller that
// repeats its requests through crashes, replacements, pauses, partitions and
// late or duplicated messages.
func TestOrdersRunAtMostOnce(t *testing.T) {
	var s summary
	comfreyseed.Each(t, protocolSeeds, func(t *testing.T, r *rand.Rand) {
		w := newWorld(t, r)
		for range protocolSteps {
			w.step()
		}
		w.settle()
		for _, o := range w.orders {
			w.check(o)
			s.add(o)
		}
	})
	t.Logf("%+v", s)
	if s.Ran == 0 || s.SaidNot == 0 || s.SaidRan == 0 || s.Open == 0 {
		t.Errorf("the runs do not reach every ending: %+v", s)
	}
}

// summary counts the orders by what became of them.
type summary struct {
	Orders, Ran, SaidNot, SaidRan, Open int
}

func (s *summary) add(o *order) {
	s.Orders++
	s.Ran += o.runs
	switch {
	case o.saidNot:
		s.SaidNot++
	case o.saidRan:
		s.SaidRan++
	default:
		s.Open++
	}
}

// settle wakes every process, heals every link, lets all work end, and asks
// once more for every order: each answer must be final.
func (w *world) settle() {
	w.cut = [gatewayCount][hostCount]bool{}
	for len(w.network) > 0 {
		w.deliver()
	}
	for _, p := range append(w.replaced, w.hosts[:]...) {
		p.isPaused = false
		for len(p.jobs) > 0 {
			w.work(p)
		}
	}
	for i, o := range w.orders {
		w.ask(i, o)
	}
}

func (w *world) ask(i int, o *order) {
	k, err := comfreyorder.ParseTicket(o.text, key)
	if err != nil {
		w.t.Fatal(err)
	}
	for _, p := range w.hosts {
		c := comfreyorder.PresentedTicket{Ticket: k, Customer: k.Customer, Service: k.Service}
		a := p.owner.Begin(w.now, c, o.body)
		switch a.Decision {
		case comfreyorder.DecisionWait:
			w.t.Fatalf("order %d has no outcome after all work has ended", i)
		case comfreyorder.DecisionRecorded:
			w.hearAnswer(o, a.Outcome, o.body)
		case comfreyorder.DecisionRefuse:
			w.hear(o, a.Err.Verdict)
		case comfreyorder.DecisionRun:
			w.finish(p, job{order: i, ticket: k, body: o.body})
		}
	}
}

// finish carries an order that begins after the faults to its end.
func (w *world) finish(p *process, j job) {
	p.jobs = append(p.jobs, j)
	for len(p.jobs) > 0 {
		w.work(p)
	}
	c := comfreyorder.PresentedTicket{Ticket: j.ticket, Customer: j.ticket.Customer, Service: j.ticket.Service}
	if a := p.owner.Begin(w.now, c, j.body); a.Decision == comfreyorder.DecisionRun || a.Decision == comfreyorder.DecisionWait {
		w.t.Fatalf("order %d: %s after its end", j.order, a.Decision)
	}
}

// TestPostIsSentAgainOnlyAfterProof drives the tracker of a plain POST with
// refusals that may be late, duplicated or crossed.
func TestPostIsSentAgainOnlyAfterProof(t *testing.T) {
	comfreyseed.Each(t, 2000, func(t *testing.T, r *rand.Rand) {
		var p comfreyorder.PostTracker
		live := map[int]bool{}
		last := 0
		for range 40 {
			switch r.IntN(4) {
			case 0:
				n, ok := p.NextAttempt()
				if ok {
					last = n
				}
			case 1:
				if p.BeginSend(last) {
					live[last] = true
				}
			case 2:
				n := r.IntN(last + 1)
				delete(live, n)
				p.Refused(n, comfreyverdict.NotRun(comfreyverdict.ReasonAdmissionFull, ""))
			case 3:
				e := p.Failed(comfreyverdict.ReasonConnectionLost)
				if e.Verdict == comfreyverdict.VerdictNotRun && len(live) > 0 {
					t.Fatalf("not-run is said while attempts %v may run", live)
				}
			}
			if len(live) > 1 {
				t.Fatalf("attempts %v may all run", live)
			}
		}
	})
}
