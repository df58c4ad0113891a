package comfreyroute

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Severity says how bad a finding is.
type Severity string

// The severities. An error must be mended before a configuration is sent; a warning is
// an entry without an effect, or limits that contradict each other.
const (
	SeverityError   Severity = "error"
	SeverityWarning Severity = "warning"
)

// Field names a value of an entry.
type Field string

// The fields of the entries that a review can name.
const (
	FieldName          Field = "name"
	FieldHost          Field = "host"
	FieldPrefix        Field = "prefix"
	FieldService       Field = "service"
	FieldTimeout       Field = "timeout"
	FieldTargetLatency Field = "target-latency"
	FieldTargetPause   Field = "target-pause"
	FieldMaxAttempts   Field = "max-attempts"
	FieldHomes         Field = "homes"
	FieldPriority      Field = "priority"
	FieldPublic        Field = "public"
	FieldKind          Field = "kind"
	FieldKeys          Field = "keys"
	FieldConnections   Field = "max-connections"
	FieldSlots         Field = "slots"
	FieldCapacity      Field = "capacity-tokens"
	FieldWarmUpTime    Field = "warm-up-time"
	FieldWarmUpRate    Field = "warm-up-per-second"
	FieldHeaderTimeout Field = "header-timeout"
	FieldIdleTimeout   Field = "idle-timeout"
	FieldHeaderSize    Field = "header-size"
	FieldBodySize      Field = "body-size"
	FieldVersion       Field = "version"
)

// Kinds of entries.
const (
	EntryConfiguration = "configuration"
	EntryRoute         = "route"
	EntryService       = "service"
	EntryCustomer      = "customer"
	EntryLimits        = "limits"
)

// Finding is something that an operator should know of a configuration before it is
// sent.
type Finding struct {
	Severity Severity
	// Entry is the kind of the entry and Name its name; empty for the configuration.
	Entry, Name string
	Field       Field
	// Got is the value, and Expected what was expected of it.
	Got, Expected string
}

// reviewer collects findings.
type reviewer struct {
	t        *Table
	findings []Finding
}

// Review returns what is wrong with a configuration: values that serve nobody, entries
// that can never match, and limits that contradict each other. The findings are in the
// order of the entries.
func Review(t *Table) []Finding {
	r := &reviewer{t: t}
	r.reviewLimits()
	r.reviewRoutes()
	r.reviewServices()
	r.reviewCustomers()
	return r.findings
}

func (r *reviewer) add(s Severity, entry, name string, f Field, got any, expected string) {
	r.findings = append(r.findings, Finding{s, entry, name, f, fmt.Sprint(got), expected})
}

func (r *reviewer) reviewLimits() {
	l := r.t.config.Limits
	if l.HeaderSizeBytes <= 0 {
		r.add(SeverityWarning, EntryLimits, "", FieldHeaderSize, l.HeaderSizeBytes, "a size above 0; the default is used")
	}
	if l.BodySizeBytes <= 0 {
		r.add(SeverityWarning, EntryLimits, "", FieldBodySize, l.BodySizeBytes, "a size above 0; the default is used")
	}
	if l.HeaderTimeout > 0 && l.IdleTimeout > 0 && l.IdleTimeout < l.HeaderTimeout {
		r.add(SeverityWarning, EntryLimits, "", FieldIdleTimeout, l.IdleTimeout, "at least the time for headers, "+l.HeaderTimeout.String())
	}
}

func (r *reviewer) reviewRoutes() {
	if len(r.t.config.Routes) == 0 {
		r.add(SeverityError, EntryConfiguration, "", FieldName, "no routes", "at least one route")
	}
	names, prefixes := map[string]bool{}, map[string]string{}
	for _, k := range r.t.config.Routes {
		if k.Name == "" || names[k.Name] {
			r.add(SeverityError, EntryRoute, k.Name, FieldName, k.Name, "a name of its own")
		}
		names[k.Name] = true
		place := normalizeHost(k.Host) + k.Prefix
		if other, ok := prefixes[place]; ok {
			r.add(SeverityError, EntryRoute, k.Name, FieldPrefix, k.Prefix, "a host and prefix of its own; route "+other+" matches first, so that this one never does")
		} else {
			prefixes[place] = k.Name
		}
		r.reviewRoute(k)
	}
}

