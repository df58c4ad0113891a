package comfreyratelimit

import (
	"cmp"
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// namingTimeout is how long a gateway counts for the holder that it has named.
	namingTimeout = time.Second
	// avoidancePeriod is how long a holder that did not respond is not asked.
	avoidancePeriod = time.Second
	// askedPeriod is how long a holder counts as asked.
	askedPeriod = 5 * time.Second
	// SettlingPeriod is how long a gateway must have been running, by what the
	// others and it itself know, before it can be a holder. All gateways know of it
	// by then, and it knows of them.
	SettlingPeriod = 2 * time.Second
	// MemberTimeout is how long after its last sign of life a gateway has a part in
	// the rates.
	MemberTimeout = 5 * time.Second
	// SplitTimeout is the same if half of the gateways or more are silent. This one is
	// then as likely to be cut off as they are to have ended.
	SplitTimeout = 30 * time.Second
)

// View is what a gateway knows of the others.
type View struct {
	// Settled are the gateways that can be holders, which may include the one whose
	// view it is.
	Settled []string
	// Members is the number of gateways that have a part in the rates, including
	// the one whose view it is.
	Members int
	// Contact is a gateway that knows the holder. It is set only if the holder
	// is not among the gateways that this one knows, in large fleets.
	Contact string
}

// naming is what a gateway has said of the holders that it asks.
type naming struct {
	holders map[string]string
	at      time.Time
}

// Division is one gateway's part in the division of rates. It is not safe for
// concurrent use.
type Division struct {
	self      string
	allocator *Allocator
	// named holds the last namings of other gateways, avoided until when holders are
	// not asked, and asked when requests of a service last came to this gateway.
	named   map[string]naming
	avoided map[string]time.Time
	asked   map[string]time.Time
	// mostMembers is the largest number of members lately, last seen at mostMembersAt.
	mostMembers   int
	mostMembersAt time.Time
}

// NewDivision returns the part of the gateway at an address.
func NewDivision(self string) *Division {
	return &Division{self: self, allocator: NewAllocator(), named: map[string]naming{}, avoided: map[string]time.Time{}, asked: map[string]time.Time{}}
}

// Holder returns the gateway to ask for permits for a service, which may be this
// one; empty if none is known.
func (d *Division) Holder(now time.Time, service string, v View) string {
	if v.Contact != "" {
		return v.Contact
	}
	var best string
	var bestRank uint64
	for _, a := range v.Settled {
		if now.Before(d.avoided[a]) {
			continue
		}
		if r := xxhash.Sum64String(service + " " + a); best == "" || cmp.Or(cmp.Compare(r, bestRank), cmp.Compare(a, best)) > 0 {
			best, bestRank = a, r
		}
	}
	return best
}

// Avoid records that a gateway did not respond.
func (d *Division) Avoid(now time.Time, gateway string) {
	if gateway != d.self {
		d.avoided[gateway] = now.Add(avoidancePeriod)
	}
}

// observeMembers records the number of members, of which the largest counts for
// SplitTimeout if half of them or more fall silent.
func (d *Division) observeMembers(now time.Time, v View) {
	if v.Members >= d.mostMembers || now.Sub(d.mostMembersAt) > SplitTimeout {
		d.mostMembers, d.mostMembersAt = max(v.Members, 1), now
	}
}

// members returns the number of gateways that have a part in the rates.
func (d *Division) members(v View) int {
	if 2*v.Members <= d.mostMembers {
		return d.mostMembers
	}
	return v.Members
}

// HolderNames returns the holders that this gateway asks, to be sent to the others, of the
// services whose replicas it knows to be limited and of those for which another
// gateway names itself. It names itself only if it knows of limits or is asked.
func (d *Division) HolderNames(now time.Time, limited []string, view func(service string) View) map[string]string {
	services := map[string]bool{}
	for _, s := range limited {
		services[s] = true
	}
	for s, at := range d.asked {
		if now.Sub(at) < askedPeriod {
			services[s] = true
		}
	}
	for a, n := range d.named {
		for s, h := range n.holders {
			if h == a && now.Sub(n.at) < namingTimeout {
				services[s] = true
			}
		}
	}
	names := map[string]string{}
	for s := range services {
		if v := view(s); v.Contact == "" {
			d.observeMembers(now, v)
			if h := d.Holder(now, s, v); h != "" {
				names[s] = h
			}
		}
	}
	return names
}

// SetHolderNames records the holders that another gateway asks, and reports whether it
// names one for a service that was not named before.
func (d *Division) SetHolderNames(now time.Time, gateway string, holders map[string]string) (isNew bool) {
	old := d.named[gateway].holders
	if len(holders) == 0 {
		delete(d.named, gateway)
		return false
	}
	d.named[gateway] = naming{maps.Clone(holders), now}
	for s := range holders {
		if _, ok := old[s]; !ok {
			isNew = true
		}
	}
	return isNew
}

// Allocate answers a request for a permit as its holder.
func (d *Division) Allocate(now time.Time, r Request, v View) Reply {
	d.asked[r.Service] = now
	return d.allocator.Allocate(now, r, d.share(now, r.Service, v))
}

// share returns the part of a service's rates for which this gateway is named: its
// own, and those of the others that name it.
func (d *Division) share(now time.Time, service string, v View) float64 {
	n := 1
	for _, o := range d.named {
		if o.holders[service] == d.self && now.Sub(o.at) < namingTimeout {
			n++
		}
	}
	d.observeMembers(now, v)
	return min(float64(n)/float64(max(d.members(v), 1)), 1)
}

// Expire drops what is out of date. The caller calls it about once a second.
func (d *Division) Expire(now time.Time) {
	d.allocator.Expire(now)
	maps.DeleteFunc(d.named, func(_ string, n naming) bool { return now.Sub(n.at) > namingTimeout })
	maps.DeleteFunc(d.avoided, func(_ string, until time.Time) bool { return !now.Before(until) })
	maps.DeleteFunc(d.asked, func(_ string, at time.Time) bool { return now.Sub(at) > askedPeriod })
}
