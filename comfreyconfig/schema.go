package comfreyconfig

import (
	"maps"
	"regexp"
	"slices"
	"strings"
)

// The sections of a folder.
const (
	sectionCustomers   = "customers"
	sectionDataCentres = "data-centres"
	sectionLimits      = "limits"
	sectionRouting     = "routing"
	sectionServices    = "services"
	sectionUpstreams   = "upstreams"
)

// removedKey is the key that removes an entry that an earlier file defined.
const removedKey = "removed"

// entryName matches valid entry names.
var entryName = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// sectionSchema defines the keys of a section.
type sectionSchema struct {
	// named reports whether the section holds named entries; otherwise it is a
	// single entry.
	named bool
	// isListByKey maps each valid key to whether its value is a list.
	isListByKey map[string]bool
}

// schema holds the sections by name.
var schema = map[string]sectionSchema{
	sectionCustomers:   newSchema(true, customerFields),
	sectionDataCentres: newSchema(true, dataCentreFields),
	sectionLimits:      newSchema(false, limitsFields),
	sectionRouting:     newSchema(true, ruleFields),
	sectionServices:    newSchema(true, serviceFields),
	sectionUpstreams:   newSchema(true, upstreamFields),
}

// newSchema returns the schema of a section with the given fields.
func newSchema[T any](named bool, fields []field[T]) sectionSchema {
	c := sectionSchema{named: named, isListByKey: map[string]bool{}}
	for _, f := range fields {
		c.isListByKey[f.key] = f.isList
	}
	if named {
		c.isListByKey[removedKey] = false
	}
	return c
}

// keys returns the known keys in order.
func (c sectionSchema) keys() []string {
	return slices.Sorted(maps.Keys(c.isListByKey))
}

// isList reports whether the value of a key is a list, and whether the key is
// known.
func (c sectionSchema) isList(key string) (isList, known bool) {
	isList, known = c.isListByKey[key]
	return isList, known
}

func listSections() string {
	return strings.Join(slices.Sorted(maps.Keys(schema)), ", ")
}
