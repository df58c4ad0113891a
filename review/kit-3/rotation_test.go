package main

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// checkInterval is how often the platform asks a gateway whether it is ready, and
	// maxMisses how many misses take it out of rotation.
	checkInterval = time.Second
	maxMisses     = 2
)

// rotation stands in for the platform's choice of a gateway for a new channel. It is safe
// for concurrent use.
type rotation struct {
	gateways []*gateway

	mu     sync.Mutex
	misses map[*gateway]int
}

// newRotation returns a rotation that checks the gateways until the group ends.
func newRotation(e *environment, l []*gateway) *rotation {
	r := &rotation{gateways: l, misses: map[*gateway]int{}}
	for _, g := range l {
		e.group.Go("ready", func(ctx context.Context) error {
			for pause(ctx, checkInterval) {
				r.observe(g, g.isReady())
			}
			return nil
		})
	}
	return r
}

func (r *rotation) observe(g *gateway, isReady bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.misses[g]++
	if isReady {
		r.misses[g] = 0
	}
}

// pick returns a gateway for a new channel of a caller in a zone: one of the zone, or of
// the others if none of the zone is in rotation.
func (r *rotation) pick(zone string) *gateway {
	r.mu.Lock()
	defer r.mu.Unlock()
	var near, far []*gateway
	for _, g := range r.gateways {
		switch {
		case r.misses[g] >= maxMisses:
		case g.zone == zone:
			near = append(near, g)
		default:
			far = append(far, g)
		}
	}
	for _, l := range [][]*gateway{near, far, r.gateways} {
		if len(l) > 0 {
			return l[rand.IntN(len(l))]
		}
	}
	return nil
}
