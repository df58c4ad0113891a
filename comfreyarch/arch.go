// Package comfreyarch lists the layers of the module. Its tests assert that
// imports run from adapters to core packages and never back, and that
// goroutines are started through a group.
package comfreyarch

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
)

// Core lists the decision packages. They hold state and policy, and they use
// no socket, no wall clock and no goroutine.
var Core = []string{
	"comfreyverdict",
	"comfreyinvariant",
	"comfreyring",
	"comfreylength",
	"comfreyadmission",
	"comfreyrouter",
	"comfreystream",
	"comfreyorder",
	"comfreyquarantine",
	"comfreyfleet",
	"comfreyreconciler",
	"comfreyconfig",
	"comfreycall",
	"comfreyreturn",
	"comfreyroute",
	"comfreycell",
	"comfreystorecache",
	"comfreyreplica",
	"comfreyoccupancy",
	"comfreypace",
	"comfreyplacement",
}

// Sources parses the non-test Go files below dir.
func Sources(dir string) ([]*ast.File, error) {
	var files []*ast.File
	err := filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return fmt.Errorf("comfreyarch: %w", err)
		}
		files = append(files, f)
		return nil
	})
	return files, err
}
