// Package golden has the checks of tests of an encoded form: files that an earlier program wrote, and checks
// that samples set all fields and that encoded types name each field by a tag.
//
// Golden files are in the folder testdata/golden of the package under test. They represent data on disks and wires:
// they are recorded once, with the flag -golden.record, and never overwritten.
package golden

import (
	"bytes"
	"encoding/hex"
	"errors"
	"flag"
	"io/fs"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var record = flag.Bool("golden.record", false,
	"write golden files that are missing; existing ones are never overwritten")

// maxBinaryBytes bounds how much of a binary file a failure shows.
const maxBinaryBytes = 8 << 10

// Path returns the path of a golden file from the package under test.
func Path(name string) string { return filepath.Join("testdata", "golden", filepath.FromSlash(name)) }

// Recording reports whether a golden file is to be written: -golden.record is set and the file does not exist.
func Recording(tb testing.TB, name string) bool {
	tb.Helper()
	_, err := os.Lstat(Path(name))
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		tb.Fatal(err)
	}
	return err != nil && *record
}

// Read returns the content of a golden file.
func Read(tb testing.TB, name string) []byte {
	tb.Helper()
	content, err := os.ReadFile(Path(name))
	if err != nil {
		tb.Fatal(err)
	}
	return content
}

// Equal compares got with a golden file, byte by byte. While recording, it writes a file that does not exist first.
func Equal(tb testing.TB, name string, got []byte) {
	tb.Helper()
	if Recording(tb, name) {
		Write(tb, name, got)
	}
	want := Read(tb, name)
	switch {
	case bytes.Equal(want, got):
	case isText(want) && isText(got):
		tb.Errorf("%s differs: golden -, now +\n%s", name, cmp.Diff(string(want), string(got)))
	default:
		tb.Errorf("%s differs\n got: %s\nwant: %s", name, hexPrefix(got), hexPrefix(want))
	}
}

// Write creates a golden file. It fails the test where the file exists.
func Write(tb testing.TB, name string, content []byte) {
	tb.Helper()
	if err := os.MkdirAll(filepath.Dir(Path(name)), 0o755); err != nil {
		tb.Fatal(err)
	}
	file, err := os.OpenFile(Path(name), os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o644)
	if err != nil {
		tb.Fatal(err)
	}
	_, err = file.Write(content)
	if err := errors.Join(err, file.Close()); err != nil {
		tb.Fatal(err)
	}
}

func isText(content []byte) bool {
	return !bytes.ContainsFunc(content, func(r rune) bool {
		return r == '\ufffd' || r < ' ' && r != '\n' && r != '\t'
	})
}

func hexPrefix(content []byte) string {
	return hex.EncodeToString(content[:min(len(content), maxBinaryBytes)])
}
