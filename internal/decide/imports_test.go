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

// pureStdlibPackages are the packages of the standard library that decision packages may import. None of them reads a
// clock, draws random numbers, does I/O or starts goroutines. Package time is left out, so that no decision can read
// the clock.
var pureStdlibPackages = []string{
	"bytes", "cmp", "container/heap", "container/list", "crypto/sha256", "encoding/binary", "encoding/hex",
	"encoding/json", "errors", "fmt", "hash/fnv", "iter",
	"maps", "math", "math/big", "math/bits", "slices", "sort", "strconv", "strings", "unicode", "unicode/utf8",
}

// Fails when a package below internal/decide, or internal/incident, imports a package that can do I/O, read a clock or
// draw random numbers. Such a decision would depend on more than its arguments and could not be replayed in a test.
func TestDecisionsDoNoIO(t *testing.T) {
	files := 0
	for _, dir := range []string{".", "../incident"} {
		files += checkImports(t, dir)
	}
	if files < 4 {
		t.Errorf("checked %d files, want at least 4", files)
	}
}

// checkImports checks the imports of all non-test files below a directory and returns the number of files checked.
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
				t.Errorf("%s imports %s, which decision packages must not import", set.Position(spec.Pos()), name)
			}
		}
		return nil
	})
	if err != nil {
		t.Error(err)
	}
	return files
}

// mayImport reports whether a decision package may import the named package.
func mayImport(name string) bool {
	return slices.Contains(pureStdlibPackages, name) ||
		strings.HasPrefix(name, "windflow/internal/decide/") ||
		name == "windflow/internal/record"
}
