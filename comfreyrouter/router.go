package comfreyrouter

import (
	"math/rand/v2"
	"sync"
	"time"

	"comfreyridge.example/comfreyridge/comfreyfleet"
)

// Router holds the hints of one gateway and chooses upstreams. It is safe for
// concurrent use; a lock is held for the duration of each decision.
type Router struct {
	mu          sync.Mutex
	config      Config
	gatewayHash uint64
	random      *rand.Rand
	pools       map[string]*pool
	upstreams   map[string]*upstream
	probes      probeBudget
}

// New returns a router without upstreams.
func New(c Config) *Router {
	c = c.withDefaults()
	g := hashName(c.Gateway)
	return &Router{
		config:      c,
		gatewayHash: g,
		random:      rand.New(rand.NewPCG(g, c.Seed)),
		pools:       map[string]*pool{},
		upstreams:   map[string]*upstream{},
		probes:      probeBudget{rate: c.ProbesPerSecond},
	}
}

// Update replaces the upstreams that may be chosen. Hints on upstreams that
// stay are kept.
func (r *Router) Update(_ time.Time, members []comfreyfleet.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.upstreams
	r.upstreams = make(map[string]*upstream, len(members))
	r.pools = map[string]*pool{}
	for _, m := range members {
		if m.Service == "" {
			continue
		}
		p, ok := old[m.Host]
		if !ok {
			p = &upstream{hash: hashName(m.Host), loadPerRequest: unknownRequestLoad}
		}
		p.member = m
		r.upstreams[m.Host] = p
		r.pool(m.Service).add(p)
	}
	for _, p := range r.pools {
		p.chooseSubsets(r.gatewayHash, r.config.SubsetSize)
	}
}

func (r *Router) pool(service string) *pool {
	p, ok := r.pools[service]
	if !ok {
		p = &pool{}
		r.pools[service] = p
	}
	return p
}

// Observe applies a hint that arrived at now. A hint without a time counts as
// received at now. Hints on unknown hosts, of older incarnations and out of
// order are dropped.
func (r *Router) Observe(now time.Time, host string, h Hint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.upstreams[host]
	if !ok {
		return
	}
	if h.At.IsZero() {
		h.At = now
	}
	known, load := p.known, p.load
	if !p.observe(h) {
		return
	}
	s := r.pools[p.member.Service]
	if !known {
		s.loadCount++
	}
	s.loadSum += p.load - load
}
