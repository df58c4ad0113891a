package comfreyconfig_test

import (
	"bytes"
	"io/fs"
	"reflect"
	"strings"
	"testing"

	"comfreyridge.example/comfreyridge"
	"comfreyridge.example/comfreyridge/comfreyconfig"
)

// FuzzFolder asserts that the check does not panic on any folder, and that the
// merged output of a folder without faults parses to the same settings.
func FuzzFolder(f *testing.F) {
	err := fs.WalkDir(comfreyridge.Examples, ".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".yaml") {
			return err
		}
		b, err := fs.ReadFile(comfreyridge.Examples, path)
		f.Add(b, []byte(base))
		return err
	})
	if err != nil {
		f.Fatal(err)
	}
	for _, s := range []string{"limits: &a {grace: 1s}\nrouting: *a\n", "? [a]\n: b\n", "services:\n  a: {<<: x}\n", "!!binary x", "\xff\x00", "a:\n\t- b"} {
		f.Add([]byte(s), []byte(base))
	}
	f.Fuzz(func(t *testing.T, a, b []byte) {
		d := comfreyconfig.NewFolder(comfreyconfig.File{Name: "10-a.yaml", Content: a}, comfreyconfig.File{Name: "20-b.yaml", Content: b})
		s, faults := comfreyconfig.Check(d)
		if len(faults) > 0 {
			return
		}
		m, _ := comfreyconfig.Merge(d)
		var w bytes.Buffer
		if _, err := m.WriteTo(&w); err != nil {
			t.Fatal(err)
		}
		again, faults := comfreyconfig.Check(comfreyconfig.NewFolder(comfreyconfig.File{Name: "10-shown.yaml", Content: w.Bytes()}))
		if len(faults) > 0 || !reflect.DeepEqual(s, again) {
			t.Errorf("settings or faults differ after parsing the merged output\n%s\nfaults %v", w.Bytes(), faults)
		}
	})
}
