package golden

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
)

// If one exported field of a struct has a tag, all of them have one. This also covers anonymous struct types, such as
// the bodies of HTTP calls, which AllFieldsTagged cannot check because a list of encoded types cannot name them.
func TestNoStructIsPartlyTagged(t *testing.T) {
	structs := 0
	err := filepath.WalkDir("../..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		files := token.NewFileSet()
		file, err := parser.ParseFile(files, path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(n ast.Node) bool {
			s, ok := n.(*ast.StructType)
			if !ok || !hasTag(s) {
				return true
			}
			structs++
			for _, name := range namesWithoutTag(s) {
				t.Errorf("%s: field %s has no tag, but other fields of its struct do", files.Position(name.Pos()), name.Name)
			}
			return true
		})
		return nil
	})
	if err != nil || structs < 80 {
		t.Errorf("%d structs with tags found, want at least 80; error %v", structs, err)
	}
}

func hasTag(s *ast.StructType) bool {
	for _, field := range s.Fields.List {
		if field.Tag != nil {
			return true
		}
	}
	return false
}

func namesWithoutTag(s *ast.StructType) (names []*ast.Ident) {
	for _, field := range s.Fields.List {
		if field.Tag != nil {
			continue
		}
		for _, name := range field.Names {
			if name.IsExported() {
				names = append(names, name)
			}
		}
	}
	return names
}
