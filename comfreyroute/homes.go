package comfreyroute

import (
	"slices"
	"strings"
)

// Homes are the regions in which requests may be served. The zero value allows every
// region. Values are immutable.
type Homes struct {
	isBound bool
	regions []string
}

// NewHomes returns homes in some regions; without any, every region is allowed.
func NewHomes(regions ...string) Homes {
	if len(regions) == 0 {
		return Homes{}
	}
	l := slices.Clone(regions)
	slices.Sort(l)
	return Homes{isBound: true, regions: slices.Compact(l)}
}

// With returns the homes that are also among others: those of a route and of a customer
// both bind.
func (h Homes) With(other Homes) Homes {
	if !h.isBound {
		return other
	}
	if !other.isBound {
		return h
	}
	return Homes{isBound: true, regions: slices.DeleteFunc(slices.Clone(h.regions), func(r string) bool { return !other.Allow(r) })}
}

// Allow reports whether requests may be served in a region. A region that is not known,
// which is empty, is allowed only if every region is.
func (h Homes) Allow(region string) bool {
	return !h.isBound || region != "" && slices.Contains(h.regions, region)
}

// String returns the regions, separated by commas, "any" if every region is allowed and
// "none" if no region is.
func (h Homes) String() string {
	switch {
	case !h.isBound:
		return "any"
	case len(h.regions) == 0:
		return "none"
	default:
		return strings.Join(h.regions, ",")
	}
}
