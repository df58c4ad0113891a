package comfreyconfig

import (
	"encoding/json"
	"fmt"
	"slices"
)

// maxFiles is the maximum number of files of a revision.
const maxFiles = 4096

// FileRef identifies one file of a revision and its content.
type FileRef struct {
	// Name is the base name of the file.
	Name string `json:"name"`
	// Hash is the hash of its content.
	Hash Hash `json:"hash"`
}

// Revision is one published version of a folder: a manifest that lists each
// file with the hash of its content, so that a change of one file transfers
// only the manifest and that file. Revisions are immutable values; the zero
// value stands for no revision.
type Revision struct {
	// Number orders revisions; the first is 1.
	Number uint64
	// Hash is the hash of the manifest; it covers the number and the content.
	Hash Hash
	// Files are the files in the order of their names.
	Files []FileRef
	// manifest is the text whose hash is Hash.
	manifest []byte
}

// manifest is the JSON form of a revision.
type manifest struct {
	Number uint64    `json:"number"`
	Files  []FileRef `json:"files"`
}

// NewRevision returns the revision of a folder with the given number. It panics
// if number is 0.
func NewRevision(number uint64, f Folder) Revision {
	if number == 0 {
		panic("comfreyconfig: expected a revision number of at least 1, got 0")
	}
	m := manifest{Number: number, Files: []FileRef{}}
	for _, i := range NewFolder(f...) {
		m.Files = append(m.Files, FileRef{Name: i.Name, Hash: HashOf(i.Content)})
	}
	b, err := json.Marshal(m)
	if err != nil {
		panic(fmt.Sprintf("comfreyconfig: encoding a manifest: %v", err))
	}
	return Revision{Number: number, Hash: HashOf(b), Files: m.Files, manifest: b}
}

// ParseManifest returns the revision that a manifest describes. It returns an
// error if the text is malformed, the number is 0, there are more than 4,096
// files, or the names are not in strictly ascending order.
func ParseManifest(b []byte) (Revision, error) {
	var m manifest
	if err := json.Unmarshal(b, &m); err != nil {
		return Revision{}, fmt.Errorf("comfreyconfig: manifest: expected a JSON object: %w", err)
	}
	if m.Number == 0 {
		return Revision{}, fmt.Errorf("comfreyconfig: manifest: expected a revision number of at least 1, got 0")
	}
	if len(m.Files) > maxFiles {
		return Revision{}, fmt.Errorf("comfreyconfig: manifest: got %d files, expected at most %d", len(m.Files), maxFiles)
	}
	for i := 1; i < len(m.Files); i++ {
		if m.Files[i-1].Name >= m.Files[i].Name {
			return Revision{}, fmt.Errorf("comfreyconfig: manifest: expected file names in strictly ascending order, got %q out of order", m.Files[i].Name)
		}
	}
	return Revision{Number: m.Number, Hash: HashOf(b), Files: m.Files, manifest: b}, nil
}

// Manifest returns the text of the manifest. The caller must not change it.
func (r Revision) Manifest() []byte {
	return r.manifest
}

// isConsistent reports whether the hash and the number of r match its manifest.
func (r Revision) isConsistent() bool {
	p, err := ParseManifest(r.manifest)
	return err == nil && p.Number == r.Number && p.Hash == r.Hash
}

// has reports whether a file of r has the hash h.
func (r Revision) has(h Hash) bool {
	return slices.ContainsFunc(r.Files, func(f FileRef) bool { return f.Hash == h })
}
