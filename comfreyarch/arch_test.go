package comfreyarch

import (
	"go/ast"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const module = "comfreyridge.example/comfreyridge/"

// forbiddenInCore lists packages that a decision package must not import.
var forbiddenInCore = []string{"net", "net/http", "os/exec", "github.com/go-chi/chi/v5", "github.com/twitchtv/twirp"}

func TestCorePackagesImportOnlyCore(t *testing.T) {
	for _, p := range Core {
		for _, f := range sources(t, filepath.Join("..", p)) {
			for _, i := range f.Imports {
				path, err := strconv.Unquote(i.Path.Value)
				if err != nil {
					t.Fatal(err)
				}
				checkCoreImport(t, p, path)
			}
		}
	}
}

func checkCoreImport(t *testing.T, p, path string) {
	t.Helper()
	if slices.Contains(forbiddenInCore, path) {
		t.Errorf("%s imports %s", p, path)
	}
	own, ok := strings.CutPrefix(path, module)
	if ok && !slices.Contains(Core, own) {
		t.Errorf("core package %s imports %s, which is not a core package", p, own)
	}
}

func TestNoBareGoStatement(t *testing.T) {
	for _, f := range sources(t, "..") {
		if f.Name.Name == "comfreygroup" {
			continue
		}
		ast.Inspect(f, func(n ast.Node) bool {
			if _, ok := n.(*ast.GoStmt); ok {
				t.Errorf("package %s has a go statement outside comfreygroup", f.Name.Name)
			}
			return true
		})
	}
}

// sources parses the non-test Go files below dir.
func sources(t *testing.T, dir string) []*ast.File {
	t.Helper()
	l, err := Sources(dir)
	if err != nil {
		t.Fatal(err)
	}
	return l
}
