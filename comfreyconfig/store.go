package comfreyconfig

import (
	"fmt"
	"slices"

	"comfreyridge.example/comfreyridge/comfreyinvariant"
)

// Candidate is a revision whose content is complete and has passed the check.
// Only Store.Check creates one.
type Candidate struct {
	revision Revision
	settings Settings
	blobs    map[Hash][]byte
	parsed   map[FileRef]parsedFile
	checked  bool
}

// Revision returns the revision that was checked.
func (c Candidate) Revision() Revision {
	return c.revision
}

// parsedFile is a file's document with the faults that were found in the file
// alone.
type parsedFile struct {
	document document
	faults   []Fault
}

// Store holds the active revision of one process and its content. The active
// revision changes only to one with a higher number whose content has passed
// the check. A Store is not safe for concurrent use.
type Store struct {
	current Candidate
	refused refusals
}

// NewStore returns a store without an active revision.
func NewStore() *Store {
	return &Store{}
}

// Revision returns the active revision; its number is 0 if there is none.
func (s *Store) Revision() Revision {
	return s.current.revision
}

// Settings returns the settings of the active revision. They are empty if there
// is none.
func (s *Store) Settings() Settings {
	return s.current.settings
}

// Blob returns the file content or manifest of the active revision with the
// hash h.
func (s *Store) Blob(h Hash) ([]byte, bool) {
	b, ok := s.current.blobs[h]
	return b, ok
}

// Missing returns the hashes of the files of r that neither the store nor extra
// contains, each once.
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

// Check checks r, whose blobs come from the active revision and from extra, and
// returns a candidate for Activate. The outcome is OutcomeCorrupt if a blob is
// missing or does not match its hash, OutcomeInvalid with all faults if the
// content has any, and OutcomeAccepted if Activate may follow. The hash of an
// invalid revision is recorded; when it is checked again, the outcome is
// OutcomeInvalid without faults.
func (s *Store) Check(r Revision, extra map[Hash][]byte) (Candidate, []Fault, Outcome) {
	if HashOf(r.manifest) != r.Hash {
		return Candidate{}, nil, OutcomeCorrupt
	}
	if s.refused.has(r.Hash) {
		return Candidate{}, nil, OutcomeInvalid
	}
	c := Candidate{revision: r, blobs: map[Hash][]byte{r.Hash: r.manifest}, parsed: map[FileRef]parsedFile{}}
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
	return c, nil, OutcomeAccepted
}

// find returns a blob of the active revision or of extra.
func (s *Store) find(h Hash, extra map[Hash][]byte) ([]byte, bool) {
	if b, ok := s.current.blobs[h]; ok {
		return b, true
	}
	b, ok := extra[h]
	return b, ok
}

// parse returns the document of a file. It parses the file only if the active
// revision does not contain it unchanged.
func (s *Store) parse(f FileRef, b []byte) parsedFile {
	if p, ok := s.current.parsed[f]; ok {
		return p
	}
	d, faults := parseFile(File{Name: f.Name, Content: b})
	return parsedFile{document: d, faults: faults}
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

// Activate makes c the active revision if its number is above that of the
// active one. The change is atomic.
func (s *Store) Activate(c Candidate) Outcome {
	o := s.Compare(c.revision.Number, c.revision.Hash)
	if o != OutcomeAccepted {
		return o
	}
	old := s.current.revision
	s.current = c
	s.checkInvariants(old)
	return OutcomeAccepted
}

// Compare returns the outcome that Activate would have for a valid revision
// with that number and hash.
func (s *Store) Compare(number uint64, h Hash) Outcome {
	r := s.current.revision
	switch {
	case number > r.Number:
		return OutcomeAccepted
	case number < r.Number:
		return OutcomeStale
	case h != r.Hash:
		return OutcomeConflict
	default:
		return OutcomeAlreadyActive
	}
}

// IsRefused reports whether the revision with the hash h is recorded as
// invalid.
func (s *Store) IsRefused(h Hash) bool {
	return s.refused.has(h)
}

// checkInvariants checks the invariants of the store after a change from old.
func (s *Store) checkInvariants(old Revision) {
	r := s.current.revision
	comfreyinvariant.Check(r.Number > old.Number, "config-never-reverts", "active revision %d replaced revision %d", r.Number, old.Number)
	comfreyinvariant.Check(r.isConsistent(), "config-hash-matches-number", "hash or number of active revision %d with hash %s does not match its manifest", r.Number, r.Hash.Short())
	comfreyinvariant.Check(s.current.checked, "config-in-force-is-checked", "active revision %d was not checked", r.Number)
	comfreyinvariant.Check(!s.refused.has(r.Hash), "config-refused-stays-out", "active revision %d with hash %s was refused before", r.Number, r.Hash.Short())
}

// maxRefusals is the maximum number of invalid revisions that a process
// records.
const maxRefusals = 64

// refusals holds the hashes of the most recent invalid revisions.
type refusals []Hash

func (r refusals) has(h Hash) bool {
	return slices.Contains(r, h)
}

// with returns r with h added and the oldest hash dropped if there are more
// than maxRefusals.
func (r refusals) with(h Hash) refusals {
	s := append(slices.Clone(r), h)
	if len(s) > maxRefusals {
		s = s[1:]
	}
	return s
}

// Blobs returns the contents of the files of a folder by their hashes, without
// the manifest.
func Blobs(f Folder) map[Hash][]byte {
	m := map[Hash][]byte{}
	for _, i := range f {
		m[HashOf(i.Content)] = i.Content
	}
	return m
}

// Folder returns the files of the active revision.
func (s *Store) Folder() Folder {
	var f Folder
	for _, i := range s.current.revision.Files {
		f = append(f, File{Name: i.Name, Content: s.current.blobs[i.Hash]})
	}
	return f
}

// String returns the number and the short hash of the active revision.
func (s *Store) String() string {
	return fmt.Sprintf("%d-%s", s.current.revision.Number, s.current.revision.Hash.Short())
}