func (r *reviewer) reviewRoute(k Route) {
	if k.Host == "" || k.Host != normalizeHost(k.Host) {
		r.add(SeverityWarning, EntryRoute, k.Name, FieldHost, k.Host, "a host in lower case and without a port")
	}
	if !strings.HasPrefix(k.Prefix, "/") || !strings.HasSuffix(k.Prefix, "/") {
		r.add(SeverityError, EntryRoute, k.Name, FieldPrefix, k.Prefix, "a prefix that begins and ends with a slash")
	}
	if _, ok := k.Select(0); !ok {
		r.add(SeverityError, EntryRoute, k.Name, FieldService, "none", "a service with a weight above 0")
	}
	for _, s := range k.TrafficSplit {
		if _, ok := r.t.services[s.Service]; !ok {
			r.add(SeverityError, EntryRoute, k.Name, FieldService, s.Service, "a service of the configuration")
		}
		if s.Weight <= 0 {
			r.add(SeverityWarning, EntryRoute, k.Name, FieldService, fmt.Sprintf("%s with weight %v", s.Service, s.Weight), "a weight above 0; the service receives nothing by this route")
		}
		if e := r.t.services[s.Service]; k.Kind == KindStreaming && e.Name != "" && !e.HasEngine {
			r.add(SeverityWarning, EntryRoute, k.Name, FieldService, s.Service, "a service with an engine for a route that streams")
		}
	}
	if k.Timeout > 0 && k.TargetLatency > k.Timeout {
		r.add(SeverityWarning, EntryRoute, k.Name, FieldTargetLatency, k.TargetLatency, "at most the timeout of the route, "+k.Timeout.String())
	}
	if k.Timeout > 0 && k.TargetPause > k.Timeout {
		r.add(SeverityWarning, EntryRoute, k.Name, FieldTargetPause, k.TargetPause, "at most the timeout of the route, "+k.Timeout.String())
	}
	if k.Kind != KindStreaming && k.TargetPause > 0 {
		r.add(SeverityWarning, EntryRoute, k.Name, FieldTargetPause, k.TargetPause, "none for a route that does not stream")
	}
	if k.Kind == KindNonIdempotent && k.MaxAttempts > 1 {
		r.add(SeverityWarning, EntryRoute, k.Name, FieldMaxAttempts, k.MaxAttempts, "1 for a request that may run once")
	}
	if k.IsPublic && k.Homes.isBound && r.t.config.Keys == nil {
		return
	}
	for _, c := range r.customers() {
		if h := k.Homes.With(c.Homes); h.isBound && len(h.regions) == 0 {
			r.add(SeverityWarning, EntryRoute, k.Name, FieldHomes, k.Homes, "a region in common with customer "+c.Name+", whose requests are all refused; its homes are "+c.Homes.String())
		}
	}
}

func (r *reviewer) reviewServices() {
	used := map[string]bool{}
	for _, k := range r.t.config.Routes {
		for _, s := range k.TrafficSplit {
			used[s.Service] = used[s.Service] || s.Weight > 0
		}
	}
	names := map[string]bool{}
	for _, s := range r.t.config.Services {
		if names[s.Name] || s.Name == "" {
			r.add(SeverityError, EntryService, s.Name, FieldName, s.Name, "a name of its own")
		}
		names[s.Name] = true
		if !used[s.Name] {
			r.add(SeverityWarning, EntryService, s.Name, FieldName, s.Name, "a route that sends requests to it")
		}
		if s.MaxConnections <= 0 {
			r.add(SeverityWarning, EntryService, s.Name, FieldConnections, s.MaxConnections, "a number above 0")
		}
		if s.HasEngine {
			r.reviewEngine(s)
		}
		if s.WarmUpPerSecond > 0 && s.WarmUpTime <= 0 {
			r.add(SeverityWarning, EntryService, s.Name, FieldWarmUpTime, s.WarmUpTime, "a time above 0, for which the rate of cold replicas holds")
		}
	}
}

func (r *reviewer) reviewEngine(s Service) {
	if s.Engine.Slots <= 0 {
		r.add(SeverityError, EntryService, s.Name, FieldSlots, s.Engine.Slots, "a number above 0")
	}
	if s.Engine.CapacityTokens <= 0 {
		r.add(SeverityError, EntryService, s.Name, FieldCapacity, s.Engine.CapacityTokens, "a number of tokens above 0")
	}
	if s.MaxConnections > 0 && s.MaxConnections < s.Engine.Slots {
		r.add(SeverityWarning, EntryService, s.Name, FieldConnections, s.MaxConnections, fmt.Sprintf("at least the slots of the engine, %d, each of which needs a connection", s.Engine.Slots))
	}
}

func (r *reviewer) reviewCustomers() {
	if r.t.config.Keys != nil && len(r.t.config.Keys) == 0 {
		r.add(SeverityWarning, EntryConfiguration, "", FieldKeys, "none", "a key; routes that are not public serve nobody")
	}
	for k := range r.t.config.Keys {
		if strings.TrimSpace(k) == "" {
			r.add(SeverityError, EntryCustomer, r.t.config.Keys[k].Name, FieldKeys, "an empty key", "a key")
		}
	}
	for _, n := range r.t.config.SharedKeys {
		r.add(SeverityError, EntryCustomer, n, FieldKeys, "a key of another customer", "keys of its own")
	}
}

// customers returns the customers with keys, sorted by name.
func (r *reviewer) customers() []Customer {
	byName := map[string]Customer{}
	for _, c := range r.t.config.Keys {
		byName[c.Name] = c
	}
	return slices.SortedFunc(maps.Values(byName), func(a, b Customer) int { return cmp.Compare(a.Name, b.Name) })
}

// HasErrors reports whether any finding is an error.
func HasErrors(l []Finding) bool {
	return slices.ContainsFunc(l, func(f Finding) bool { return f.Severity == SeverityError })
}
