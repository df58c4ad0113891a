package comfreyconfig

import (
	"cmp"
	"fmt"
	"slices"
)

// Fault is an error in the configuration. Faults are immutable values.
type Fault struct {
	// File is the name of the file, empty if the fault concerns the whole
	// folder.
	File string `json:"file"`
	// Line counts from 1; 0 means that the fault concerns the whole file or
	// folder.
	Line int `json:"line"`
	// Key is the path of the value, such as "services.template.kind".
	Key string `json:"key"`
	// Message describes the error, with the value where that helps.
	Message string `json:"message"`
	// Fix describes the expected value or the correction.
	Fix string `json:"mend"`
}

// String returns the fault as one line: file, line, key, message and fix.
func (f Fault) String() string {
	s := f.File
	if f.Line > 0 {
		s = fmt.Sprintf("%s:%d", f.File, f.Line)
	}
	if f.Key != "" {
		s += ": " + f.Key
	}
	return fmt.Sprintf("%s: %s; %s", s, f.Message, f.Fix)
}

// sortFaults orders faults by file, line and key.
func sortFaults(s []Fault) {
	slices.SortStableFunc(s, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Key, b.Key))
	})
}
