package comfreyconfig

import (
	"maps"
	"slices"
)

// value is one scalar or list of a file. Its key decides its type.
type value struct {
	file   string
	line   int
	scalar string
	list   []string
	isList bool
}

// entry is one named entry of a section.
type entry struct {
	file   string
	line   int
	fields map[string]value
}

// isRemoved reports whether the entry asks for its own removal.
func (e entry) isRemoved() bool {
	return e.fields[removedKey].scalar == "true"
}

// merge returns e with the fields of later set over its own.
func (e entry) merge(later entry) entry {
	f := maps.Clone(e.fields)
	maps.Copy(f, later.fields)
	return entry{file: e.file, line: e.line, fields: f}
}

// section holds entries by their names. A section without names holds one
// entry under the empty name.
type section map[string]entry

// names returns the names of the entries in order.
func (s section) names() []string {
	return slices.Sorted(maps.Keys(s))
}

// document holds sections by their names.
type document map[string]section

// merge sets the entries of later over those of d. An entry that asks for its
// removal is dropped; a file after that may define it anew.
func (d document) merge(later document) {
	for n, s := range later {
		if d[n] == nil {
			d[n] = section{}
		}
		for k, e := range s {
			d[n].set(k, e)
		}
	}
}

// set merges e over the entry of that name.
func (s section) set(name string, e entry) {
	if e.isRemoved() {
		delete(s, name)
		return
	}
	if old, ok := s[name]; ok {
		e = old.merge(e)
	}
	s[name] = e
}
