package comfreyconfig

import (
	"maps"
	"slices"
	"strings"
)

// Settings is a checked configuration. The zero value holds no customer and no
// service. Settings are immutable values and safe for concurrent use; callers
// must not change the slices that they get.
type Settings struct {
	customers   map[string]Customer
	byKeyHash   map[string]string
	services    map[string]Service
	upstreams   map[string]Upstream
	dataCentres map[string]DataCentre
	rules       map[string]Rule
	index       ruleIndex
	limits      Limits
}

// NewSettings returns settings without entries and with the default limits.
func NewSettings() Settings {
	return Settings{limits: NewLimits()}
}

// Route is the result of routing a request.
type Route struct {
	// Service serves the request.
	Service Service
	// Rule is the name of the rule that matched; empty if none did.
	Rule string
	// DataCentres are tried in this order; empty means the nearest first.
	DataCentres []string
	// Spill allows the request to be sent to other data centres when the
	// preferred ones are overloaded.
	Spill bool
}

// CustomerByKey returns the customer that a bearer key belongs to. The lookup
// uses the hash of the key, so its duration reveals nothing useful about a key.
func (s Settings) CustomerByKey(bearer string) (Customer, bool) {
	n, ok := s.byKeyHash[HashKey(bearer)]
	if !ok {
		return Customer{}, false
	}
	return s.Customer(n)
}

// Customer returns the customer of that name.
func (s Settings) Customer(name string) (Customer, bool) {
	c, ok := s.customers[name]
	return c, ok
}

// Customers returns all customers in the order of their names.
func (s Settings) Customers() []Customer {
	return sorted(s.customers)
}

// Service returns the service of that name.
func (s Settings) Service(name string) (Service, bool) {
	v, ok := s.services[name]
	return v, ok
}

// Services returns all services in the order of their names.
func (s Settings) Services() []Service {
	return sorted(s.services)
}

// Upstream returns the desired state of the upstreams of a service.
func (s Settings) Upstream(service string) (Upstream, bool) {
	u, ok := s.upstreams[service]
	return u, ok
}

// DataCentres returns all data centres in the order of their names.
func (s Settings) DataCentres() []DataCentre {
	return sorted(s.dataCentres)
}

// Rules returns all routing rules in the order in which they are tried.
func (s Settings) Rules() []Rule {
	return slices.SortedFunc(maps.Values(s.rules), compareRules)
}

// Limits returns the settings that apply to the whole fleet.
func (s Settings) Limits() Limits {
	return s.limits
}

// Route routes a request of a customer to a service with a path. The first
// matching rule in order applies; without one the request goes to the named
// service, nearest data centre first. It reports false if the service is
// unknown.
func (s Settings) Route(customer, service, path string) (Route, bool) {
	r, ok := s.index.find(customer, service, path)
	if !ok {
		v, ok := s.services[service]
		return Route{Service: v, Spill: true}, ok
	}
	to := service
	if r.To != "" {
		to = r.To
	}
	v, ok := s.services[to]
	return Route{Service: v, Rule: r.Name, DataCentres: r.DataCentres, Spill: r.Spill}, ok
}

// WithCustomer returns a copy of s in which c is set under its name.
func (s Settings) WithCustomer(c Customer) Settings {
	s.customers = with(s.customers, c.Name, c)
	s.byKeyHash = maps.Clone(s.byKeyHash)
	maps.DeleteFunc(s.byKeyHash, func(_, n string) bool { return n == c.Name })
	if s.byKeyHash == nil {
		s.byKeyHash = map[string]string{}
	}
	for _, h := range c.KeyHashes {
		s.byKeyHash[h] = c.Name
	}
	return s
}

// WithService returns a copy of s in which v is set under its name.
func (s Settings) WithService(v Service) Settings {
	s.services = with(s.services, v.Name, v)
	return s
}

// WithUpstream returns a copy of s in which u is set for its service.
func (s Settings) WithUpstream(u Upstream) Settings {
	s.upstreams = with(s.upstreams, u.Service, u)
	return s
}

// WithDataCentre returns a copy of s in which d is set under its name.
func (s Settings) WithDataCentre(d DataCentre) Settings {
	s.dataCentres = with(s.dataCentres, d.Name, d)
	return s
}

// WithRule returns a copy of s in which r is set under its name.
func (s Settings) WithRule(r Rule) Settings {
	s.rules = with(s.rules, r.Name, r)
	s.index = newRuleIndex(slices.Collect(maps.Values(s.rules)))
	return s
}

// WithLimits returns a copy of s with the limits l.
func (s Settings) WithLimits(l Limits) Settings {
	s.limits = l
	return s
}

// with returns a copy of m in which k maps to v.
func with[V any](m map[string]V, k string, v V) map[string]V {
	c := maps.Clone(m)
	if c == nil {
		c = map[string]V{}
	}
	c[k] = v
	return c
}

// sorted returns the values of m in the order of their keys.
func sorted[V any](m map[string]V) []V {
	s := make([]V, 0, len(m))
	for _, k := range slices.SortedFunc(maps.Keys(m), strings.Compare) {
		s = append(s, m[k])
	}
	return s
}
