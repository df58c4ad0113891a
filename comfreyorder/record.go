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

// record is the state of one ticket and its order.
type record struct {
	ticket       Ticket
	bodyHash     BodyHash
	state        State
	reason       comfreyverdict.Reason
	forwardCount int
	outcome      Outcome
	bodyDropped  bool
	completedAt  time.Time
}

// wasForwarded reports whether a byte of the order may have been sent to the
// upstream.
func (r *record) wasForwarded() bool {
	return r.state == StateHandedOver || r.state == StateCompleted
}

func (r *record) forward() {
	r.forwardCount++
	comfreyinvariant.Check(r.forwardCount == 1, invariantRunsOnce, "order of ticket %x forwarded %d times", r.ticket.Nonce, r.forwardCount)
	comfreyinvariant.Check(r.state == StateBegun, invariantVoidIsFinal, "order of ticket %x forwarded in state %s", r.ticket.Nonce, r.state)
	r.state = StateHandedOver
}

// void makes sure that an order that has not been forwarded never runs.
func (r *record) void(reason comfreyverdict.Reason) {
	comfreyinvariant.Check(r.forwardCount == 0, invariantRunIsFinal, "ticket %x voided in state %s", r.ticket.Nonce, r.state)
	r.state = StateVoid
	r.reason = reason
}

// complete records an outcome. It replaces an earlier outcome only if that one
// has VerdictMayHaveRun and the new one has VerdictRan. An outcome with
// VerdictNotRun makes the order void.
func (r *record) complete(now time.Time, u Outcome) {
	if r.state == StateCompleted && (r.outcome.Verdict == comfreyverdict.VerdictRan || u.Verdict != comfreyverdict.VerdictRan) {
		return
	}
	comfreyinvariant.Check(r.forwardCount == 1, invariantRunsOnce, "ticket %x completed in state %s", r.ticket.Nonce, r.state)
	r.completedAt = now
	if u.Verdict == comfreyverdict.VerdictNotRun {
		r.state = StateVoid
		r.reason = u.Reason
		return
	}
	r.state = StateCompleted
	r.outcome = u
}

// result returns the result of another PUT of the bound body, in any state
// after StateMinted.
func (r *record) result() BeginResult {
	switch {
	case r.state == StateVoid:
		return BeginResult{Err: comfreyverdict.NotRun(r.reason, "the ticket is void; mint another one")}
	case r.state != StateCompleted:
		return BeginResult{Decision: DecisionWait}
	case r.outcome.Verdict != comfreyverdict.VerdictRan:
		return BeginResult{Err: comfreyverdict.MayHaveRun(r.outcome.Reason, "the order was forwarded to the upstream and no response was received")}
	case r.bodyDropped:
		return BeginResult{Err: comfreyverdict.Ran(comfreyverdict.ReasonOutcomeDropped, "the order ran; its response is no longer retained")}
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
