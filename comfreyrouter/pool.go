package comfreyrouter

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// centre holds the upstreams of one service in one data centre.
type centre struct {
	name     string
	all      []*replica
	subset   []*replica
	prefixes []owners
}

// pool holds the upstreams of one service by data centre.
type pool struct {
	centres []centre
	size    int
	// loadSum and loadCount give the mean load over the newest hints.
	loadSum   float64
	loadCount int
}

// find returns the data centre with the given name, or nil.
func (p *pool) find(name string) *centre {
	for i := range p.centres {
		if p.centres[i].name == name {
			return &p.centres[i]
		}
	}
	return nil
}

// mean returns the mean load over the known hints.
func (p *pool) mean() float64 {
	if p.loadCount == 0 {
		return 0
	}
	return p.loadSum / float64(p.loadCount)
}

// add places a replica into its data centre.
func (p *pool) add(r *replica) {
	c := p.find(r.member.DataCentre)
	if c == nil {
		p.centres = append(p.centres, centre{name: r.member.DataCentre})
		c = &p.centres[len(p.centres)-1]
	}
	c.all = append(c.all, r)
	p.size++
}

// finish chooses the subset of each data centre by rendezvous hashing, so that
// a change of the fleet changes few subsets.
func (p *pool) finish(gateway uint64, size int) {
	p.loadSum, p.loadCount = 0, 0
	for i := range p.centres {
		c := &p.centres[i]
		c.subset = slices.Clone(c.all)
		slices.SortFunc(c.subset, func(a, b *replica) int { return cmp.Compare(mix(b.hash, gateway), mix(a.hash, gateway)) })
		c.subset = c.subset[:min(size, len(c.subset))]
		for _, r := range c.all {
			if r.known {
				p.loadSum += r.load
				p.loadCount++
			}
		}
	}
}

// hashName returns the hash of a host name.
func hashName(s string) uint64 {
	return xxhash.Sum64String(s)
}

// mix combines two hashes into one score.
func mix(a, b uint64) uint64 {
	h, l := bits.Mul64(a^0x9e3779b97f4a7c15, b^0xd1b54a32d192ed03)
	return h ^ l
}
