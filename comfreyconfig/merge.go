package comfreyconfig

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// Merged is a folder merged in the order of the names of its files. It is
// immutable.
type Merged struct {
	document document
}

// Merge merges the files of a folder in the order of their names: a later file
// may add entries, override keys of an entry and remove entries. It returns the
// faults of syntax, sections and keys; Merged.Check finds those of values.
func Merge(f Folder) (Merged, []Fault) {
	d := document{}
	var faults []Fault
	for _, i := range NewFolder(f...) {
		p, s := parseFile(i)
		faults = append(faults, s...)
		d.merge(p)
	}
	sortFaults(faults)
	return Merged{document: d}, faults
}

// WriteTo writes the merged configuration as YAML. A comment after each value
// gives the file and line that set it.
func (m Merged) WriteTo(w io.Writer) (int64, error) {
	var b strings.Builder
	for _, n := range slices.Sorted(maps.Keys(m.document)) {
		writeSection(&b, n, m.document[n], true)
	}
	k, err := io.WriteString(w, b.String())
	return int64(k), err
}

// writeSection writes one section. If sources is true, a comment after each
// value gives its file and line.
func writeSection(b *strings.Builder, name string, s section, sources bool) {
	if len(s) == 0 {
		return
	}
	fmt.Fprintf(b, "%s:\n", name)
	for _, n := range s.names() {
		e := s[n]
		indent := "  "
		if n != "" {
			fmt.Fprintf(b, "  %s:\n", n)
			indent = "    "
		}
		for _, v := range e.values {
			fmt.Fprintf(b, "%s%s: %s", indent, v.key, v)
			if sources {
				fmt.Fprintf(b, " # %s:%d", v.file, v.line)
			}
			b.WriteByte('\n')
		}
	}
}

// String returns v as YAML.
func (v value) String() string {
	if !v.isList {
		return quote(v.scalar)
	}
	var s []string
	for _, i := range v.list {
		s = append(s, quote(i))
	}
	return "[" + strings.Join(s, ", ") + "]"
}

// quote returns s as a YAML scalar, quoted unless it needs no quotes.
func quote(s string) string {
	plain := s != "" && strings.Trim(s, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-./_") == ""
	if plain && s[0] != '-' && s[0] != '.' {
		return s
	}
	return strconv.Quote(s)
}
