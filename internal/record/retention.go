package record

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// storedSegment describes a segment file in the folder of the records.
type storedSegment struct {
	path       string
	modifiedAt time.Time
	bytes      int64
}

// deleteOldSegments deletes the segments that exceed the maximum age. It then deletes further segments, oldest first,
// until one more full segment fits within the total size. Segments of other processes in the folder are counted and
// deleted too. A segment that is being written is among the newest, so that it is deleted last.
func deleteOldSegments(cfg *Config, now time.Time) {
	segments := storedSegments(cfg.Dir)
	var total int64
	for _, segment := range segments {
		total += segment.bytes
	}
	slices.SortFunc(segments, func(a, b storedSegment) int { return a.modifiedAt.Compare(b.modifiedAt) })
	for _, segment := range segments {
		expired := cfg.MaxAgeHours > 0 && now.Sub(segment.modifiedAt).Hours() > cfg.MaxAgeHours
		if !expired && float64(total)+cfg.segmentBytes() <= cfg.totalBytes() {
			continue
		}
		if os.Remove(segment.path) == nil {
			total -= segment.bytes
		}
	}
}

// storedSegments returns the segments in a folder, or none if the folder can't be read.
func storedSegments(dir string) (segments []storedSegment) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil
	}
	for _, entry := range entries {
		info, err := entry.Info()
		if err != nil || !strings.HasSuffix(entry.Name(), Suffix) || !info.Mode().IsRegular() {
			continue
		}
		path := filepath.Join(dir, entry.Name())
		segments = append(segments, storedSegment{path: path, modifiedAt: info.ModTime(), bytes: info.Size()})
	}
	return segments
}
