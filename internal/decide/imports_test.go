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

// allowed are the packages of the standard library that compute and no more. Among them are none that read a clock, draw
// chance, open anything or start goroutines; time is not, so that a decision can't ask for it.
var allowed = []string{
	"bytes", "cmp", "container/heap", "container/list", "crypto/sha256", "encoding/binary", "encoding/hex",
	"encoding/json", "errors", "fmt", "hash/fnv", "iter",
	"maps", "math", "math/big", "math/bits", "slices", "sort", "strconv", "strings", "unicode", "unicode/utf8",
}

// What a package below internal/decide decides, it decides from what it is handed. It guards against decisions that can't
// be played again.
func TestDecisionsDoNoIO(t *testing.T) {
	files := 0
	for _, dir := range []string{".", "../incident"} {
		files += pure(t, dir)
	}
	if files < 4 {
		t.Error(files, "files")
	}
}

// pure looks at the imports below a folder, and gives the number of its files.
func pure(t *testing.T, dir string) (files int) {
	t.Helper()
	err := filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		files++
		set := token.NewFileSet()
		f, err := parser.ParseFile(set, path, nil, parser.ParseComments)
		if err != nil {
			return err
		}
		for _, i := range f.Imports {
			name, _ := strconv.Unquote(i.Path.Value)
			if !slices.Contains(allowed, name) && !strings.HasPrefix(name, "windflow/internal/decide/") && name != "windflow/internal/record" {
				t.Errorf("%s imports %s", set.Position(i.Pos()), name)
			}
		}
		return nil
	})
	if err != nil {
		t.Error(err)
	}
	return files
}
