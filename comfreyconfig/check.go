package comfreyconfig

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Check merges the files of a folder and checks the result. The settings are
// valid only if there are no faults. All faults are returned at once, in the
// order of files and lines.
func Check(f Folder) (Settings, []Fault) {
	m, faults := Merge(f)
	s, more := m.Check()
	faults = append(faults, more...)
	sortFaults(faults)
	return s, faults
}

// Check returns the typed settings of m with all faults in values and in
// references between entries. The settings are valid only if there are no
// faults.
func (m Merged) Check() (Settings, []Fault) {
	c := &checker{document: m.document}
	s := Settings{
		customers:   buildEntries(c, sectionCustomers, customerFields, func(n string, _ entry) Customer { return NewCustomer(n) }),
		services:    buildEntries(c, sectionServices, serviceFields, defaultService),
		upstreams:   buildEntries(c, sectionUpstreams, upstreamFields, func(n string, _ entry) Upstream { return Upstream{Service: n} }),
		dataCentres: buildEntries(c, sectionDataCentres, dataCentreFields, func(n string, _ entry) DataCentre { return DataCentre{Name: n} }),
		rules:       buildEntries(c, sectionRouting, ruleFields, func(n string, _ entry) Rule { return NewRule(n) }),
		limits:      NewLimits(),
	}
	if e, ok := c.document[sectionLimits][""]; ok {
		c.faults = append(c.faults, applyFields(&s.limits, sectionLimits, e, limitsFields)...)
	}
	s.index = newRuleIndex(slices.Collect(maps.Values(s.rules)))
	s.byKeyHash = c.checkKeys(s)
	c.checkServices(s)
	c.checkUpstreams(s)
	c.checkRules(s)
	sortFaults(c.faults)
	return s, c.faults
}

// checker checks a merged document and collects its faults.
type checker struct {
	document document
	faults   []Fault
}

// defaultService returns a service with the defaults of the kind that the entry
// sets.
func defaultService(name string, e entry) Service {
	k := ServiceKindGeneration
	if v, _ := e.values.get("kind"); v.scalar == ServiceKindPlain.String() {
		k = ServiceKindPlain
	}
	return NewService(name, k)
}

// buildEntries returns the typed entries of one section. start returns an entry
// with its default values.
func buildEntries[T any](c *checker, name string, fields []field[T], start func(string, entry) T) map[string]T {
	m := map[string]T{}
	for k, e := range c.document[name] {
		t := start(k, e)
		c.faults = append(c.faults, applyFields(&t, joinPath(name, k), e, fields)...)
		m[k] = t
	}
	return m
}

// fault adds a fault at the line of a key, or at the line of its entry if the
// key is not set.
func (c *checker) fault(sectionName, entryName, key, message, fix string) {
	e := c.document[sectionName][entryName]
	f := Fault{File: e.file, Line: e.line, Key: joinPath(joinPath(sectionName, entryName), key), Message: message, Fix: fix}
	if v, ok := e.values.get(key); ok {
		f.File, f.Line = v.file, v.line
	}
	c.faults = append(c.faults, f)
}

// checkKeys returns the names of customers by the hashes of their keys, and
// reports malformed hashes and hashes that two customers share.
func (c *checker) checkKeys(s Settings) map[string]string {
	m := map[string]string{}
	for _, u := range s.Customers() {
		for _, h := range u.KeyHashes {
			if !isKeyHash(h) {
				c.fault(sectionCustomers, u.Name, "key-hashes", "an item is not a SHA-256 hash in lower-case hex", "write the 64 characters that printf %s \"$KEY\" | sha256sum prints")
				continue
			}
			if n, ok := m[h]; ok && n != u.Name {
				c.fault(sectionCustomers, u.Name, "key-hashes", fmt.Sprintf("the key with hash %s… also belongs to customer %s", h[:8], n), "use a different key for each customer")
				continue
			}
			m[h] = u.Name
		}
	}
	return m
}

// checkServices reports a missing service and inconsistent values within a
// service.
func (c *checker) checkServices(s Settings) {
	if len(s.services) == 0 {
		c.faults = append(c.faults, Fault{Key: sectionServices, Message: "no service is defined", Fix: "add at least one entry to the section services"})
	}
	for _, v := range s.Services() {
		e := c.document[sectionServices][v.Name]
		if v.Kind == ServiceKindPlain {
			c.checkPlainService(v.Name, e)
			continue
		}
		if v.DefaultMaxTokens > v.CapacityTokens {
			c.fault(sectionServices, v.Name, "max-tokens", fmt.Sprintf("%d exceeds capacity-tokens, %d", v.DefaultMaxTokens, v.CapacityTokens), "lower it, or raise capacity-tokens")
		}
		if v.FirstTokenLimit > v.Deadline {
			c.fault(sectionServices, v.Name, "first-token", fmt.Sprintf("%v exceeds the deadline, %v", v.FirstTokenLimit, v.Deadline), "lower it, or raise deadline")
		}
	}
}

// checkPlainService reports keys that are valid only for a generation service.
func (c *checker) checkPlainService(name string, e entry) {
	for _, k := range []string{"preset", "capacity-tokens", "max-tokens", "first-token"} {
		if _, ok := e.values.get(k); ok {
			c.fault(sectionServices, name, k, "the key is not valid for a service of kind plain", "remove it, or set kind: generation")
		}
	}
}

// checkUpstreams reports upstreams of unknown services and generation services
// without a model.
func (c *checker) checkUpstreams(s Settings) {
	for _, n := range slices.Sorted(maps.Keys(s.upstreams)) {
		v, ok := s.services[n]
		if !ok {
			c.fault(sectionUpstreams, n, "", fmt.Sprintf("unknown service %q", n), "use one of: "+listNames(s.services))
			continue
		}
		if v.Kind == ServiceKindGeneration && s.upstreams[n].Model == "" {
			c.fault(sectionUpstreams, n, "model", "the model is missing", "set the name of the model that the engines load")
		}
	}
}

// checkRules reports rules that refer to undefined entries or have inconsistent
// values.
func (c *checker) checkRules(s Settings) {
	for _, r := range s.Rules() {
		checkName(c, r.Name, "customer", r.Customer, s.customers)
		checkName(c, r.Name, "service", r.Service, s.services)
		checkName(c, r.Name, "to", r.To, s.services)
		for _, d := range r.DataCentres {
			checkName(c, r.Name, "data-centres", d, s.dataCentres)
		}
		if !r.Spill && len(r.DataCentres) == 0 {
			c.fault(sectionRouting, r.Name, "spill", "spill is false without data-centres", "set data-centres, or remove spill")
		}
		if r.PathPrefix != "" && !strings.HasPrefix(r.PathPrefix, "/") {
			c.fault(sectionRouting, r.Name, "path-prefix", fmt.Sprintf("%q does not start with '/'", r.PathPrefix), "write a path such as /v1/services/NAME")
		}
	}
}

// checkName reports a rule whose key refers to an undefined entry.
func checkName[T any](c *checker, rule, key, name string, known map[string]T) {
	if name == "" {
		return
	}
	if _, ok := known[name]; !ok {
		c.fault(sectionRouting, rule, key, fmt.Sprintf("%q is not defined", name), "use one of: "+listNames(known))
	}
}

// maxListedNames bounds the number of names that a fault lists as valid.
const maxListedNames = 12

func listNames[T any](m map[string]T) string {
	s := slices.Sorted(maps.Keys(m))
	if len(s) == 0 {
		return "(none is defined)"
	}
	if len(s) > maxListedNames {
		s = append(s[:maxListedNames], "…")
	}
	return strings.Join(s, ", ")
}
