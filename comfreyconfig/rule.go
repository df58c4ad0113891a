package comfreyconfig

import (
	"cmp"
	"slices"
	"strings"
)

// maxOrder is the maximum value of Rule.Order.
const maxOrder = 1_000_000

// Rule is one routing rule. Rules are immutable values.
type Rule struct {
	// Name identifies the rule.
	Name string
	// Order decides which of several matching rules applies: the one with the
	// lowest order, and among equal orders the first by name. From 0 to
	// 1,000,000; 1,000 by default.
	Order int
	// Customer matches one customer; empty matches all.
	Customer string
	// Service matches the service that the caller named; empty matches all.
	Service string
	// PathPrefix matches the start of the request path; empty matches all.
	PathPrefix string
	// To is the service that serves the request; empty means the one that the
	// caller named.
	To string
	// DataCentres are tried in this order; empty means the nearest first.
	DataCentres []string
	// Spill allows requests to be sent to other data centres when the preferred
	// ones are overloaded; true by default.
	Spill bool
}

const defaultOrder = 1000

var ruleFields = []field[Rule]{
	intField("order", 0, maxOrder, func(r *Rule) *int { return &r.Order }),
	textField("customer", maxTextBytes, func(r *Rule) *string { return &r.Customer }),
	textField("service", maxTextBytes, func(r *Rule) *string { return &r.Service }),
	textField("path-prefix", maxTextBytes, func(r *Rule) *string { return &r.PathPrefix }),
	textField("to", maxTextBytes, func(r *Rule) *string { return &r.To }),
	listField("data-centres", "list the name of each data centre once", func(r *Rule) *[]string { return &r.DataCentres }),
	boolField("spill", func(r *Rule) *bool { return &r.Spill }),
}

// NewRule returns a rule that matches every request and changes nothing.
func NewRule(name string) Rule {
	return Rule{Name: name, Order: defaultOrder, Spill: true}
}

// compareRules orders rules by their order numbers and names.
func compareRules(a, b Rule) int {
	return cmp.Or(cmp.Compare(a.Order, b.Order), cmp.Compare(a.Name, b.Name))
}

// ruleKey selects the rules that name a customer and a service; either may be
// empty.
type ruleKey struct {
	customer string
	service  string
}

// ruleIndex holds the rules by the customer and service that they match, each
// list in order, so that a lookup does not scan the rules of other customers.
type ruleIndex map[ruleKey][]Rule

func newRuleIndex(rules []Rule) ruleIndex {
	x := ruleIndex{}
	for _, r := range slices.SortedFunc(slices.Values(rules), compareRules) {
		k := ruleKey{r.Customer, r.Service}
		x[k] = append(x[k], r)
	}
	return x
}

// find returns the first rule in order that matches.
func (x ruleIndex) find(customer, service, path string) (Rule, bool) {
	var best Rule
	found := false
	for _, k := range [...]ruleKey{{customer, service}, {customer, ""}, {"", service}, {"", ""}} {
		i := slices.IndexFunc(x[k], func(r Rule) bool { return strings.HasPrefix(path, r.PathPrefix) })
		if i < 0 {
			continue
		}
		if r := x[k][i]; !found || compareRules(r, best) < 0 {
			best, found = r, true
		}
	}
	return best, found
}
