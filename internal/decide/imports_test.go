package decide

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// computingPackages are the packages of the standard library that only compute. None of them reads a clock, draws
// random numbers, opens anything or starts goroutines; time is not among them, so that no decision can read the
// clock.
var pureStdlibPackages = []string{
	"bytes", "cmp", "container/heap", "container/list", "crypto/sha256", "encoding/binary", "encoding/hex",
	"encoding/json", "errors", "fmt", "hash/fnv", "iter",
	"maps", "math", "math/big", "math/bits", "slices", "sort", "strconv", "strings", "unicode", "unicode/utf8",
}

// Packages below internal/decide decide only from what their callers pass. It guards against decisions that can't be
// replayed.
func TestDecisionsDoNoIO(t *testing.T) {
	files := 0
	for _, dir := range []string{".", "../incident"} {
		files += checkImports(t, dir)
	}
	if files < 4 {
		t.Error(files, "files")
	}
}

// checkImports checks the imports of all product files below a directory, and returns the number of these files.
func checkImports(t *testing.T, dir string) (files int) {
	t.Helper()
	err := filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		files++
		set := token.NewFileSet()
		file, err := parser.ParseFile(set, path, nil, parser.ParseComments)
		if err != nil {
			return err
		}
		for _, spec := range file.Imports {
			name, err := strconv.Unquote(spec.Path.Value)
			if err != nil {
				return err
			}
			if !mayImport(name) {
				t.Errorf("%s imports %s", set.Position(spec.Pos()), name)
			}
		}
		return nil
	})
	if err != nil {
		t.Error(err)
	}
	return files
}

// mayImport tells whether a decision package may import another package.
func mayImport(name string) bool {
	return slices.Contains(pureStdlibPackages, name) ||
		strings.HasPrefix(name, "windflow/internal/decide/") ||
		name == "windflow/internal/record"
}
