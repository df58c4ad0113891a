package comfreyconfig

import (
	"fmt"
	"io"
	"io/fs"
	"slices"
)

// KeyManifest is the platform's key for the manifest.
const KeyManifest = "manifest"

// KeyBlob returns the platform's key for the content of a file.
func KeyBlob(h Hash) string {
	return "blob-" + h.String()
}

// RunPack checks the folder f and calls put for every value of its revision,
// with the key of the value at the platform: the files first, the manifest
// last, so that no reader sees a manifest whose files are missing. It returns
// the exit code. It does not call put if the folder has faults or number is 0.
func RunPack(w io.Writer, f fs.FS, number uint64, put func(key string, b []byte) error) int {
	d, err := LoadFolder(f)
	if err != nil {
		fmt.Fprintln(w, err)
		return ExitUnreadable
	}
	if _, faults := Check(d); len(faults) > 0 {
		writeFaults(w, faults)
		return ExitFindings
	}
	if number == 0 {
		fmt.Fprintln(w, "comfreyconfig: expected a revision number of at least 1, got 0")
		return ExitUnreadable
	}
	r := NewRevision(number, d)
	if err := r.put(d, put); err != nil {
		fmt.Fprintln(w, err)
		return ExitUnreadable
	}
	fmt.Fprintf(w, "revision %d with hash %s: %d files and the manifest\n", r.Number, r.Hash.Short(), len(r.Files))
	return ExitOK
}

// put calls put for the values of r, once for files with the same content.
func (r Revision) put(d Folder, put func(key string, b []byte) error) error {
	var done []Hash
	for _, i := range d {
		h := HashOf(i.Content)
		if slices.Contains(done, h) {
			continue
		}
		done = append(done, h)
		if err := put(KeyBlob(h), i.Content); err != nil {
			return fmt.Errorf("comfreyconfig: writing %s: %w", i.Name, err)
		}
	}
	if err := put(KeyManifest, r.manifest); err != nil {
		return fmt.Errorf("comfreyconfig: writing the manifest: %w", err)
	}
	return nil
}
