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
	// rebalanceInterval is how often each gateway checks for a rebalancing move
	// if there are up to rebalanceBaseGateways of them in a cell; with more
	// gateways, each checks less often. One move takes some tenths of a second, and
	// several moves at a time would fill the same replica.
	rebalanceInterval     = 150 * time.Millisecond
	rebalanceBaseGateways = 4
	// maxRebalanceMoves is the number of moves after which a generation stays
	// until its replica leaves: each move is a pause of about 70 ms in its
	// stream.
	maxRebalanceMoves = 6
	// rebalanceTimeout bounds one rebalancing move.
	rebalanceTimeout = 3 * time.Second
)

// rebalance moves generations from full replicas to emptier ones, one at a
// time, until ctx ends.
func (g *Gateway) rebalance(ctx context.Context) error {
	for comfreygroup.Sleep(ctx, time.Duration(float64(g.currentRebalanceInterval())*(0.5+g.config.Rand()))) {
		n, r, ok := g.chooseRebalancingMove()
		if ok {
			g.move(ctx, n, r)
			g.moveRemaining(r.ID) // The source may have started to leave meanwhile.
		}
	}
	return nil
}

// currentRebalanceInterval returns how often this gateway checks for a move,
// given the number of gateways in the cell.
func (g *Gateway) currentRebalanceInterval() time.Duration {
	return max(rebalanceInterval, rebalanceInterval*time.Duration(g.cellSize())/rebalanceBaseGateways)
}

// chooseRebalancingMove chooses a generation to move and its source, and marks
// the generation as moving.
func (g *Gateway) chooseRebalancingMove() (*generation, comfreyreplica.Replica, bool) {
	t := g.table.Load()
	if t == nil {
		return nil, comfreyreplica.Replica{}, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Now()
	// Generations with the same homes have the same candidates.
	type group struct{ service, homes string }
	byGroup := map[group][]*generation{}
	for n := range g.generations {
		if n.events > 0 && !n.isMoving && n.moves < maxRebalanceMoves && n.service.Engine.CanMove {
			k := group{n.service.Name, n.homes.String()}
			byGroup[k] = append(byGroup[k], n)
		}
	}
	for _, l := range byGroup {
		if n, r, ok := g.chooseRebalancingMoveAmong(now, l); ok {
			return n, r, true
		}
	}
	return nil, comfreyreplica.Replica{}, false
}

// chooseRebalancingMoveAmong chooses among generations of one service with the same
// homes. The mutex must be held.
func (g *Gateway) chooseRebalancingMoveAmong(now time.Time, l []*generation) (*generation, comfreyreplica.Replica, bool) {
	candidates := g.withoutLimited(g.candidates(now, search{service: l[0].service, homes: l[0].homes}))
	index := map[string]int{}
	for i, c := range candidates {
		index[c.ID] = i
	}
	var movables []comfreyplacement.Movable
	var owners []*generation
	for _, n := range l {
		if i, ok := index[n.replica.ID]; ok {
			movables = append(movables, comfreyplacement.Movable{From: i, Tokens: n.kvTokens(), RemainingTokens: g.remainingTokens(n), Pauses: n.pauses})
			owners = append(owners, n)
		}
	}
	i, d := comfreyplacement.ChooseRebalancingMove(candidates, movables)
	if i < 0 {
		return nil, comfreyreplica.Replica{}, false
	}
	n, from, to := owners[i], candidates[movables[i].From], candidates[d]
	r, _ := g.replicas.Get(from.ID)
	// The source stays, so the timeout bounds the move instead of its expected
	// end.
	r.EndsAt = now.Add(rebalanceTimeout)
	n.beginMoving()
	n.destination = &to
	g.trackCopy(n, to.ID, true)
	g.record(n.request, comfreydecision.KindMove, comfreyverdict.ReasonLeastLoaded, map[string]any{
		"replica": from.ID, "to": to.ID, "used-tokens": from.Load.UsedTokens, "to-used-tokens": to.Load.UsedTokens,
	})
	return n, r, true
}
