package golden

import (
	"archive/tar"
	"bytes"
	"compress/gzip"
	"errors"
	"io"
	"os"
	"path/filepath"
	"testing"
)

// Pack returns a gzip-compressed tar archive of a folder. It fails the test if the folder cannot be read.
func Pack(tb testing.TB, dir string) []byte {
	tb.Helper()
	var packed bytes.Buffer
	compressor, _ := gzip.NewWriterLevel(&packed, gzip.BestCompression)
	archive := tar.NewWriter(compressor)
	if err := errors.Join(archive.AddFS(os.DirFS(dir)), archive.Close(), compressor.Close()); err != nil {
		tb.Fatal(err)
	}
	return packed.Bytes()
}

// Unpack extracts an archive that Pack returned into a new temporary folder and returns the path of the folder.
func Unpack(tb testing.TB, packed []byte) string {
	tb.Helper()
	decompressor, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		tb.Fatal(err)
	}
	dir := tb.TempDir()
	for archive := tar.NewReader(decompressor); ; {
		header, err := archive.Next()
		if errors.Is(err, io.EOF) {
			return dir
		}
		if err == nil {
			err = unpackEntry(dir, header, archive)
		}
		if err != nil {
			tb.Fatal(err)
		}
	}
}

// unpackEntry writes one folder or file of an archive below dir.
func unpackEntry(dir string, header *tar.Header, content io.Reader) error {
	path := filepath.Join(dir, filepath.FromSlash(header.Name))
	if header.Typeflag == tar.TypeDir {
		return os.MkdirAll(path, 0o700)
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		return err
	}
	data, err := io.ReadAll(content)
	if err != nil {
		return err
	}
	return os.WriteFile(path, data, 0o600)
}
