package comfreyroute

import (
	"cmp"
	"slices"
	"strings"
)

// Config holds the content of a Table.
type Config struct {
	// Version numbers the configuration; it grows with each change.
	Version  uint64
	Routes   []Route
	Services []Service
	// Keys maps each key of each customer to its owner. Nil means that the
	// configuration knows no customers and asks for no key.
	Keys   map[string]Customer
	Limits Limits
}

// Table finds the route, the service and the customer of a request.
type Table struct {
	config   Config
	hosts    map[string][]Route
	services map[string]Service
}

// NewTable returns the table of a configuration, which must not change later.
func NewTable(c Config) *Table {
	t := &Table{config: c, hosts: map[string][]Route{}, services: map[string]Service{}}
	for _, r := range c.Routes {
		h := hostOnly(r.Host)
		t.hosts[h] = append(t.hosts[h], r)
	}
	for _, r := range t.hosts {
		slices.SortStableFunc(r, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, s := range c.Services {
		t.services[s.Name] = s
	}
	return t
}

// Version returns the number of the configuration.
func (t *Table) Version() uint64 {
	return t.config.Version
}

// Size says how much a configuration holds.
type Size struct {
	Routes, Services, Keys int
}

// Size returns how many routes, services and keys the configuration holds.
func (t *Table) Size() Size {
	return Size{Routes: len(t.config.Routes), Services: len(t.config.Services), Keys: len(t.config.Keys)}
}

// Limits returns what callers may send.
func (t *Table) Limits() Limits {
	return t.config.Limits
}

// Match returns the route of the longest prefix that begins the path.
func (t *Table) Match(host, path string) (Route, bool) {
	for _, r := range t.hosts[hostOnly(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Service returns the service of a name.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Customer returns the owner of a key.
func (t *Table) Customer(key string) (Customer, bool) {
	c, ok := t.config.Keys[key]
	return c, ok
}

// NeedsKey reports whether requests to r carry a customer's key.
func (t *Table) NeedsKey(r Route) bool {
	return t.config.Keys != nil && !r.IsPublic
}
