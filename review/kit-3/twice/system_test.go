package twice

import (
	"strconv"
	"time"
)

// startSystem starts a store with a configuration, the replicas that register puts there,
// and a gateway, and waits until the gateway is ready and has settled.
func (e *env) startSystem(configuration any, settle time.Duration, register func(s *store) error) (*store, *gateway, error) {
	s, err := newStore(e)
	if err != nil {
		return nil, nil, err
	}
	s.put("op/config", configuration)
	if err := register(s); err != nil {
		return nil, nil, err
	}
	g, err := e.newGateway(s.address)
	if err != nil {
		return nil, nil, err
	}
	if err := g.start(); err != nil {
		return nil, nil, err
	}
	if err := g.awaitReady(10 * time.Second); err != nil {
		return nil, nil, err
	}
	time.Sleep(settle)
	return s, g, nil
}

// registerReplicas returns a register function for replicas of a service, and the replicas
// once it was called.
func (e *env) registerReplicas(n, slots int, service string, newOne func(id string) (*replica, error), l *[]*replica) func(s *store) error {
	return func(s *store) error {
		for i := range n {
			p, err := newOne("i-" + service + "-" + strconv.Itoa(i+1))
			if err != nil {
				return err
			}
			s.put("servers/"+p.id, p.entry(slots))
			*l = append(*l, p)
		}
		return nil
	}
}

// runOf returns the run of a request at any of some replicas; nil if there is none.
func runOf(replicas []*replica, id string) *run {
	for _, p := range replicas {
		if x := p.runOf(id); x != nil {
			return x
		}
	}
	return nil
}
