// Package goldentest compares what a test encodes with data files that an earlier program wrote. The files lie in the
// calling package's testdata/golden and stand for data on disks and wires, so that they are never written again.
package goldentest

import (
	"bytes"
	"encoding/hex"
	"errors"
	"flag"
	"io/fs"
	"os"
	"path/filepath"
	"testing"
)

var record = flag.Bool("golden.record", false, "write golden files that are not there yet; existing ones are never overwritten")

// Recording tells whether a golden file is to be written now: it was asked for, and the file is not there.
func Recording(t testing.TB, name string) bool {
	t.Helper()
	_, err := os.Lstat(Path(name))
	switch {
	case err == nil:
		return false
	case !errors.Is(err, fs.ErrNotExist):
		t.Fatal(err)
	}
	return *record
}

// Path is where a golden file lies, seen from the package under test.
func Path(name string) string { return filepath.Join("testdata", "golden", name) }

// Read gives a golden file's content.
func Read(t testing.TB, name string) []byte {
	t.Helper()
	content, err := os.ReadFile(Path(name))
	if err != nil {
		t.Fatal(err)
	}
	return content
}

// Equal compares bytes with a golden file. With the flag -golden.record a file that is missing is written first.
func Equal(t testing.TB, name string, got []byte) {
	t.Helper()
	if Recording(t, name) {
		Write(t, name, got)
	}
	if want := Read(t, name); !bytes.Equal(got, want) {
		t.Errorf("%s differs\n got: %s\nwant: %s", name, readable(got), readable(want))
	}
}

// Write makes a new golden file; it fails the test where there is one.
func Write(t testing.TB, name string, content []byte) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(Path(name)), 0o755); err != nil {
		t.Fatal(err)
	}
	file, err := os.OpenFile(Path(name), os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o644)
	if err != nil {
		t.Fatal(err)
	}
	_, err = file.Write(content)
	if err := errors.Join(err, file.Close()); err != nil {
		t.Fatal(err)
	}
}

// readable gives text as it is, and other bytes in hexadecimal.
func readable(content []byte) string {
	const most = 8 << 10
	content = content[:min(len(content), most)]
	if bytes.ContainsFunc(content, func(r rune) bool { return r == 0xfffd || r < ' ' && r != '\n' && r != '\t' }) {
		return hex.EncodeToString(content)
	}
	return string(content)
}
