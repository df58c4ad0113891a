package comfreyorder_test

import (
	"fmt"

	"comfreyridge.example/comfreyridge/comfreyorder"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

func (s *simulation) mint(p *process) {
	k, err := p.owner.Mint(s.now, "gravure-pierre", "slab-orders")
	if err != nil {
		if v := comfreyverdict.From(err).Verdict; v != comfreyverdict.VerdictNotRun {
			s.t.Fatalf("verdict of a refused mint is %s, want not-run", v)
		}
		return
	}
	s.orders = append(s.orders, &order{
		ticketText: k.Format(key),
		mintedAt:   s.now,
		body:       comfreyorder.HashBody("", fmt.Append(nil, "order ", len(s.orders))),
	})
}

func (s *simulation) put(p *process, m message, c comfreyorder.PresentedTicket) {
	o := s.orders[m.order]
	a := p.owner.Begin(s.now, c, m.body)
	switch a.Decision {
	case comfreyorder.DecisionRun:
		p.jobs = append(p.jobs, job{order: m.order, ticket: c.Ticket, body: m.body})
	case comfreyorder.DecisionRecorded:
		s.recordResponse(o, a.Outcome, m.body)
	case comfreyorder.DecisionRefuse:
		s.recordVerdict(o, a.Err.Verdict)
	}
}

// advanceJob performs the next stage of a random job of a sidecar.
func (s *simulation) advanceJob(p *process) {
	if p.isPaused || len(p.jobs) == 0 {
		return
	}
	i := s.r.IntN(len(p.jobs))
	j := &p.jobs[i]
	switch j.stage {
	case stageConfirm:
		if !s.confirm(p, j) {
			p.jobs = append(p.jobs[:i], p.jobs[i+1:]...)
			return
		}
	case stageSend:
		s.forward(j)
	case stageExecute:
		s.execute(j)
	case stageComplete:
		p.owner.Complete(s.now, j.ticket, j.outcome)
		p.jobs = append(p.jobs[:i], p.jobs[i+1:]...)
		return
	}
	j.stage++
}

func (s *simulation) confirm(p *process, j *job) bool {
	if s.r.IntN(10) == 0 {
		p.owner.Abandon(s.now, j.ticket, comfreyverdict.ReasonAdmissionFull)
	}
	err := p.owner.Confirm(s.now, j.ticket)
	if err != nil {
		s.recordVerdict(s.orders[j.order], comfreyverdict.From(err).Verdict)
		return false
	}
	if p.hasLeft {
		s.t.Fatalf("order %d is forwarded by an owner that is leaving", j.order)
	}
	if d := s.now.Sub(s.orders[j.order].mintedAt); d > lifetime {
		s.t.Fatalf("order %d is forwarded %s after minting", j.order, d)
	}
	return true
}

// forward sends an order to the application, unless the dial is refused.
func (s *simulation) forward(j *job) {
	if s.r.IntN(10) == 0 {
		j.stage = stageExecute
		j.outcome = comfreyorder.Outcome{Verdict: comfreyverdict.VerdictNotRun, Reason: comfreyverdict.ReasonDialFailed}
	}
}

// execute makes the application execute the order. Its response may be lost.
func (s *simulation) execute(j *job) {
	o := s.orders[j.order]
	if s.r.IntN(10) > 0 {
		o.executions++
		o.executedBody = j.body
		o.response = fmt.Sprint("run ", o.executions, " of order ", j.order)
		j.outcome = comfreyorder.Outcome{Verdict: comfreyverdict.VerdictRan, Status: 201, Body: []byte(o.response)}
	}
	if s.r.IntN(5) == 0 {
		j.outcome = comfreyorder.Outcome{Reason: comfreyverdict.ReasonConnectionLost}
	}
}

// recordVerdict records a verdict that the caller may get, however late.
func (s *simulation) recordVerdict(o *order, v comfreyverdict.Verdict) {
	switch v {
	case comfreyverdict.VerdictNotRun:
		o.reportedNotRun = true
	case comfreyverdict.VerdictRan:
		o.reportedRan = true
	}
	s.check(o)
}

func (s *simulation) recordReport(o *order, p comfreyorder.StateReport, err error) {
	if err != nil {
		s.recordVerdict(o, comfreyverdict.From(err).Verdict)
		return
	}
	s.recordVerdict(o, p.Verdict)
}

func (s *simulation) recordResponse(o *order, u comfreyorder.Outcome, b comfreyorder.BodyHash) {
	s.recordVerdict(o, u.Verdict)
	if string(u.Body) != o.response || b != o.executedBody {
		s.t.Fatalf("recorded response %q of a PUT differs from the application's response %q", u.Body, o.response)
	}
}

// check compares the verdicts that were reported for an order with what the
// application executed.
func (s *simulation) check(o *order) {
	if o.executions > 1 {
		s.t.Fatalf("an order ran %d times", o.executions)
	}
	if o.reportedNotRun && o.executions > 0 {
		s.t.Fatalf("not-run was reported for an order that ran")
	}
	if o.reportedRan && o.executions == 0 {
		s.t.Fatalf("ran was reported for an order that did not run")
	}
}
