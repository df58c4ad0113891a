package comfreyconfig

import (
	"encoding/json"
	"fmt"
	"slices"
)

// maxFiles is the largest number of files of a revision.
const maxFiles = 4096

// FileRef names one file of a revision and its content.
type FileRef struct {
	// Name is the base name of the file.
	Name string `json:"name"`
	// Hash is the hash of its content.
	Hash Hash `json:"hash"`
}

// Revision is one published state of a folder: a manifest that names each file
// and the hash of its content, so that a change of one file moves only the
// manifest and that file. Revisions are immutable values; the zero value
// stands for no revision.
type Revision struct {
	// Number orders revisions; the first is 1.
	Number uint64
	// Hash is the hash of the manifest, and with it of number and content.
	Hash Hash
	// Files are the files in the order of their names.
	Files []FileRef
	// manifest is the text that Hash belongs to.
	manifest []byte
}

// manifest is the JSON form of a revision.
type manifest struct {
	Number uint64    `json:"number"`
	Files  []FileRef `json:"files"`
}

// NewRevision returns the revision of a folder under a number. It panics if
// number is 0.
func NewRevision(number uint64, f Folder) Revision {
	if number == 0 {
		panic("comfreyconfig: revision numbers start at 1")
	}
	m := manifest{Number: number, Files: []FileRef{}}
	for _, i := range NewFolder(f...) {
		m.Files = append(m.Files, FileRef{Name: i.Name, Hash: HashOf(i.Content)})
	}
	b, err := json.Marshal(m)
	if err != nil {
		panic(fmt.Sprintf("comfreyconfig: writing a manifest: %v", err))
	}
	return Revision{Number: number, Hash: HashOf(b), Files: m.Files, manifest: b}
}

// ParseManifest returns the revision that a manifest describes. It returns an
// error if the text is malformed, the number is 0, or the names are not in
// strict order.
func ParseManifest(b []byte) (Revision, error) {
	var m manifest
	if err := json.Unmarshal(b, &m); err != nil {
		return Revision{}, fmt.Errorf("comfreyconfig: reading a manifest: %w", err)
	}
	if m.Number == 0 {
		return Revision{}, fmt.Errorf("comfreyconfig: a manifest has no number")
	}
	if len(m.Files) > maxFiles {
		return Revision{}, fmt.Errorf("comfreyconfig: a manifest names %d files, more than %d", len(m.Files), maxFiles)
	}
	for i := 1; i < len(m.Files); i++ {
		if m.Files[i-1].Name >= m.Files[i].Name {
			return Revision{}, fmt.Errorf("comfreyconfig: the files of a manifest are not in order at %q", m.Files[i].Name)
		}
	}
	return Revision{Number: m.Number, Hash: HashOf(b), Files: m.Files, manifest: b}, nil
}

// Manifest returns the text that the hash of r belongs to. The caller must not
// change it.
func (r Revision) Manifest() []byte {
	return r.manifest
}

// isWhole reports whether the hash and the number of r are those of its
// manifest.
func (r Revision) isWhole() bool {
	p, err := ParseManifest(r.manifest)
	return err == nil && p.Number == r.Number && p.Hash == r.Hash
}

// has reports whether a file of r has the hash h.
func (r Revision) has(h Hash) bool {
	return slices.ContainsFunc(r.Files, func(f FileRef) bool { return f.Hash == h })
}
