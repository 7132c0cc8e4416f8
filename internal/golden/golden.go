// Package golden provides checks for tests of encoded data: it compares encodings with golden files, and checks that
// samples set all fields and that each field of an encoded type has a struct tag.
//
// Golden files are in the folder testdata/golden of the package under test. They stand for data that earlier versions
// have written to disk or sent over the network, so they are recorded once, with the flag -golden.record, and never
// overwritten.
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

// maxBinaryBytes is the maximum number of bytes of a binary file that a failure message shows.
const maxBinaryBytes = 8 << 10

// Path returns the path of a golden file, relative to the folder of the package under test.
func Path(name string) string { return filepath.Join("testdata", "golden", filepath.FromSlash(name)) }

// Recording reports whether a golden file has to be written: the flag -golden.record is set and the file does not
// exist.
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

// Equal fails the test if got differs from a golden file in any byte. If Recording reports true, it writes got to the
// file first.
func Equal(tb testing.TB, name string, got []byte) {
	tb.Helper()
	if Recording(tb, name) {
		Write(tb, name, got)
	}
	want := Read(tb, name)
	switch {
	case bytes.Equal(want, got):
	case isText(want) && isText(got):
		tb.Errorf("%s differs (- golden file, + got)\n%s", name, cmp.Diff(string(want), string(got)))
	default:
		tb.Errorf("%s differs\n got: %s\nwant: %s", name, hexPrefix(got), hexPrefix(want))
	}
}

// Write creates a golden file. It fails the test if the file exists.
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

// isText reports whether content is valid UTF-8 without control characters other than newline and tab.
func isText(content []byte) bool {
	return !bytes.ContainsFunc(content, func(r rune) bool {
		return r == '\ufffd' || r < ' ' && r != '\n' && r != '\t'
	})
}

// hexPrefix returns the first maxBinaryBytes of content in hexadecimal.
func hexPrefix(content []byte) string {
	return hex.EncodeToString(content[:min(len(content), maxBinaryBytes)])
}
