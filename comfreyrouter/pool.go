package comfreyrouter

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// dataCentre holds the upstreams of one service in one data centre. The subset
// is the part that this gateway probes and prefers.
type dataCentre struct {
	name         string
	all          []*upstream
	subset       []*upstream
	bucketOwners []prefixOwners
}

// pool holds the upstreams of one service by data centre.
type pool struct {
	dataCentres []dataCentre
	size        int
	// loadSum and loadCount give the mean load over the latest hints.
	loadSum   float64
	loadCount int
}

// find returns the data centre with the given name, or nil.
func (p *pool) find(name string) *dataCentre {
	for i := range p.dataCentres {
		if p.dataCentres[i].name == name {
			return &p.dataCentres[i]
		}
	}
	return nil
}

// meanLoad returns the mean load over the latest hints, or zero without any.
func (p *pool) meanLoad() float64 {
	if p.loadCount == 0 {
		return 0
	}
	return p.loadSum / float64(p.loadCount)
}

// add adds an upstream to its data centre.
func (p *pool) add(u *upstream) {
	c := p.find(u.member.DataCentre)
	if c == nil {
		p.dataCentres = append(p.dataCentres, dataCentre{name: u.member.DataCentre})
		c = &p.dataCentres[len(p.dataCentres)-1]
	}
	c.all = append(c.all, u)
	p.size++
}

// chooseSubsets selects the subset of each data centre by rendezvous hashing,
// so that a change of the members changes few subsets. It also recomputes the
// mean load.
func (p *pool) chooseSubsets(gateway uint64, size int) {
	p.loadSum, p.loadCount = 0, 0
	for i := range p.dataCentres {
		c := &p.dataCentres[i]
		c.subset = slices.Clone(c.all)
		slices.SortFunc(c.subset, func(a, b *upstream) int { return cmp.Compare(mix(b.hash, gateway), mix(a.hash, gateway)) })
		c.subset = c.subset[:min(size, len(c.subset))]
		for _, u := range c.all {
			if u.known {
				p.loadSum += u.load
				p.loadCount++
			}
		}
	}
}

func hashName(s string) uint64 {
	return xxhash.Sum64String(s)
}

// mix combines two hashes into one score.
func mix(a, b uint64) uint64 {
	h, l := bits.Mul64(a^0x9e3779b97f4a7c15, b^0xd1b54a32d192ed03)
	return h ^ l
}
