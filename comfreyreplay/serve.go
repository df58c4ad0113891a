package comfreyreplay

import (
	"maps"
	"slices"
	"time"

	"comfreyridge.example/comfreyridge/comfreyadmission"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// deliver submits a call to a replica's controller.
func (f *fleet) deliver(c *call, n int) {
	r := f.replicas[n]
	if r.down {
		c.promised = time.Second
		f.events.add(event{at: f.now + f.latency(c.gateway, n), kind: eventRefused, call: c, replica: n})
		return
	}
	q := comfreyadmission.Request{
		ID:            c.record.Request,
		Customer:      c.record.Customer,
		Service:       c.record.Service,
		PromptTokens:  c.record.PromptTokens,
		MaxTokens:     c.record.MaxTokens,
		Deadline:      c.patienceEnd(),
		IsLastAttempt: c.attempts >= gatewayAttempts,
	}
	if c.booked == n {
		q.RetryToken = c.record.Request
	}
	c.replica = n
	r.calls[c.record.Request] = c
	f.apply(n, r.controller.Submit(f.clock(), q))
	f.kick(n)
}

// apply acts on what a controller decided.
func (f *fleet) apply(n int, actions []comfreyadmission.Action) {
	r := f.replicas[n]
	for _, a := range actions {
		switch a.Kind {
		case comfreyadmission.ActionAdmit:
			c := r.calls[a.ID]
			c.job = &job{call: c, id: a.ID, prompt: c.record.PromptTokens, answer: c.record.AnswerTokens}
			r.engine.add(c.job, c.record)
		case comfreyadmission.ActionRefuse:
			f.refuse(n, a)
		case comfreyadmission.ActionPreempt:
			r.preempt = append(r.preempt, a.ID)
		}
	}
}

// refuse sends a refusal back.
func (f *fleet) refuse(n int, a comfreyadmission.Action) {
	c := f.replicas[n].calls[a.ID]
	delete(f.replicas[n].calls, a.ID)
	if a.Snapshot.Waited > 0 {
		f.collect.result.Late++
	}
	if a.Reason == comfreyverdict.ReasonDeadline {
		f.collect.result.Refusals++
		f.end(c, endingGivenUp)
		return
	}
	c.promised = a.RetryAfter
	f.events.add(event{at: f.now + f.latency(c.gateway, n), kind: eventRefused, call: c, replica: n})
}

// kick lets an idle engine begin a step.
func (f *fleet) kick(n int) {
	r := f.replicas[n]
	if r.engine.busy || r.down {
		return
	}
	d := r.engine.step(
		func(j *job) { f.pushedAside(n, j) },
		func(j *job) { r.controller.Resumed(f.clock(), j.id) },
	)
	if d == 0 {
		return
	}
	r.engine.busy = true
	f.events.add(event{at: f.now + d, kind: eventStep, replica: n, epoch: r.engine.epoch})
}

// pushedAside counts a preemption.
func (f *fleet) pushedAside(n int, j *job) {
	f.collect.result.Preemptions++
	f.replicas[n].controller.Preempted(f.clock(), j.id)
}

// stepped ends a step of an engine and begins the next one.
func (f *fleet) stepped(n, epoch int) {
	r := f.replicas[n]
	if r.engine.epoch != epoch {
		return
	}
	r.engine.busy = false
	r.engine.finish(func(j *job) bool { return f.token(n, j) })
	for _, id := range r.preempt {
		r.engine.preempt(id, func(j *job) { f.pushedAside(n, j) })
	}
	r.preempt = r.preempt[:0]
	f.kick(n)
}

// token passes a token on to its caller. It reports whether the answer is
// complete.
func (f *fleet) token(n int, j *job) bool {
	r := f.replicas[n]
	t := f.now + f.latency(j.call.gateway, n)
	gap := j.call.token(t)
	f.collect.token(j.call, t, gap)
	if j.call.tokens == 1 && j.call.returned > 0 {
		f.keep(j.call, n)
	}
	f.apply(n, r.controller.Progress(f.clock(), j.id, j.generated))
	if j.generated < j.answer {
		return false
	}
	delete(r.calls, j.id)
	f.end(j.call, endingCompleted)
	f.apply(n, r.controller.Finish(f.clock(), j.id, comfreyadmission.OutcomeCompleted))
	return true
}

// keep counts a caller that was served when it came back for the first time.
func (f *fleet) keep(c *call, n int) {
	if c.booked == n {
		f.collect.result.Kept++
	}
}

// fault lets an event of the trace happen.
func (f *fleet) fault(r *Record) {
	if r.Replica >= len(f.replicas) {
		return
	}
	p := f.replicas[r.Replica]
	f.events.add(event{at: f.now + r.For, kind: eventRestore, replica: r.Replica})
	if r.Event == EventReportsLost {
		p.silent = true
		return
	}
	p.down = true
	for _, j := range p.engine.lose() {
		p.controller.Finish(f.clock(), j.id, comfreyadmission.OutcomeFailed)
		f.lost(r.Replica, j.call)
	}
	for _, id := range slices.Sorted(maps.Keys(p.calls)) {
		p.controller.Finish(f.clock(), id, comfreyadmission.OutcomeFailed)
		p.controller.Cancel(f.clock(), id)
		f.lost(r.Replica, p.calls[id])
	}
}

// lost ends a call whose caller has seen a part of the answer, and lets its
// gateway try elsewhere otherwise.
func (f *fleet) lost(n int, c *call) {
	delete(f.replicas[n].calls, c.record.Request)
	if c.tokens > 0 {
		f.end(c, endingFailed)
		return
	}
	c.promised = time.Second
	c.attempts = 1
	f.events.add(event{at: f.now + f.latency(c.gateway, n), kind: eventRefused, call: c, replica: n})
}
