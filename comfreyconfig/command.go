package comfreyconfig

import (
	"fmt"
	"io"
	"io/fs"
	"maps"
	"slices"
	"strings"
)

// Exit codes of the commands.
const (
	// ExitOK means that there are no faults and no differences.
	ExitOK = 0
	// ExitFindings means that there are faults or differences.
	ExitFindings = 1
	// ExitUnreadable means that a folder could not be read, or a result not
	// written.
	ExitUnreadable = 2
)

// RunCheck checks the folder f, writes one line for each fault and returns the
// exit code.
func RunCheck(w io.Writer, f fs.FS) int {
	d, err := LoadFolder(f)
	if err != nil {
		fmt.Fprintln(w, err)
		return ExitUnreadable
	}
	s, faults := Check(d)
	if len(faults) > 0 {
		writeFaults(w, faults)
		return ExitFindings
	}
	fmt.Fprintf(w, "ok: %d files, %d customers, %d services, %d routing rules\n", len(d), len(s.customers), len(s.services), len(s.rules))
	return ExitOK
}

// RunShow writes the merged folder as YAML, each value with the file and line
// that set it, and returns the exit code. The faults of a folder, if any, come
// first, as comments.
func RunShow(w io.Writer, f fs.FS) int {
	d, err := LoadFolder(f)
	if err != nil {
		fmt.Fprintln(w, err)
		return ExitUnreadable
	}
	m, faults := Merge(d)
	_, more := m.Check()
	faults = append(faults, more...)
	sortFaults(faults)
	for _, i := range faults {
		fmt.Fprintf(w, "# %s\n", i)
	}
	if _, err := m.WriteTo(w); err != nil {
		return ExitUnreadable
	}
	if len(faults) > 0 {
		return ExitFindings
	}
	return ExitOK
}

// RunDiff writes each value that differs between the merged folders a and b,
// and returns the exit code. Folders whose files merge to the same values do
// not differ.
func RunDiff(w io.Writer, a, b fs.FS) int {
	var lines [2]map[string]string
	for i, f := range []fs.FS{a, b} {
		d, err := LoadFolder(f)
		if err != nil {
			fmt.Fprintln(w, err)
			return ExitUnreadable
		}
		m, _ := Merge(d)
		lines[i] = m.values()
	}
	keys := maps.Clone(lines[0])
	maps.Copy(keys, lines[1])
	code := ExitOK
	for _, k := range slices.Sorted(maps.Keys(keys)) {
		if lines[0][k] == lines[1][k] {
			continue
		}
		code = ExitFindings
		writeDiffLine(w, k, "-", lines[0][k])
		writeDiffLine(w, k, "+", lines[1][k])
	}
	return code
}

func writeDiffLine(w io.Writer, key, sign, v string) {
	if v != "" {
		fmt.Fprintf(w, "%s %s: %s\n", sign, key, v)
	}
}

// values maps the path of each merged value to the value as YAML.
func (m Merged) values() map[string]string {
	s := map[string]string{}
	for n, c := range m.document {
		for k, e := range c {
			p := strings.TrimSuffix(joinPath(n, k), ".")
			if len(e.values) == 0 {
				s[p] = "{}"
			}
			for _, v := range e.values {
				s[joinPath(p, v.key)] = v.String()
			}
		}
	}
	return s
}

func writeFaults(w io.Writer, faults []Fault) {
	for _, i := range faults {
		fmt.Fprintln(w, i)
	}
	n := "faults"
	if len(faults) == 1 {
		n = "fault"
	}
	fmt.Fprintf(w, "%d %s\n", len(faults), n)
}
