package comfreyorder

import (
	"time"

	"comfreyridge.example/comfreyridge/comfreyinvariant"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// The invariants of an order.
const (
	invariantRunsOnce    comfreyinvariant.Name = "order-runs-once"
	invariantVoidIsFinal comfreyinvariant.Name = "order-void-is-final"
	invariantRunIsFinal  comfreyinvariant.Name = "order-no-not-run-after-run"
)

// record is the owner's memory of one ticket.
type record struct {
	ticket      Ticket
	body        BodyHash
	state       State
	reason      comfreyverdict.Reason
	handovers   int
	outcome     Outcome
	bodyDropped bool
	completedAt time.Time
}

// hasBegun reports whether a part of the order may have left this process.
func (r *record) hasBegun() bool {
	return r.state == StateHandedOver || r.state == StateCompleted
}

func (r *record) handOver() {
	r.handovers++
	comfreyinvariant.Check(r.handovers == 1, invariantRunsOnce, "ticket %x handed over %d times", r.ticket.Nonce, r.handovers)
	comfreyinvariant.Check(r.state == StateBegun, invariantVoidIsFinal, "ticket %x handed over in state %s", r.ticket.Nonce, r.state)
	r.state = StateHandedOver
}

// void ends an order that has not been handed over.
func (r *record) void(reason comfreyverdict.Reason) {
	comfreyinvariant.Check(r.handovers == 0, invariantRunIsFinal, "ticket %x voided in state %s", r.ticket.Nonce, r.state)
	r.state = StateVoid
	r.reason = reason
}

// complete records an outcome. A later outcome replaces only one that left
// open whether the order ran.
func (r *record) complete(now time.Time, u Outcome) {
	if r.state == StateCompleted && (r.outcome.Verdict == comfreyverdict.VerdictRan || u.Verdict != comfreyverdict.VerdictRan) {
		return
	}
	comfreyinvariant.Check(r.handovers == 1, invariantRunsOnce, "ticket %x completed in state %s", r.ticket.Nonce, r.state)
	r.completedAt = now
	if u.Verdict == comfreyverdict.VerdictNotRun {
		r.state = StateVoid
		r.reason = u.Reason
		return
	}
	r.state = StateCompleted
	r.outcome = u
}

// answer returns what a PUT of the same body gets, once no more can happen to
// the order than its completion.
func (r *record) answer() BeginResult {
	switch {
	case r.state == StateVoid:
		return BeginResult{Err: comfreyverdict.NotRun(r.reason, "the ticket is void; mint another one")}
	case r.state != StateCompleted:
		return BeginResult{Decision: DecisionWait}
	case r.outcome.Verdict != comfreyverdict.VerdictRan:
		return BeginResult{Err: comfreyverdict.MayHaveRun(r.outcome.Reason, "the order was handed over and no answer came")}
	case r.bodyDropped:
		return BeginResult{Err: comfreyverdict.Ran(comfreyverdict.ReasonOutcomeDropped, "the order ran; its answer is no longer kept")}
	default:
		return BeginResult{Decision: DecisionRecorded, Outcome: r.outcome}
	}
}

func (r *record) report() StateReport {
	p := StateReport{State: r.state, Reason: r.reason, Outcome: r.outcome}
	switch r.state {
	case StateVoid:
		p.Verdict = comfreyverdict.VerdictNotRun
	case StateCompleted:
		p.Verdict = r.outcome.Verdict
		p.Reason = r.outcome.Reason
	}
	return p
}
