package comfreyforward

import (
	"fmt"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreycell"
	"comfreyridge.example/comfreyridge/comfreydecision"
	"comfreyridge.example/comfreyridge/comfreyreplica"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// newTestGateway returns a gateway that is not started, in a fleet of the size
// that a pointer holds.
func newTestGateway(fleet *int) *Gateway {
	self := comfreycell.Gateway{Address: "10.0.0.0:1", DataCentre: "north"}
	return New(Config{
		DataCentre: "north", Address: self.Address, Retry: RetryLimit{Ratio: 0.2, Slack: 240},
		Recorder: comfreydecision.New(comfreydecision.Config{}),
		Layout: func() comfreycell.Layout {
			var l []comfreycell.Gateway
			for i := range *fleet - 1 {
				l = append(l, comfreycell.Gateway{Address: fmt.Sprintf("10.0.1.%d:1", i), DataCentre: "north"})
			}
			return comfreycell.New(self, l, nil)
		},
	})
}

// retries takes all retries of a service.
func retries(g *Gateway) int {
	n := 0
	for g.retryBudget("app").TryRetry(time.Time{}, comfreyverdict.ReasonConnectionLost) {
		n++
	}
	return n
}

// TestRetriesOfRestartedFleet replays the restart of a whole fleet of 100
// gateways, each of which at first knows only itself, while replicas fail. Their
// retries together must stay within the slack.
func TestRetriesOfRestartedFleet(t *testing.T) {
	fleet := 1
	g := newTestGateway(&fleet)
	if n := retries(g); n*100 > 240 {
		t.Errorf("%d retries before any request; 100 gateways exceed the slack of 240", n)
	}
	for range 500 {
		g.retryBudget("app").RecordRequest(time.Time{})
	}
	fleet = 100
	if n := retries(g); n != 2 {
		t.Errorf("%d retries are left for a burst, want 2 of 240 for each of 100 gateways", n)
	}
}

func TestLoadsOfUnknownReplicasAreRemoved(t *testing.T) {
	fleet := 1
	g := newTestGateway(&fleet)
	g.replicas.Update(time.Time{}, comfreyreplica.Registration{ID: "known"})
	g.unaryLoads["known"], g.unaryLoads["gone"], g.unaryLoads["busy"] = &unaryLoad{}, &unaryLoad{}, &unaryLoad{inFlight: 1}
	g.expireUnaryLoads()
	if len(g.unaryLoads) != 2 || g.unaryLoads["gone"] != nil {
		t.Errorf("the load of a replica that has gone is kept: %v", g.unaryLoads)
	}
}
