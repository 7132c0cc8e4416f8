package record

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// storedSegment is a segment file in the folder of the records.
type storedSegment struct {
	path       string
	modifiedAt time.Time
	bytes      int64
}

// deleteOldSegments deletes the segments that are over the maximal age and, the oldest first, those that leave no
// room for one more within the total size. Segments of other processes in the folder count too; one that is being
// written is recent.
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

// storedSegments lists the segments of a folder, and none of one that can't be read.
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
