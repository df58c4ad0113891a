package comfreyforward

import (
	"time"

	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// unservableRetryAfter is the retry-after of a request that no replica may serve until
// an operator or a start changes that, which takes seconds.
const unservableRetryAfter = 2 * time.Second

// checkServable returns an error if no replica of a request's service may serve it,
// although there are some that accept new work: their data centres are evacuated, or
// they are outside the homes of the request. It would wait in vain.
func (g *Gateway) checkServable(x *exchange) *attemptError {
	g.mu.Lock()
	defer g.mu.Unlock()
	reason := comfreyverdict.Reason("")
	for _, r := range g.replicas.ByService(x.service.Name) {
		switch {
		case !r.IsAccepting():
		case !g.isHome(x.homes, r):
			if reason == "" {
				reason = comfreyverdict.ReasonNoHome
			}
		case g.replicas.IsEvacuated(r.DataCentre):
			reason = comfreyverdict.ReasonEvacuated
		default:
			return nil
		}
	}
	if reason == "" {
		return nil
	}
	return &attemptError{reason: reason, isNotRun: true, retryAfter: unservableRetryAfter}
}
