package comfreyconfig

import (
	"cmp"
	"maps"
	"slices"
)

// value is a scalar or list in a file, as text. The schema gives its type by
// its key.
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
	values values
}

// values holds the values of an entry, sorted by key. A sorted slice takes less
// than half of the memory of a map this small.
type values []keyValue

// keyValue is a value with its key.
type keyValue struct {
	key string
	value
}

// find returns the index at which the key is or would be inserted, and whether
// it is set.
func (v values) find(key string) (int, bool) {
	return slices.BinarySearchFunc(v, key, func(x keyValue, k string) int { return cmp.Compare(x.key, k) })
}

// get returns the value of a key.
func (v values) get(key string) (value, bool) {
	i, ok := v.find(key)
	if !ok {
		return value{}, false
	}
	return v[i].value, true
}

// with returns a copy of v in which key has the value x.
func (v values) with(key string, x value) values {
	i, ok := v.find(key)
	if ok {
		v = slices.Clone(v)
		v[i].value = x
		return v
	}
	return slices.Insert(v[:len(v):len(v)], i, keyValue{key, x})
}

// isRemoved reports whether the entry has the key "removed".
func (e entry) isRemoved() bool {
	_, ok := e.values.get(removedKey)
	return ok
}

// merge returns e overridden by the values of later.
func (e entry) merge(later entry) entry {
	for _, v := range later.values {
		e.values = e.values.with(v.key, v.value)
	}
	return e
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

// merge merges the entries of later into d. An entry with the key "removed" is
// deleted; a later file may define it again.
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

// set merges e into the entry of that name, or deletes that entry if e is
// removed.
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
