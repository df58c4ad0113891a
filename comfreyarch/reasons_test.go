package comfreyarch

import (
	"go/ast"
	"os"
	"strconv"
	"strings"
	"testing"
)

func TestEveryReasonIsExplained(t *testing.T) {
	page, err := os.ReadFile("../docs/operators/reasons.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range sources(t, "../comfreyverdict") {
		ast.Inspect(f, func(n ast.Node) bool {
			v, ok := n.(*ast.ValueSpec)
			if !ok || len(v.Values) != 1 || !strings.HasPrefix(v.Names[0].Name, "Reason") {
				return true
			}
			s, err := strconv.Unquote(v.Values[0].(*ast.BasicLit).Value)
			if err != nil {
				t.Fatal(err)
			}
			if !strings.Contains(string(page), "| `"+s+"` |") {
				t.Errorf("docs/operators/reasons.md does not explain %q", s)
			}
			return true
		})
	}
}
