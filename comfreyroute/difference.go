package comfreyroute

import (
	"cmp"
	"crypto/sha256"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Difference is one value in which a configuration differs from the one in force.
type Difference struct {
	// Entry is the kind of the entry and Name its name.
	Entry, Name string
	// Field is empty for an entry that only one of the two has.
	Field Field
	// Before and After are the values; empty where there is no such entry.
	Before, After string
}

// Compare returns in what a configuration differs from the one in force, by kind of
// entry and name. Keys are counted and not shown.
func Compare(inForce, next *Table) []Difference {
	var l []Difference
	if a, b := inForce.config.Version, next.config.Version; a != b {
		l = append(l, Difference{EntryConfiguration, "", FieldVersion, fmt.Sprint(a), fmt.Sprint(b)})
	}
	l = append(l, compareEntries(EntryLimits, map[string]values{"": limitValues(inForce.config.Limits)}, map[string]values{"": limitValues(next.config.Limits)})...)
	l = append(l, compareEntries(EntryRoute, byName(inForce.config.Routes, routeValues), byName(next.config.Routes, routeValues))...)
	l = append(l, compareEntries(EntryService, byName(inForce.config.Services, serviceValues), byName(next.config.Services, serviceValues))...)
	return append(l, compareEntries(EntryCustomer, customerValues(inForce), customerValues(next))...)
}

// values are the values of an entry, by field.
type values map[Field]string

func byName[T any](l []T, f func(T) (name string, v values)) map[string]values {
	m := map[string]values{}
	for _, x := range l {
		n, v := f(x)
		m[n] = v
	}
	return m
}

func compareEntries(entry string, before, after map[string]values) []Difference {
	var l []Difference
	names := maps.Clone(before)
	maps.Copy(names, after)
	for _, n := range slices.Sorted(maps.Keys(names)) {
		a, wasThere := before[n]
		b, isThere := after[n]
		switch {
		case !wasThere:
			l = append(l, Difference{Entry: entry, Name: n, After: b.String()})
		case !isThere:
			l = append(l, Difference{Entry: entry, Name: n, Before: a.String()})
		default:
			for _, f := range slices.Sorted(maps.Keys(a)) {
				if a[f] != b[f] {
					l = append(l, Difference{entry, n, f, a[f], b[f]})
				}
			}
		}
	}
	return l
}

// String returns the values that say most of an entry.
func (v values) String() string {
	var l []string
	for _, f := range []Field{FieldHost, FieldPrefix, FieldService, FieldSlots, FieldKeys} {
		if v[f] != "" {
			l = append(l, string(f)+" "+v[f])
		}
	}
	return strings.Join(l, ", ")
}

func limitValues(l Limits) values {
	return values{
		FieldHeaderSize: fmt.Sprint(l.HeaderSizeBytes), FieldBodySize: fmt.Sprint(l.BodySizeBytes),
		FieldHeaderTimeout: l.HeaderTimeout.String(), FieldIdleTimeout: l.IdleTimeout.String(),
	}
}

func routeValues(r Route) (string, values) {
	var split []string
	for _, s := range r.TrafficSplit {
		split = append(split, fmt.Sprintf("%s %v", s.Service, s.Weight))
	}
	return r.Name, values{
		FieldHost: r.Host, FieldPrefix: r.Prefix, FieldService: strings.Join(split, ", "), FieldKind: r.Kind.String(),
		FieldTimeout: r.Timeout.String(), FieldTargetLatency: r.TargetLatency.String(), FieldTargetPause: r.TargetPause.String(),
		FieldMaxAttempts: fmt.Sprint(r.MaxAttempts), FieldPriority: fmt.Sprint(r.Priority), FieldPublic: fmt.Sprint(r.IsPublic), FieldHomes: r.Homes.String(),
	}
}

func serviceValues(s Service) (string, values) {
	return s.Name, values{
		FieldConnections: fmt.Sprint(s.MaxConnections), FieldSlots: fmt.Sprint(s.Engine.Slots), FieldCapacity: fmt.Sprint(s.Engine.CapacityTokens),
		FieldWarmUpTime: s.WarmUpTime.String(), FieldWarmUpRate: fmt.Sprint(s.WarmUpPerSecond),
	}
}

// customerValues returns the values of the customers with keys. Which keys they are is
// part of them in a form that does not tell them.
func customerValues(t *Table) map[string]values {
	keys := map[string][]string{}
	m := map[string]values{}
	for k, c := range t.config.Keys {
		keys[c.Name] = append(keys[c.Name], k)
		priority := "that of the route"
		if c.HasPriority {
			priority = fmt.Sprint(c.Priority)
		}
		m[c.Name] = values{FieldPriority: priority, FieldHomes: c.Homes.String()}
	}
	for n, l := range keys {
		slices.SortFunc(l, cmp.Compare[string])
		m[n][FieldKeys] = describeKeys(l)
	}
	return m
}

// describeKeys tells how many keys there are, and whether they are the same as others.
func describeKeys(l []string) string {
	h := sha256.Sum256([]byte(strings.Join(l, "\n")))
	return fmt.Sprintf("%d (set %x)", len(l), h[:3])
}
