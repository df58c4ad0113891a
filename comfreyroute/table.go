package comfreyroute

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Config holds the content of a Table.
type Config struct {
	// Version is the number of the configuration; it increases with each change.
	Version  uint64
	Routes   []Route
	Services []Service
	// Keys maps each key to the customer that owns it. Nil means that the
	// configuration has no customers and requires no keys.
	Keys   map[string]Customer
	Limits Limits
	// SharedKeys are the customers with a key that an earlier customer has too.
	SharedKeys []string
}

// Table looks up the route, the service and the customer of a request.
type Table struct {
	config   Config
	hosts    map[string][]Route
	services map[string]Service
	targets  map[string]Targets
}

// Targets are the shortest and the longest target latency of the streaming routes of a
// service; zero if it has none.
type Targets struct {
	Shortest, Longest time.Duration
}

// NewTable returns the table of a configuration, which must not change later.
func NewTable(c Config) *Table {
	t := &Table{config: c, hosts: map[string][]Route{}, services: map[string]Service{}, targets: map[string]Targets{}}
	for _, r := range c.Routes {
		h := normalizeHost(r.Host)
		t.hosts[h] = append(t.hosts[h], r)
		t.addTarget(r)
	}
	for _, r := range t.hosts {
		slices.SortStableFunc(r, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, s := range c.Services {
		t.services[s.Name] = s
	}
	return t
}

// addTarget adds the target latency of a route to those of its services.
func (t *Table) addTarget(r Route) {
	if r.Kind != KindStreaming || r.TargetLatency <= 0 {
		return
	}
	for _, s := range r.TrafficSplit {
		k, ok := t.targets[s.Service]
		if !ok || r.TargetLatency < k.Shortest {
			k.Shortest = r.TargetLatency
		}
		k.Longest = max(k.Longest, r.TargetLatency)
		t.targets[s.Service] = k
	}
}

// Targets returns the target latencies of the streaming routes of a service.
func (t *Table) Targets(service string) Targets {
	return t.targets[service]
}

// Version returns the number of the configuration.
func (t *Table) Version() uint64 {
	return t.config.Version
}

// Size holds the numbers of entries of a configuration.
type Size struct {
	Routes, Services, Keys int
}

// Size returns the number of routes, services and keys in the configuration.
func (t *Table) Size() Size {
	return Size{Routes: len(t.config.Routes), Services: len(t.config.Services), Keys: len(t.config.Keys)}
}

// Services returns the services. The slice must not be changed.
func (t *Table) Services() []Service {
	return t.config.Services
}

// Limits returns the limits on requests.
func (t *Table) Limits() Limits {
	return t.config.Limits
}

// Match returns the route of a host with the longest prefix of the path.
func (t *Table) Match(host, path string) (Route, bool) {
	for _, r := range t.hosts[normalizeHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Service returns the service with a name.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Customer returns the owner of a key.
func (t *Table) Customer(key string) (Customer, bool) {
	c, ok := t.config.Keys[key]
	return c, ok
}

// RequiresKey reports whether requests to r carry a customer's key.
func (t *Table) RequiresKey(r Route) bool {
	return t.config.Keys != nil && !r.IsPublic
}
