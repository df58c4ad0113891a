// Package comfreyconfig defines the operators' configuration: a folder of small
// YAML files that are merged in the order of their names, the typed settings
// that result, and the numbered revisions by which a folder becomes active at
// every process.
package comfreyconfig

import (
	"fmt"
	"io/fs"
	"path"
	"regexp"
	"slices"
	"strings"
)

// MaxFileSizeBytes is the maximum size of a file of a folder. It equals the
// maximum size of a value in the platform's store.
const MaxFileSizeBytes = 1_000_000

// fileName matches valid file names.
var fileName = regexp.MustCompile(`^[0-9a-z][0-9a-z.-]{0,99}\.yaml$`)

// File is one file of a folder. Its content must not be changed.
type File struct {
	// Name is the base name, such as "10-services.yaml".
	Name string
	// Content is the YAML text.
	Content []byte
}

// Folder holds the files of a configuration in the order of their names.
type Folder []File

// NewFolder returns the folder of the given files, sorted by name.
func NewFolder(files ...File) Folder {
	f := slices.Clone(files)
	slices.SortStableFunc(f, func(a, b File) int { return strings.Compare(a.Name, b.Name) })
	return f
}

// LoadFolder reads the files of f whose names end in ".yaml" or ".yml"; Check
// reports the latter as faults. Other files and subfolders are ignored. It
// returns an error if f cannot be read or contains no such file.
func LoadFolder(f fs.FS) (Folder, error) {
	entries, err := fs.ReadDir(f, ".")
	if err != nil {
		return nil, fmt.Errorf("comfreyconfig: reading the folder: %w", err)
	}
	var files []File
	for _, e := range entries {
		x := path.Ext(e.Name())
		if e.IsDir() || (x != ".yaml" && x != ".yml") {
			continue
		}
		b, err := fs.ReadFile(f, e.Name())
		if err != nil {
			return nil, fmt.Errorf("comfreyconfig: reading a file: %w", err)
		}
		files = append(files, File{Name: e.Name(), Content: b})
	}
	if len(files) == 0 {
		return nil, fmt.Errorf("comfreyconfig: expected at least one .yaml file in the folder, found none")
	}
	return NewFolder(files...), nil
}

// nameFaults returns the faults of the name and the size of the file.
func (f File) nameFaults() []Fault {
	var s []Fault
	if !fileName.MatchString(f.Name) {
		s = append(s, Fault{
			File: f.Name, Message: "the file name is not valid",
			Fix: "use at most 100 lower-case letters, digits, '-' and '.', start with a letter or digit, and add the extension .yaml",
		})
	}
	if len(f.Content) > MaxFileSizeBytes {
		s = append(s, Fault{
			File: f.Name, Message: fmt.Sprintf("the file has %d bytes", len(f.Content)),
			Fix: fmt.Sprintf("split it into files of at most %d bytes", MaxFileSizeBytes),
		})
	}
	return s
}
