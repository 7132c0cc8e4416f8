package node

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// Each line that the router may log, from Info up, stands on the on-call page or on the page that it leads to;
// records have the same lines as events. It guards against a page that says less than the program.
func TestOnCallPageHasEachLine(t *testing.T) {
	var pages strings.Builder
	for _, name := range []string{"on-call.md", "operating.md", "records.md"} {
		text, err := os.ReadFile("../../docs/" + name)
		if err != nil {
			t.Fatal(err)
		}
		pages.Write(text)
	}
	lines := 0
	err := filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		set := token.NewFileSet()
		file, err := parser.ParseFile(set, path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(n ast.Node) bool {
			call, ok := n.(*ast.CallExpr)
			if !ok || len(call.Args) == 0 {
				return true
			}
			fun, ok := call.Fun.(*ast.SelectorExpr)
			text, literal := call.Args[0].(*ast.BasicLit)
			if !ok || !literal || text.Kind != token.STRING || !slices.Contains([]string{"Info", "Warn", "Error"}, fun.Sel.Name) {
				return true
			}
			line, err := strconv.Unquote(text.Value)
			if err != nil {
				return true
			}
			lines++
			if !strings.Contains(pages.String(), "`"+line+"`") {
				t.Errorf("%s: %q is on no page", set.Position(text.Pos()), line)
			}
			return true
		})
		return nil
	})
	if err != nil || lines < 30 {
		t.Error(lines, "lines", err)
	}
}
