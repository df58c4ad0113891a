package comfreyorder_test

import (
	"fmt"

	"comfreyridge.example/comfreyridge/comfreyorder"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

func (w *world) mint(p *process) {
	k, err := p.owner.Mint(w.now, "gravure-pierre", "slab-orders")
	if err != nil {
		if v := comfreyverdict.From(err).Verdict; v != comfreyverdict.VerdictNotRun {
			w.t.Fatalf("refused mint is %s", v)
		}
		return
	}
	w.orders = append(w.orders, &order{
		text:     k.Format(key),
		mintedAt: w.now,
		body:     comfreyorder.HashBody("", fmt.Append(nil, "order ", len(w.orders))),
	})
}

func (w *world) put(p *process, m message, c comfreyorder.PresentedTicket) {
	o := w.orders[m.order]
	a := p.owner.Begin(w.now, c, m.body)
	switch a.Decision {
	case comfreyorder.DecisionRun:
		p.jobs = append(p.jobs, job{order: m.order, ticket: c.Ticket, body: m.body})
	case comfreyorder.DecisionRecorded:
		w.hearAnswer(o, a.Outcome, m.body)
	case comfreyorder.DecisionRefuse:
		w.hear(o, a.Err.Verdict)
	}
}

// work carries one job of a sidecar one stage further.
func (w *world) work(p *process) {
	if p.isPaused || len(p.jobs) == 0 {
		return
	}
	i := w.r.IntN(len(p.jobs))
	j := &p.jobs[i]
	switch j.stage {
	case stageConfirm:
		if !w.confirm(p, j) {
			p.jobs = append(p.jobs[:i], p.jobs[i+1:]...)
			return
		}
	case stageSend:
		w.handOver(j)
	case stageRunning:
		w.run(j)
	case stageComplete:
		p.owner.Complete(w.now, j.ticket, j.outcome)
		p.jobs = append(p.jobs[:i], p.jobs[i+1:]...)
		return
	}
	j.stage++
}

func (w *world) confirm(p *process, j *job) bool {
	if w.r.IntN(10) == 0 {
		p.owner.Abandon(w.now, j.ticket, comfreyverdict.ReasonAdmissionFull)
	}
	err := p.owner.Confirm(w.now, j.ticket)
	if err != nil {
		w.hear(w.orders[j.order], comfreyverdict.From(err).Verdict)
		return false
	}
	if p.hasLeft {
		w.t.Fatalf("order %d is handed over by an owner that has left", j.order)
	}
	if d := w.now.Sub(w.orders[j.order].mintedAt); d > lifetime {
		w.t.Fatalf("order %d is handed over %s after minting", j.order, d)
	}
	return true
}

// handOver gives an order to the application, unless the dial is refused.
func (w *world) handOver(j *job) {
	if w.r.IntN(10) == 0 {
		j.stage = stageRunning
		j.outcome = comfreyorder.Outcome{Verdict: comfreyverdict.VerdictNotRun, Reason: comfreyverdict.ReasonDialFailed}
	}
}

// run is the application's run, whose answer may be lost.
func (w *world) run(j *job) {
	o := w.orders[j.order]
	if w.r.IntN(10) > 0 {
		o.runs++
		o.ranBody = j.body
		o.answer = fmt.Sprint("run ", o.runs, " of order ", j.order)
		j.outcome = comfreyorder.Outcome{Verdict: comfreyverdict.VerdictRan, Status: 201, Body: []byte(o.answer)}
	}
	if w.r.IntN(5) == 0 {
		j.outcome = comfreyorder.Outcome{Reason: comfreyverdict.ReasonConnectionLost}
	}
}

// hear takes any verdict that the caller gets, in time or late.
func (w *world) hear(o *order, v comfreyverdict.Verdict) {
	switch v {
	case comfreyverdict.VerdictNotRun:
		o.saidNot = true
	case comfreyverdict.VerdictRan:
		o.saidRan = true
	}
	w.check(o)
}

func (w *world) hearReport(o *order, p comfreyorder.StateReport, err error) {
	if err != nil {
		w.hear(o, comfreyverdict.From(err).Verdict)
		return
	}
	w.hear(o, p.Verdict)
}

func (w *world) hearAnswer(o *order, u comfreyorder.Outcome, b comfreyorder.BodyHash) {
	w.hear(o, u.Verdict)
	if string(u.Body) != o.answer || b != o.ranBody {
		w.t.Fatalf("recorded answer %q of a PUT is not the answer %q of the application", u.Body, o.answer)
	}
}

// check compares what was said of an order with the ground truth.
func (w *world) check(o *order) {
	if o.runs > 1 {
		w.t.Fatalf("an order ran %d times", o.runs)
	}
	if o.saidNot && o.runs > 0 {
		w.t.Fatalf("not-run was said of an order that ran")
	}
	if o.saidRan && o.runs == 0 {
		w.t.Fatalf("ran was said of an order that did not run")
	}
}
