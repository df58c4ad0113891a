package comfreyforward

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strings"
	"time"

	"comfreyridge.example/comfreyridge/comfreydecision"
	"comfreyridge.example/comfreyridge/comfreyplacement"
	"comfreyridge.example/comfreyridge/comfreyquarantine"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// maxLoggedFeatures bounds the features that a log line names.
const maxLoggedFeatures = 8

// featuresOf returns the features of a request that may make it crash replicas: the
// fingerprint that its copies share, which have the same customer, path and body, and
// those of the parts of its prompt that others share. Whether a part crashes a replica
// depends on its service, whose software the others do not run.
func featuresOf(x *exchange) []comfreyquarantine.Fingerprint {
	l := []comfreyquarantine.Fingerprint{
		comfreyquarantine.NewFingerprint(x.customer.Name, x.r.Method+" "+x.r.Host+x.r.RequestURI, x.body),
	}
	for _, p := range x.call.PromptParts {
		l = append(l, comfreyquarantine.NewPartFingerprint(x.service.Name, p))
	}
	return l
}

// describeFeature returns the part of a request's prompt that a feature stands for,
// or "request" for the whole request.
func describeFeature(x *exchange, f comfreyquarantine.Fingerprint) string {
	if i := slices.Index(x.features, f); i > 0 {
		return "part " + x.call.PromptParts[i-1]
	}
	return "request"
}

// checkSuspect returns an error if a request may not be sent to a replica, because
// it was in flight when several replicas crashed.
func (g *Gateway) checkSuspect(x *exchange) *attemptError {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Now()
	a, ok := g.quarantine.Assess(now, x.features)
	if !ok {
		return nil
	}
	d, after := a.Decide(now, comfreyquarantine.TrialConditions{IsElected: g.isTrialProcess, IsInFlight: g.observer.IsInFlight})
	if a.Crashes > 1 || d != comfreyquarantine.DecisionAllow {
		g.record(x.call.ID, comfreydecision.KindSuspect, comfreyverdict.ReasonSuspectRequest, map[string]any{
			"feature": a.Cause.String(), "cause": describeFeature(x, a.Cause), "crashes": a.Crashes, "holds": a.Holds, "probability": a.Probability,
			"decision": d.String(), "wait-ms": after.Milliseconds(), "offered": x.offered,
		})
	}
	switch d {
	case comfreyquarantine.DecisionAllow:
		return nil
	case comfreyquarantine.DecisionWait:
		return &attemptError{reason: comfreyverdict.ReasonSuspectBusy, isNotRun: true, retryAfter: after}
	default:
		return &attemptError{reason: comfreyverdict.ReasonSuspectRequest, isNotRun: true, retryAfter: after}
	}
}

// isTrialProcess reports whether this gateway is one of those that may send requests
// with a suspect feature, a time after it was allowed. One cell of a large fleet
// comes before the others. The mutex must be held.
func (g *Gateway) isTrialProcess(f comfreyquarantine.Fingerprint, overdue time.Duration) bool {
	layout := g.config.Layout()
	others := layout.LiveMembers()
	preceding := 0
	if !layout.IsHome(f.String(), "") {
		preceding = len(others) + 1
	}
	return comfreyquarantine.IsTrialProcess(f, g.config.Address, others, preceding, overdue)
}

// beginAttempt records that a request is sent to a replica.
func (g *Gateway) beginAttempt(x *exchange, c comfreyplacement.Candidate) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.finishAttempt(x)
	x.execution = g.observer.Start(g.upstream(c.ID), x.features)
	g.cancels[x.execution] = x.cancel
	g.replicas.BeginWork(c.ID)
}

// endAttempt records that the current attempt of a request has ended for a reason
// that tells nothing about its replica.
func (g *Gateway) endAttempt(x *exchange) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.finishAttempt(x)
}

// abandonAttempt records that a request has ended, whose current attempt may have no response
// of its replica. The replica may be silent because it has crashed, which is known only
// later.
func (g *Gateway) abandonAttempt(x *exchange) {
	g.mu.Lock()
	r, isKnown := g.observer.Abandon(g.config.Now(), x.execution)
	delete(g.cancels, x.execution)
	g.mu.Unlock()
	if isKnown {
		g.addCrashRecord(r, evidenceSilence)
	}
}

// finishAttempt is endAttempt. The mutex must be held.
func (g *Gateway) finishAttempt(x *exchange) {
	g.observer.Finish(x.execution)
	delete(g.cancels, x.execution)
}

// errHeldBack is the cause of the end of a request that is in flight when it becomes
// the likely cause of crashes.
var errHeldBack = errors.New("comfreyforward: the request is held back as the likely cause of crashes")

// isHeldBack reports whether a request was ended by cancelSuspects.
func isHeldBack(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), errHeldBack)
}

// isCallerGone reports whether the caller of a request has disconnected.
func isCallerGone(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.Canceled) && !isHeldBack(ctx) && !isEndedByStop(ctx) && !isCutByStop(ctx)
}

// cancelSuspects ends the requests in flight that are held back by what was learnt
// since they were sent. Each would crash its replica once it begins to run there, with
// all that runs beside it. The mutex must be held.
func (g *Gateway) cancelSuspects(now time.Time) {
	for id, features := range g.observer.Unproven() {
		if a, ok := g.quarantine.Assess(now, features); ok && a.IsHeld(now) {
			g.cancels[id](errHeldBack)
		}
	}
}

// completeAttempt records that the response to the current attempt of a request is
// complete. A success shows that the request does not crash its replica. An error
// does not: a replica can send one without having run the request.
func (g *Gateway) completeAttempt(x *exchange, status int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	at, ok := g.observer.FirstOutput(x.execution)
	if !ok {
		at = g.config.Now()
	}
	g.finishAttempt(x)
	if status < http.StatusMultipleChoices {
		g.recordRun(x, at)
	}
}

// recordOutput records that output of the current attempt of a request has arrived. A
// request that has produced output for a while shows that it does not crash its
// replica; its response may take much longer. The mutex must be held.
func (g *Gateway) recordOutput(x *exchange) {
	if first, isProven := g.observer.RecordOutput(g.config.Now(), x.execution); isProven {
		g.recordRun(x, first)
	}
}

// recordRun records that a request has run at a time without a crash, which clears
// its features. The mutex must be held.
func (g *Gateway) recordRun(x *exchange, at time.Time) {
	g.observer.RecordRun(at, x.features)
	for _, f := range x.features {
		if g.quarantine.ClearSuspectBefore(at, f) {
			g.record(x.call.ID, comfreydecision.KindSuspect, comfreyverdict.ReasonAccepted, map[string]any{
				"feature": f.String(), "cause": describeFeature(x, f), "decision": "clear", "replica": x.latestReplica(),
			})
			g.config.TriggerGossip()
		}
	}
}

// loggedFeatures returns the first maxLoggedFeatures features.
func loggedFeatures(l []comfreyquarantine.Fingerprint) string {
	var s []string
	for _, f := range l[:min(len(l), maxLoggedFeatures)] {
		s = append(s, f.String())
	}
	return strings.Join(s, ",")
}

// loggedParts returns the first maxLoggedFeatures parts of a prompt.
func loggedParts(l []string) string {
	return strings.Join(l[:min(len(l), maxLoggedFeatures)], ",")
}
