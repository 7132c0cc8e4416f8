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

// Suffix is the file name suffix of segments.
const Suffix = ".wfr"

var (
	// ErrNoSegments is returned by SegmentFiles if the paths contain no segment.
	ErrNoSegments = errors.New("no segments of records (*" + Suffix + ") in the given paths")
	// ErrIncompleteHeader is the error of a segment that ends before its header is complete.
	ErrIncompleteHeader = errors.New("it ends before its header does")
)

// SegmentFiles returns the segment files in paths, sorted by name. A path is a file, whatever its suffix, or a folder
// that is searched recursively. Sorted by name, the segments of a process are in the order in which they were written.
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

// SegmentResult describes what was read from a segment file.
type SegmentResult struct {
	Path    string
	Header  Header
	Records int // without the header
	Damage  []Damage
	Err     error // why the file was not read, or not to its end; nil if it was
}

// ReadSegments reads segment files one by one and calls each for every record except the headers. It has only one
// record in memory at a time. A file that can't be read has an error in its result, and reading goes on with the next
// file. If each returns an error, ReadSegments stops and returns it with the results of the files read before.
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

// readSegment reads one segment file. It returns an error only if each does; read errors are in the result.
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

// NewProcessID returns an id that distinguishes this process from all other processes of all routers. It is made of the
// process number and startMS, the time at which the process started.
func NewProcessID(startMS float64) string {
	return strconv.Itoa(os.Getpid()) + "." + strconv.FormatInt(int64(startMS*1e3), 36)
}

// segmentPath returns the path of the segment with the given header.
func segmentPath(dir string, header *Header) string {
	name := fmt.Sprintf("%s-%013.0f-%d-%04d%s", sanitizeFileName(header.Router), header.ClockMS, header.Incarnation,
		header.SegmentNumber, Suffix)
	return filepath.Join(dir, name)
}

// sanitizeFileName replaces all characters of a router's name but letters, digits, '_' and '.' with '_', so that the
// result is a valid file name.
func sanitizeFileName(name string) string {
	return strings.Map(func(c rune) rune {
		if c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '_' || c == '.' {
			return c
		}
		return '_'
	}, name)
}
