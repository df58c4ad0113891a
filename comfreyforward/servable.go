package comfreyforward

import (
	"errors"
	"time"

	"comfreyridge.example/comfreyridge/comfreyreplica"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// unservableRetryAfter is the retry-after of a request that no replica may serve until
// an operator or a start changes that, which takes seconds.
const unservableRetryAfter = 2 * time.Second

// checkServable returns an error if no replica of a request's service may serve it; see
// comfreyreplica.Set.
func (g *Gateway) checkServable(x *exchange) *attemptError {
	g.mu.Lock()
	err := g.replicas.CheckServable(x.service.Name, func(r comfreyreplica.Replica) bool { return g.isHome(x.homes, r) })
	g.mu.Unlock()
	if err == nil {
		return nil
	}
	reason := comfreyverdict.ReasonEvacuated
	if errors.Is(err, comfreyreplica.ErrNoHome) {
		reason = comfreyverdict.ReasonNoHome
	}
	return &attemptError{reason: reason, isNotRun: true, retryAfter: unservableRetryAfter, cause: err}
}
