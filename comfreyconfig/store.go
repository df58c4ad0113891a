package comfreyconfig

import (
	"fmt"
	"slices"

	"comfreyridge.example/comfreyridge/comfreyinvariant"
)

// Candidate is a revision whose content is whole and passed the check. Only
// Store.Check makes one.
type Candidate struct {
	revision Revision
	settings Settings
	blobs    map[Hash][]byte
	parsed   map[FileRef]parsed
	checked  bool
}

// Revision returns the revision that was checked.
func (c Candidate) Revision() Revision {
	return c.revision
}

// parsed is a file's document with the faults of the file alone.
type parsed struct {
	document document
	faults   []Fault
}

// Store holds the revision in force at one process with its content. It only
// moves forward, and only to content that passed the check. A Store is not
// safe for concurrent use.
type Store struct {
	current Candidate
	refused refusals
}

// NewStore returns a store with no revision in force.
func NewStore() *Store {
	return &Store{}
}

// Revision returns the revision in force; its number is 0 if there is none.
func (s *Store) Revision() Revision {
	return s.current.revision
}

// Settings returns the settings in force. They are empty if no revision is.
func (s *Store) Settings() Settings {
	return s.current.settings
}

// Blob returns the content of a file or manifest of the revision in force.
func (s *Store) Blob(h Hash) ([]byte, bool) {
	b, ok := s.current.blobs[h]
	return b, ok
}

// Missing returns the hashes of r that neither the store nor extra holds.
func (s *Store) Missing(r Revision, extra map[Hash][]byte) []Hash {
	var m []Hash
	seen := map[Hash]bool{}
	for _, f := range r.Files {
		_, ok := s.find(f.Hash, extra)
		if !ok && !seen[f.Hash] {
			seen[f.Hash] = true
			m = append(m, f.Hash)
		}
	}
	return m
}

// Check makes a candidate of r from the blobs in force and those in extra. The
// outcome is OutcomeCorrupt if a blob is missing or does not have its hash,
// OutcomeInvalid with all faults if the content has any, and OutcomeTaken if
// Take may follow. An invalid revision is remembered and not checked again.
func (s *Store) Check(r Revision, extra map[Hash][]byte) (Candidate, []Fault, Outcome) {
	if HashOf(r.manifest) != r.Hash {
		return Candidate{}, nil, OutcomeCorrupt
	}
	if s.refused.has(r.Hash) {
		return Candidate{}, nil, OutcomeInvalid
	}
	c := Candidate{revision: r, blobs: map[Hash][]byte{r.Hash: r.manifest}, parsed: map[FileRef]parsed{}}
	for _, f := range r.Files {
		b, ok := s.find(f.Hash, extra)
		if !ok || HashOf(b) != f.Hash {
			return Candidate{}, nil, OutcomeCorrupt
		}
		c.blobs[f.Hash] = b
		c.parsed[f] = s.parse(f, b)
	}
	m, faults := c.merge()
	settings, more := m.Check()
	faults = append(faults, more...)
	sortFaults(faults)
	if len(faults) > 0 {
		s.refused = s.refused.with(r.Hash)
		return Candidate{}, faults, OutcomeInvalid
	}
	c.settings = settings
	c.checked = true
	return c, nil, OutcomeActivated
}

// find returns a blob of the revision in force or of extra.
func (s *Store) find(h Hash, extra map[Hash][]byte) ([]byte, bool) {
	if b, ok := s.current.blobs[h]; ok {
		return b, true
	}
	b, ok := extra[h]
	return b, ok
}

// parse returns the document of a file, which is parsed only if it changed.
func (s *Store) parse(f FileRef, b []byte) parsed {
	if p, ok := s.current.parsed[f]; ok {
		return p
	}
	d, faults := parseFile(File{Name: f.Name, Content: b})
	return parsed{document: d, faults: faults}
}

// merge merges the parsed files in the order of their names.
func (c Candidate) merge() (Merged, []Fault) {
	d := document{}
	var faults []Fault
	for _, f := range c.revision.Files {
		p := c.parsed[f]
		faults = append(faults, p.faults...)
		d.merge(p.document)
	}
	return Merged{document: d}, faults
}

// Activate puts c into force if its number is above the one in force. All or
// nothing changes.
func (s *Store) Activate(c Candidate) Outcome {
	o := s.Compare(c.revision.Number, c.revision.Hash)
	if o != OutcomeActivated {
		return o
	}
	old := s.current.revision
	s.current = c
	s.assert(old)
	return OutcomeActivated
}

// Compare says what would become of a valid revision with that number and
// hash.
func (s *Store) Compare(number uint64, h Hash) Outcome {
	r := s.current.revision
	switch {
	case number > r.Number:
		return OutcomeActivated
	case number < r.Number:
		return OutcomeStale
	case h != r.Hash:
		return OutcomeConflict
	default:
		return OutcomeAlreadyActive
	}
}

// IsRefused reports whether a revision was found invalid before.
func (s *Store) IsRefused(h Hash) bool {
	return s.refused.has(h)
}

// assert checks the promises of the store after a change from old.
func (s *Store) assert(old Revision) {
	r := s.current.revision
	comfreyinvariant.Check(r.Number > old.Number, "config-never-reverts", "revision %d follows %d", r.Number, old.Number)
	comfreyinvariant.Check(r.isWhole(), "config-hash-matches-number", "revision %d has hash %s", r.Number, r.Hash.Short())
	comfreyinvariant.Check(s.current.checked, "config-in-force-is-checked", "revision %d was not checked", r.Number)
	comfreyinvariant.Check(!s.refused.has(r.Hash), "config-refused-stays-out", "revision %d with hash %s was refused", r.Number, r.Hash.Short())
}

// maxRefusals is how many refused revisions a process remembers.
const maxRefusals = 64

// refusals remembers the hashes of the latest invalid revisions.
type refusals []Hash

func (r refusals) has(h Hash) bool {
	return slices.Contains(r, h)
}

// with returns r with h added and the oldest hash dropped if there are many.
func (r refusals) with(h Hash) refusals {
	s := append(slices.Clone(r), h)
	if len(s) > maxRefusals {
		s = s[1:]
	}
	return s
}

// Blobs returns the blobs that a folder's revision refers to, by their hashes,
// without the manifest.
func Blobs(f Folder) map[Hash][]byte {
	m := map[Hash][]byte{}
	for _, i := range f {
		m[HashOf(i.Content)] = i.Content
	}
	return m
}

// Folder returns the files of the revision in force.
func (s *Store) Folder() Folder {
	var f Folder
	for _, i := range s.current.revision.Files {
		f = append(f, File{Name: i.Name, Content: s.current.blobs[i.Hash]})
	}
	return f
}

// String returns number and hash of the revision in force.
func (s *Store) String() string {
	return fmt.Sprintf("%d-%s", s.current.revision.Number, s.current.revision.Hash.Short())
}
