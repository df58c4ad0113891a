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

// TestOrdersRunAtMostOnce simulates two gateways, three owners and a caller
// that repeats its requests, with crashes, replacements and pauses of sidecars,
// network partitions, and delayed or duplicated messages. It fails if an order
// runs twice or a reported verdict is false.
func TestOrdersRunAtMostOnce(t *testing.T) {
	var s summary
	comfreyseed.Each(t, protocolSeeds, func(t *testing.T, r *rand.Rand) {
		sim := newSimulation(t, r)
		for range protocolSteps {
			sim.step()
		}
		sim.quiesce()
		for _, o := range sim.orders {
			sim.check(o)
			s.add(o)
		}
	})
	t.Logf("%+v", s)
	if s.Ran == 0 || s.ReportedNotRun == 0 || s.ReportedRan == 0 || s.Unresolved == 0 {
		t.Errorf("the simulations do not reach every outcome: %+v", s)
	}
}

// summary counts the orders by the verdict that their caller got.
type summary struct {
	Orders, Ran, ReportedNotRun, ReportedRan, Unresolved int
}

func (s *summary) add(o *order) {
	s.Orders++
	s.Ran += o.executions
	switch {
	case o.reportedNotRun:
		s.ReportedNotRun++
	case o.reportedRan:
		s.ReportedRan++
	default:
		s.Unresolved++
	}
}

// quiesce resumes every process, removes the network partitions, finishes all
// jobs and repeats the PUT of every order: each must now get a final result.
func (s *simulation) quiesce() {
	s.partitioned = [gatewayCount][hostCount]bool{}
	for len(s.network) > 0 {
		s.deliver()
	}
	for _, p := range append(s.replaced, s.hosts[:]...) {
		p.isPaused = false
		for len(p.jobs) > 0 {
			s.advanceJob(p)
		}
	}
	for i, o := range s.orders {
		s.putAgain(i, o)
	}
}

func (s *simulation) putAgain(i int, o *order) {
	k, err := comfreyorder.ParseTicket(o.ticketText, key)
	if err != nil {
		s.t.Fatal(err)
	}
	for _, p := range s.hosts {
		c := comfreyorder.PresentedTicket{Ticket: k, Customer: k.Customer, Service: k.Service}
		a := p.owner.Begin(s.now, c, o.body)
		switch a.Decision {
		case comfreyorder.DecisionWait:
			s.t.Fatalf("order %d has no outcome after all jobs are finished", i)
		case comfreyorder.DecisionRecorded:
			s.recordResponse(o, a.Outcome, o.body)
		case comfreyorder.DecisionRefuse:
			s.recordVerdict(o, a.Err.Verdict)
		case comfreyorder.DecisionRun:
			s.finishJob(p, job{order: i, ticket: k, body: o.body})
		}
	}
}

// finishJob completes an order that begins after the faults.
func (s *simulation) finishJob(p *process, j job) {
	p.jobs = append(p.jobs, j)
	for len(p.jobs) > 0 {
		s.advanceJob(p)
	}
	c := comfreyorder.PresentedTicket{Ticket: j.ticket, Customer: j.ticket.Customer, Service: j.ticket.Service}
	if a := p.owner.Begin(s.now, c, j.body); a.Decision == comfreyorder.DecisionRun || a.Decision == comfreyorder.DecisionWait {
		s.t.Fatalf("order %d: decision is %s after its completion", j.order, a.Decision)
	}
}

// TestPostIsResentOnlyAfterNotRun drives a PostTracker with refusals that may
// be delayed, duplicated or reordered. It fails if two attempts of the request
// may run.
func TestPostIsResentOnlyAfterNotRun(t *testing.T) {
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
					t.Fatalf("verdict is not-run while attempts %v may run", live)
				}
			}
			if len(live) > 1 {
				t.Fatalf("attempts %v may all run", live)
			}
		}
	})
}
