package comfreyforward

import (
	"context"
	"time"

	"comfreyridge.example/comfreyridge/comfreydecision"
	"comfreyridge.example/comfreyridge/comfreygroup"
	"comfreyridge.example/comfreyridge/comfreyplacement"
	"comfreyridge.example/comfreyridge/comfreyreplica"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

const (
	// relieveInterval is how often one of four gateways looks whether one of its
	// generations should move; more gateways look less often. One move takes some
	// tenths of a second, and more of them at a time would fill the same replica.
	relieveInterval  = 150 * time.Millisecond
	relievedGateways = 4
	// maxRelieved is after how many moves a generation stays until its replica
	// leaves: each move is a pause of some 70 ms.
	maxRelieved = 6
	// relieveTime bounds one move between replicas that stay.
	relieveTime = 3 * time.Second
)

// relieveAll moves generations from full replicas to emptier ones, one at a
// time.
func (g *Gateway) relieveAll(ctx context.Context) error {
	for comfreygroup.Sleep(ctx, time.Duration(float64(g.relievePause())*(0.5+g.config.Rand()))) {
		n, r, ok := g.chooseRelief()
		if ok {
			g.move(ctx, n, r)
			g.moveRest(r.ID) // The replica may have begun to leave meanwhile.
		}
	}
	return nil
}

// relievePause returns how often this gateway looks at present.
func (g *Gateway) relievePause() time.Duration {
	return max(relieveInterval, relieveInterval*time.Duration(g.fleetSize())/relievedGateways)
}

// chooseRelief chooses a generation to move, and marks it as moving.
func (g *Gateway) chooseRelief() (*generation, comfreyreplica.Replica, bool) {
	t := g.table.Load()
	if t == nil {
		return nil, comfreyreplica.Replica{}, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Now()
	byService := map[string][]*generation{}
	for n := range g.streams {
		if n.events > 0 && !n.isMoving && n.moves < maxRelieved && n.service.Engine.CanMove {
			byService[n.service.Name] = append(byService[n.service.Name], n)
		}
	}
	for _, l := range byService {
		if n, r, ok := g.chooseReliefOf(now, l); ok {
			return n, r, true
		}
	}
	return nil, comfreyreplica.Replica{}, false
}

// chooseReliefOf chooses among the generations of one service. The mutex must
// be held.
func (g *Gateway) chooseReliefOf(now time.Time, l []*generation) (*generation, comfreyreplica.Replica, bool) {
	candidates := g.candidates(now, l[0].service, nil)
	index := map[string]int{}
	for i, c := range candidates {
		index[c.ID] = i
	}
	var movables []comfreyplacement.Movable
	var owners []*generation
	for _, n := range l {
		if i, ok := index[n.replica.ID]; ok {
			movables = append(movables, comfreyplacement.Movable{From: i, Tokens: n.tokens(), RemainingTokens: g.remaining(n)})
			owners = append(owners, n)
		}
	}
	i, d := comfreyplacement.ChooseRebalancingMove(candidates, movables)
	if i < 0 {
		return nil, comfreyreplica.Replica{}, false
	}
	n, from, to := owners[i], candidates[movables[i].From], candidates[d]
	r, _ := g.replicas.Get(from.ID)
	r.EndsAt = now.Add(relieveTime)
	n.isMoving, n.destination = true, &to
	g.noteCopy(n, to.ID, true)
	g.record(n.request, comfreydecision.KindMove, comfreyverdict.ReasonLeastLoaded, map[string]any{
		"replica": from.ID, "to": to.ID, "used-tokens": from.Load.UsedTokens, "to-used-tokens": to.Load.UsedTokens,
	})
	return n, r, true
}
