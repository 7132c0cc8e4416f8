package record

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// startWriterForTest starts a writer with default sizes where cfg has none. onDiskChange may be nil.
func startWriterForTest(t *testing.T, cfg Config, onDiskChange func(error)) *Writer {
	t.Helper()
	if cfg.SegmentMB == 0 {
		cfg.SegmentMB = DefaultConfig.SegmentMB
	}
	if cfg.TotalMB == 0 {
		cfg.TotalMB = DefaultConfig.TotalMB
	}
	if onDiskChange == nil {
		onDiskChange = func(err error) { t.Log(err) }
	}
	header := Header{Router: "n/0", Incarnation: 2, ProcessID: "1.a"}
	return StartWriter(cfg, header, func() float64 { return 5000 }, onDiskChange)
}

// readDir reads all segments in dir. It returns the number of records other than gaps, and the total that the gaps
// count.
func readDir(t *testing.T, dir string) (records int, gaps int, results []SegmentResult) {
	t.Helper()
	files, err := SegmentFiles(dir)
	if err != nil {
		t.Fatal(err)
	}
	results, err = ReadSegments(files, func(_ *Header, r Record) error {
		if g, ok := r.(*Gap); ok {
			gaps += g.Dropped
		} else {
			records++
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return records, gaps, results
}

// A segment is closed when it is full, and the oldest segments are deleted to stay within the total size. Each record
// is either written or counted as dropped.
func TestWriterRotatesSegmentsWithinTheTotalSize(t *testing.T) {
	dir := t.TempDir()
	w := startWriterForTest(t, Config{Dir: dir, SegmentMB: 0.0625, TotalMB: 0.25}, nil)
	const n = 20000
	for i := range n {
		w.Put(&RequestFailure{
			AtMS: float64(i), RequestID: fmt.Sprintf("%016x", i), Class: "lookup", Reason: strings.Repeat("x", 60),
		})
		if i%500 == 0 {
			time.Sleep(time.Millisecond) // let the writer run
		}
	}
	w.Close()
	if got := w.Counters.Written.Load() + w.Counters.Dropped.Load(); got != n {
		t.Errorf("%d records were put, but %d were written or counted as dropped", n, got)
	}
	files, _ := SegmentFiles(dir)
	var total int64
	for _, f := range files {
		info, _ := os.Stat(f)
		total += info.Size()
	}
	if total > 512<<10 || len(files) < 2 || w.Counters.Segments.Load() <= int64(len(files)) {
		t.Errorf("%d bytes in %d files of %d segments; want at most %d bytes, at least 2 files, and deleted segments",
			total, len(files), w.Counters.Segments.Load(), 512<<10)
	}
	if _, _, read := readDir(t, dir); read[len(read)-1].Err != nil || read[len(read)-1].Header.Router != "n/0" {
		t.Errorf("last segment: %+v, want a complete one of router n/0", read[len(read)-1])
	}
}

// A record that does not fit into the queue must be dropped and counted in a Gap.
func TestWriterCountsDroppedRecords(t *testing.T) {
	dir := t.TempDir()
	w := &Writer{
		nowMS: func() float64 { return 1 }, queue: make(chan Record, 4), done: make(chan struct{}),
		finished:     make(chan struct{}),
		onDiskChange: func(error) {},
	}
	cfg := DefaultConfig
	cfg.Dir = dir
	w.cfg.Store(&cfg)
	w.header.Version = Version
	for range 10 {
		w.Put(&Event{Name: "x"})
	}
	go w.run()
	w.Close()
	if records, gaps, _ := readDir(t, dir); records != 4 || gaps != 6 {
		t.Errorf("got %d records and %d dropped ones, want 4 and 6", records, gaps)
	}
}

// Guards against a router that stops or blocks because its records can't be written. While the disk fails, records are
// dropped and the failure is reported once; recording continues when the disk works again, and when the folder is
// removed while a segment is open.
func TestWriterRecoversFromDiskFailure(t *testing.T) {
	base := t.TempDir()
	dir := filepath.Join(base, "records")
	if err := os.WriteFile(dir, nil, 0o600); err != nil { // a file in place of the folder
		t.Fatal(err)
	}
	var reportCount atomic.Int64
	recovered := make(chan struct{})
	w := startWriterForTest(t, Config{Dir: dir}, func(err error) {
		if reportCount.Add(1); err == nil {
			close(recovered)
		}
	})
	for w.Counters.Failures.Load() < 2 {
		w.Put(&Event{Name: "lost"})
		time.Sleep(5 * time.Millisecond)
	}
	if reportCount.Load() != 1 {
		t.Errorf("got %d reports for two consecutive failures, want 1", reportCount.Load())
	}
	if err := os.Remove(dir); err != nil {
		t.Fatal(err)
	}
	for failing := true; failing; {
		w.Put(&Event{Name: "kept"})
		select {
		case <-recovered:
			failing = false
		case <-time.After(5 * time.Millisecond):
		}
	}
	// Removes the folder while a segment is open.
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	for w.Counters.Segments.Load() < 2 {
		w.Put(&Event{Name: "kept"})
		time.Sleep(5 * time.Millisecond)
	}
	w.Close()
	if _, gaps, read := readDir(t, dir); gaps == 0 && len(read) == 0 {
		t.Error("nothing was recorded after the disk recovered")
	}
}
