package comfreygossip

import (
	"context"
	"fmt"
	"time"

	"comfreyridge.example/comfreyridge/comfreyproto"
	"comfreyridge.example/comfreyridge/comfreyratelimit"
	"comfreyridge.example/comfreyridge/comfreyrpc"
)

// permitTimeout bounds one request for a permit, which takes a few milliseconds, and
// twice as many if it is passed on.
const permitTimeout = 150 * time.Millisecond

// RequestPermit asks another gateway for a permit. The request was passed on a number
// of times.
func (g *Gossip) RequestPermit(ctx context.Context, address string, r comfreyratelimit.Request, hops int) (comfreyratelimit.Reply, error) {
	g.mu.Lock()
	k, ok := g.peers[address]
	g.mu.Unlock()
	if !ok {
		return comfreyratelimit.Reply{}, fmt.Errorf("comfreygossip: asking for a permit: expected a known gateway, got %q", address)
	}
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	p, err := k.client.Permit(ctx, comfreyrpc.EncodePermitRequest(r, hops))
	if err != nil {
		return comfreyratelimit.Reply{}, fmt.Errorf("comfreygossip: asking %s for a permit: %w", address, err)
	}
	wait := min(comfreyrpc.Duration(p.WaitMillis), comfreyratelimit.MaxWait)
	return comfreyratelimit.Reply{Replica: p.Replica, Wait: wait, IsBooked: p.Booked}, nil
}

// Permit implements comfreyproto.Gateways.
func (g *Gossip) Permit(ctx context.Context, m *comfreyproto.PermitRequest) (*comfreyproto.PermitReply, error) {
	r, hops := comfreyrpc.DecodePermitRequest(m)
	p := g.config.Permit(ctx, r, hops)
	return &comfreyproto.PermitReply{Replica: p.Replica, WaitMillis: comfreyrpc.Millis(p.Wait), Booked: p.IsBooked}, nil
}
