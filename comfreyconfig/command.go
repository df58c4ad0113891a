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
	// ExitOK means that there is nothing to report.
	ExitOK = 0
	// ExitFindings means that there are faults or differences.
	ExitFindings = 1
	// ExitUnreadable means that a folder could not be read.
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
// that set it, and returns the exit code. A folder with faults is shown too,
// the faults first as comments.
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
// and returns the exit code. Files that merge to the same values do not
// differ.
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
		writeDifference(w, k, "-", lines[0][k])
		writeDifference(w, k, "+", lines[1][k])
	}
	return code
}

func writeDifference(w io.Writer, key, sign, v string) {
	if v != "" {
		fmt.Fprintf(w, "%s %s: %s\n", sign, key, v)
	}
}

// values returns the merged values by their paths, each as YAML.
func (m Merged) values() map[string]string {
	s := map[string]string{}
	for n, c := range m.document {
		for k, e := range c {
			p := strings.TrimSuffix(join(n, k), ".")
			if len(e.values) == 0 {
				s[p] = "{}"
			}
			for _, v := range e.values {
				s[join(p, v.key)] = v.String()
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
