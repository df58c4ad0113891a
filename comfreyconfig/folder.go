// Package comfreyconfig defines the operators' configuration: a folder of
// small YAML files that are merged in the order of their names, the typed
// settings that they make, and the revisions by which a folder comes into
// force at every process.
package comfreyconfig

import (
	"fmt"
	"io/fs"
	"path"
	"regexp"
	"slices"
	"strings"
)

// MaxFileSizeBytes is the largest file of a folder. It is the largest value
// that the platform's service holds.
const MaxFileSizeBytes = 1_000_000

// fileName is the form of the name of a file.
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

// LoadFolder reads the files of f that end in ".yaml" or ".yml"; Check reports
// the latter. Other files and subfolders are left alone. It returns an error
// if f cannot be read or holds no such file.
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
		return nil, fmt.Errorf("comfreyconfig: the folder holds no .yaml file")
	}
	return NewFolder(files...), nil
}

// nameFaults reports a file whose name or size is out of range.
func (f File) nameFaults() []Fault {
	var s []Fault
	if !fileName.MatchString(f.Name) {
		s = append(s, Fault{
			File: f.Name, Message: "the file name is not of the expected form",
			Fix: "use lower-case letters, digits, '-' and '.', at most 100, and the ending .yaml",
		})
	}
	if len(f.Content) > MaxFileSizeBytes {
		s = append(s, Fault{
			File: f.Name, Message: fmt.Sprintf("the file holds %d bytes", len(f.Content)),
			Fix: fmt.Sprintf("split it into files of at most %d bytes", MaxFileSizeBytes),
		})
	}
	return s
}
