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

// Segments are closed at their size and the oldest are deleted; each record is written or counted as dropped.
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
		t.Errorf("%d records were put, %d written or counted as dropped", n, got)
	}
	files, _ := SegmentFiles(dir)
	var total int64
	for _, f := range files {
		info, _ := os.Stat(f)
		total += info.Size()
	}
	if total > 512<<10 || len(files) < 2 || w.Counters.Segments.Load() <= int64(len(files)) {
		t.Errorf("%d bytes in %d files of %d segments", total, len(files), w.Counters.Segments.Load())
	}
	if _, _, read := readDir(t, dir); read[len(read)-1].Err != nil || read[len(read)-1].Header.Router != "n/0" {
		t.Error(read[len(read)-1])
	}
}

// A record that does not fit the queue is dropped and counted in a gap.
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
		t.Errorf("%d records, and gaps of %d", records, gaps)
	}
}

// A disk that fails costs records and is reported once; recording continues when the disk works again. It guards
// against a router that ends, or blocks, because of its records.
func TestWriterRecoversFromDiskFailure(t *testing.T) {
	base := t.TempDir()
	dir := filepath.Join(base, "records")
	if err := os.WriteFile(dir, nil, 0o600); err != nil { // no folder can be made there
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
		t.Errorf("%d reports of a disk that failed twice", reportCount.Load())
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
	// The folder is removed once more, under an open segment.
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	for w.Counters.Segments.Load() < 2 {
		w.Put(&Event{Name: "kept"})
		time.Sleep(5 * time.Millisecond)
	}
	w.Close()
	if _, gaps, read := readDir(t, dir); gaps == 0 && len(read) == 0 {
		t.Error("nothing was recorded after the disk was back")
	}
}
