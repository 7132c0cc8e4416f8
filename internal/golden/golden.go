// Package golden has what tests need to hold an encoded form still: files that are recorded once and never again, and checks
// that a sample leaves no field out and that an encoded type names each field by a tag.
package golden

import (
	"errors"
	"flag"
	"io/fs"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var record = flag.Bool("record-golden", false, "write the golden files that are not there yet; one that is there is never written")

// Recording tells whether golden files that are not there yet are to be written.
func Recording() bool { return *record }

// File compares got with the golden file of that path, byte for byte. With -record-golden it writes a file that does not
// exist, and fails on one that does and differs: what was recorded is what other programs have.
func File(t testing.TB, path string, got []byte) {
	t.Helper()
	want, err := os.ReadFile(path)
	switch {
	case errors.Is(err, fs.ErrNotExist) && *record:
		create(t, path, got)
	case err != nil:
		t.Error(err)
	default:
		if diff := cmp.Diff(string(want), string(got)); diff != "" {
			t.Errorf("%s: golden -, now +\n%s", path, diff)
		}
	}
}

// create writes a file that must not exist.
func create(t testing.TB, path string, text []byte) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o644)
	if err != nil {
		t.Fatal(err)
	}
	_, err = f.Write(text)
	if err = errors.Join(err, f.Close()); err != nil {
		t.Fatal(err)
	}
}
