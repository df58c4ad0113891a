package comfreyfleet

import (
	"cmp"
	"slices"
	"time"
)

// View is an immutable snapshot of the host list. The zero value is an empty
// list older than any other.
type View struct {
	version uint64
	at      time.Time
	members []Member
}

// NewView returns the list that the platform published as version at time at.
// The members are copied; of two with the same host the last one is kept.
func NewView(version uint64, at time.Time, members []Member) View {
	s := slices.Clone(members)
	slices.SortStableFunc(s, func(a, b Member) int { return cmp.Compare(a.Host, b.Host) })
	n := 0
	for i, m := range s {
		if i+1 < len(s) && s[i+1].Host == m.Host {
			continue
		}
		s[n] = m
		n++
	}
	return View{version: version, at: at, members: s[:n]}
}

// Version returns the version number that the platform gave the list.
func (v View) Version() uint64 {
	return v.version
}

// At returns when the platform published the list.
func (v View) At() time.Time {
	return v.at
}

// Members returns a copy of the members, sorted by host.
func (v View) Members() []Member {
	return slices.Clone(v.members)
}

// Len returns the number of members.
func (v View) Len() int {
	return len(v.members)
}

// Find returns the member with the given host.
func (v View) Find(host string) (Member, bool) {
	i, ok := slices.BinarySearchFunc(v.members, host, func(m Member, h string) int { return cmp.Compare(m.Host, h) })
	if !ok {
		return Member{}, false
	}
	return v.members[i], true
}

// Difference lists what changed between two views.
type Difference struct {
	// Added holds the members that are only in the newer view.
	Added []Member
	// Removed holds the members that are only in the older view.
	Removed []Member
	// Changed holds the members that differ, as they are in the newer view.
	Changed []Member
}

// Diff returns what changed from the older view to v.
func (v View) Diff(older View) Difference {
	var d Difference
	for _, m := range v.members {
		o, ok := older.Find(m.Host)
		switch {
		case !ok:
			d.Added = append(d.Added, m)
		case o != m:
			d.Changed = append(d.Changed, m)
		}
	}
	for _, m := range older.members {
		if _, ok := v.Find(m.Host); !ok {
			d.Removed = append(d.Removed, m)
		}
	}
	return d
}
