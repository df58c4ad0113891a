package comfreyrouter

import (
	"math/rand/v2"
	"sync"
	"time"

	"comfreyridge.example/comfreyridge/comfreyfleet"
)

// Router holds the hints of one gateway and chooses upstreams. It is safe for
// concurrent use: one lock is held for the length of one decision.
type Router struct {
	mu       sync.Mutex
	config   Config
	gateway  uint64
	random   *rand.Rand
	pools    map[string]*pool
	replicas map[string]*replica
	probes   probeBudget
}

// New returns a router that knows no upstream.
func New(c Config) *Router {
	c = c.withDefaults()
	g := hashName(c.Gateway)
	return &Router{
		config:   c,
		gateway:  g,
		random:   rand.New(rand.NewPCG(g, c.Seed)),
		pools:    map[string]*pool{},
		replicas: map[string]*replica{},
		probes:   probeBudget{rate: c.ProbesPerSecond},
	}
}

// Update replaces the upstreams that may be chosen. Hints on upstreams that
// stay are kept.
func (r *Router) Update(_ time.Time, members []comfreyfleet.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.replicas
	r.replicas = make(map[string]*replica, len(members))
	r.pools = map[string]*pool{}
	for _, m := range members {
		if m.Service == "" {
			continue
		}
		p, ok := old[m.Host]
		if !ok {
			p = &replica{hash: hashName(m.Host), share: unknownShare}
		}
		p.member = m
		r.replicas[m.Host] = p
		r.pool(m.Service).add(p)
	}
	for _, p := range r.pools {
		p.finish(r.gateway, r.config.SubsetSize)
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

// Observe takes a hint that arrived at now. A hint without a time is taken to
// be of now. Hints on unknown hosts, of older incarnations and out of order
// are dropped.
func (r *Router) Observe(now time.Time, host string, h Hint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.replicas[host]
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
