package record

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// Suffix is the suffix of segment files.
const Suffix = ".wfr"

var (
	// ErrNoSegments is the error of SegmentFiles for paths without a segment.
	ErrNoSegments = errors.New("no segments of records (*" + Suffix + ") there")
	// ErrIncompleteHeader is the error for a segment that ends within its header.
	ErrIncompleteHeader = errors.New("it ends before its header does")
)

// SegmentFiles returns the segment files among paths and in the folders among them, sorted by name. That is the order
// of time within each process.
func SegmentFiles(paths ...string) (files []string, err error) {
	for _, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			return nil, err
		}
		if !info.IsDir() {
			files = append(files, path)
			continue
		}
		inside, err := segmentsInDir(path)
		if err != nil {
			return nil, err
		}
		files = append(files, inside...)
	}
	if len(files) == 0 {
		return nil, ErrNoSegments
	}
	slices.Sort(files)
	return slices.Compact(files), nil
}

func segmentsInDir(dir string) (files []string, err error) {
	err = filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
		if err == nil && entry.Type().IsRegular() && strings.HasSuffix(path, Suffix) {
			files = append(files, path)
		}
		return err
	})
	return files, err
}

// SegmentResult is the outcome of reading a segment file.
type SegmentResult struct {
	Path    string
	Header  Header
	Records int
	Damage  []Damage
	Err     error // why the file could not be read, or not to its end
}

// ReadSegments reads segment files one by one and passes their records to each, without the headers; it keeps one
// record in memory. A file that can't be read has an error in its result and does not end the reading. An error of
// each does, and is returned with the results of the files before.
func ReadSegments(files []string, each func(header *Header, next Record) error) (results []SegmentResult, err error) {
	for _, path := range files {
		result, err := readSegment(path, each)
		if err != nil {
			return results, err
		}
		results = append(results, result)
	}
	return results, nil
}

// readSegment returns an error only where each does.
func readSegment(path string, each func(*Header, Record) error) (SegmentResult, error) {
	result := SegmentResult{Path: path}
	file, err := os.Open(path)
	if err != nil {
		result.Err = err
		return result, nil
	}
	defer file.Close()
	reader, err := NewReader(file)
	for err == nil {
		var next Record
		if next, err = reader.Next(); err != nil {
			break
		}
		result.Records++
		if err := each(&reader.Header, next); err != nil {
			return result, err
		}
	}
	result.Header, result.Damage = reader.Header, reader.Damage
	switch atEnd := errors.Is(err, io.EOF); {
	case !atEnd:
		result.Err = err
	case result.Header.Version == 0:
		result.Err = ErrIncompleteHeader
	}
	return result, nil
}

// NewProcessID returns an id that no other process has; startMS is when this one started.
func NewProcessID(startMS float64) string {
	return strconv.Itoa(os.Getpid()) + "." + strconv.FormatInt(int64(startMS*1e3), 36)
}

// segmentPath is where a process writes its segment of the header's number.
func segmentPath(dir string, header *Header) string {
	name := fmt.Sprintf("%s-%013.0f-%d-%04d%s", sanitizeFileName(header.Router), header.ClockMS, header.Incarnation,
		header.SegmentNumber, Suffix)
	return filepath.Join(dir, name)
}

// sanitizeFileName replaces the characters of a router's name that a file's name should not have.
func sanitizeFileName(name string) string {
	return strings.Map(func(c rune) rune {
		if c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '_' || c == '.' {
			return c
		}
		return '_'
	}, name)
}
