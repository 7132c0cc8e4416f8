package record

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func sample() []Record {
	return []Record{
		&Header{Version: Version, Router: "n0", Incarnation: 2, ProcessID: "1.a", Program: "windflow", ClockMS: 1000, WallMS: 1001},
		&EngineChange{AtMS: 1001, EngineID: "s-00000001", State: WarmingUp, WarmUpEndMS: 9000, Zone: "hall-a", Kind: "std-8", LastEvent: 3},
		&Interval{
			AtMS: 2000, DurationMS: 1000, Classes: []ClassStats{{Class: "lookup", Tenant: "a", Arrived: 5, OnTime: 4, Late: 1, P50MS: 20, P99MS: 120}},
			Engines: []EngineStats{{EngineID: "s-00000001", Sent: 5, Served: 5}}, OpenRequests: 2, Congestion: 0.25,
		},
		&RequestFailure{AtMS: 2100, RequestID: "9b1f03aa5c7e2d41", Class: "load", Rejected: true, Reason: "no room in time", AfterMS: 12},
		&Event{AtMS: 2200, Name: "reloaded", Fields: map[string]string{"board": "127.0.0.1:1"}},
		&Gap{AtMS: 2300, FromMS: 2250, Dropped: 7},
	}
}

func segment(t *testing.T, records ...Record) []byte {
	t.Helper()
	var b []byte
	for _, r := range records {
		var err error
		if b, err = appendFrame(b, r); err != nil {
			t.Fatal(err)
		}
	}
	return b
}

func readAll(b []byte) (got []Record, damage []Damage, err error) {
	r, err := NewReader(bytes.NewReader(b))
	if err != nil {
		return nil, r.Damage, err
	}
	for {
		rec, err := r.Next()
		if err == io.EOF {
			return got, r.Damage, nil
		}
		if err != nil {
			return got, r.Damage, err
		}
		got = append(got, rec)
	}
}

func TestRoundTrip(t *testing.T) {
	all := sample()
	got, damage, err := readAll(segment(t, all...))
	if err != nil || len(damage) > 0 {
		t.Fatal(damage, err)
	}
	if diff := cmp.Diff(all[1:], got); diff != "" {
		t.Error(diff)
	}
}

// A kill cuts a segment off anywhere: every prefix reads up to its last whole record, and only a part of one is told of.
func TestEveryPrefixReadsToItsLastWholeRecord(t *testing.T) {
	all := sample()
	whole := segment(t, all...)
	var ends []int
	for i := range all {
		ends = append(ends, len(segment(t, all[:i+1]...)))
	}
	for n := range len(whole) + 1 {
		got, damage, err := readAll(whole[:n])
		records, exact := 0, n == 0
		for _, end := range ends {
			if end <= n {
				records++
			}
			exact = exact || end == n
		}
		if records == 0 {
			if err != io.EOF {
				t.Errorf("%d bytes: %v", n, err)
			}
			continue
		}
		if err != nil || len(got) != records-1 || (len(damage) == 0) != exact || len(damage) > 0 && !damage[0].Truncated {
			t.Errorf("%d bytes: %d records of %d, %v, %v", n, len(got), records-1, damage, err)
		}
	}
}

// A damaged record in the middle costs itself alone, wherever it is hit; so does one whose length is damaged.
func TestDamageInTheMiddle(t *testing.T) {
	all := sample()
	whole := segment(t, all...)
	from, to := len(segment(t, all[:2]...)), len(segment(t, all[:3]...))
	for i := from; i < to; i++ {
		bad := bytes.Clone(whole)
		bad[i] ^= 0x5a
		got, damage, err := readAll(bad)
		want := append(append([]Record{}, all[1:2]...), all[3:]...)
		if diff := cmp.Diff(want, got); diff != "" || err != nil {
			t.Fatalf("byte %d: %v %s", i, err, diff)
		}
		if len(damage) != 1 || damage[0].Truncated || damage[0].Offset != int64(from) || damage[0].Bytes != int64(to-from) {
			t.Errorf("byte %d: %v", i, damage)
		}
	}
}

func TestNewerVersionAndForeignFiles(t *testing.T) {
	newer := segment(t, &Header{Version: Version + 1, Router: "n0"}, &Gap{AtMS: 1})
	if _, _, err := readAll(newer); !errors.Is(err, ErrNewerVersion) {
		t.Error("a newer version:", err)
	}
	for name, b := range map[string][]byte{
		"text": []byte(strings.Repeat("no records at all\n", 99)), "zeros": make([]byte, 4096),
		"no header": segment(t, &Gap{AtMS: 1}),
	} {
		if _, _, err := readAll(b); err == nil {
			t.Errorf("%s was taken for a segment", name)
		}
	}
	// A kind that came later is passed over.
	b := segment(t, sample()[0])
	later := segment(t, &Gap{AtMS: 5})
	later[frameHead] = 200
	fixed, _ := appendFrame(nil, &Gap{AtMS: 6})
	putSum(later)
	b = append(b, later...)
	got, damage, err := readAll(append(b, fixed...))
	if err != nil || len(got) != 1 || len(damage) != 0 {
		t.Error(got, damage, err)
	}
}

func FuzzReader(f *testing.F) {
	f.Add([]byte("\x00\x00\x00\x05abcd\x01x"))
	f.Fuzz(func(t *testing.T, b []byte) {
		_, _, _ = readAll(b)
	})
}

func start(t *testing.T, cfg Config, failed func(error)) *Writer {
	t.Helper()
	if cfg.SegmentMB == 0 {
		cfg.SegmentMB = DefaultConfig.SegmentMB
	}
	if cfg.TotalMB == 0 {
		cfg.TotalMB = DefaultConfig.TotalMB
	}
	if failed == nil {
		failed = func(err error) { t.Log(err) }
	}
	return StartWriter(cfg, Header{Router: "n/0", Incarnation: 2, ProcessID: "1.a"}, func() float64 { return 5000 }, failed)
}

func count(t *testing.T, dir string) (records int, gaps int, read []SegmentResult) {
	t.Helper()
	files, err := SegmentFiles(dir)
	if err != nil {
		t.Fatal(err)
	}
	read, err = ReadSegments(files, func(_ *Header, r Record) error {
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
	return records, gaps, read
}

// Segments are closed at their size and the oldest go; what was put is written or counted.
func TestWriterRotatesAndKeepsToItsSize(t *testing.T) {
	dir := t.TempDir()
	w := start(t, Config{Dir: dir, SegmentMB: 0.0625, TotalMB: 0.25}, nil)
	const n = 20000
	for i := range n {
		w.Put(&RequestFailure{AtMS: float64(i), RequestID: fmt.Sprintf("%016x", i), Class: "lookup", Reason: strings.Repeat("x", 60)})
		if i%500 == 0 {
			time.Sleep(time.Millisecond) // the writer has its turn
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
	if _, _, read := count(t, dir); read[len(read)-1].Err != nil || read[len(read)-1].Header.Router != "n/0" {
		t.Error(read[len(read)-1])
	}
}

// What does not fit the queue is dropped and counted, and a gap says how much; the caller never waits.
func TestWriterDropsWhatDoesNotFit(t *testing.T) {
	dir := t.TempDir()
	w := &Writer{
		now: func() float64 { return 1 }, queue: make(chan Record, 4), done: make(chan struct{}), ended: make(chan struct{}),
		failed: func(error) {},
	}
	cfg := DefaultConfig
	cfg.Dir = dir
	w.cfg.Store(&cfg)
	w.head.Version = Version
	for range 10 {
		w.Put(&Event{Name: "x"})
	}
	go w.run()
	w.Close()
	if records, gaps, _ := count(t, dir); records != 4 || gaps != 6 {
		t.Errorf("%d records, and gaps of %d", records, gaps)
	}
}

// A disk that is gone, read-only or full costs records and one word; recording goes on when it is back. It guards against
// a router that ends, or waits, for its records.
func TestWriterOutlivesItsDisk(t *testing.T) {
	base := t.TempDir()
	dir := filepath.Join(base, "records")
	if err := os.WriteFile(dir, nil, 0o600); err != nil { // no folder can be made there
		t.Fatal(err)
	}
	var words atomic.Int64
	back := make(chan struct{})
	w := start(t, Config{Dir: dir}, func(err error) {
		if words.Add(1); err == nil {
			close(back)
		}
	})
	for w.Counters.Failures.Load() < 2 {
		w.Put(&Event{Name: "lost"})
		time.Sleep(5 * time.Millisecond)
	}
	if words.Load() != 1 {
		t.Errorf("%d words on a disk that failed twice", words.Load())
	}
	if err := os.Remove(dir); err != nil {
		t.Fatal(err)
	}
	for waiting := true; waiting; {
		w.Put(&Event{Name: "kept"})
		select {
		case <-back:
			waiting = false
		case <-time.After(5 * time.Millisecond):
		}
	}
	// The folder goes once more, under an open segment.
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	for w.Counters.Segments.Load() < 2 {
		w.Put(&Event{Name: "kept"})
		time.Sleep(5 * time.Millisecond)
	}
	w.Close()
	if _, gaps, read := count(t, dir); gaps == 0 && len(read) == 0 {
		t.Error("nothing was recorded after the disk was back")
	}
}

// Two gigabytes of records are read in bounded memory: the reader holds one record, however long the segment.
func TestReaderIsBounded(t *testing.T) {
	head := segment(t, sample()[0])
	body := bytes.Repeat(segment(t, sample()[2]), 200)
	turns := (64 << 20) / len(body) // of the 2 GB that a run by hand reads; what is held does not depend on it
	r, err := NewReader(io.MultiReader(bytes.NewReader(head), &again{b: body, n: turns}))
	if err != nil {
		t.Fatal(err)
	}
	most, n := 0, 0
	for {
		if _, err := r.Next(); err == io.EOF {
			break
		} else if err != nil {
			t.Fatal(err)
		}
		n++
		most = max(most, cap(r.buf))
	}
	if n != 200*turns || most > 4*maxFrame {
		t.Errorf("%d records of %d, %d bytes held", n, 200*turns, most)
	}
}

// again reads b n times.
type again struct {
	b    []byte
	n, i int
}

func (a *again) Read(p []byte) (int, error) {
	if a.n == 0 {
		return 0, io.EOF
	}
	n := copy(p, a.b[a.i:])
	if a.i += n; a.i == len(a.b) {
		a.i, a.n = 0, a.n-1
	}
	return n, nil
}

func TestCutCarriesTheStates(t *testing.T) {
	dir, out := t.TempDir(), t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "a"+Suffix), segment(t, sample()...), 0o600); err != nil {
		t.Fatal(err)
	}
	files, _ := SegmentFiles(dir)
	n, err := Extract(files, out, 2050, 2250)
	if err != nil || n != 3 {
		t.Fatal(n, err)
	}
	files, _ = SegmentFiles(out)
	var got []Record
	if _, err := ReadSegments(files, func(_ *Header, r Record) error { got = append(got, r); return nil }); err != nil {
		t.Fatal(err)
	}
	want := sample()
	state := *want[1].(*EngineChange)
	state.AtMS, state.Previous = 2050, WarmingUp
	if diff := cmp.Diff([]Record{&state, want[3], want[4]}, got); diff != "" {
		t.Error(diff)
	}
}

// The meter counts exactly, begins anew each second, and stays within its bounds whatever names it meets.
func TestMeter(t *testing.T) {
	m := NewMeter(func(id uint64) string { return fmt.Sprint("e", id) })
	for i := range 100 {
		m.RequestArrived("lookup", "a", i%10 == 0, 100)
		m.RequestEnded("lookup", "a", RequestOnTime, float64(i+1))
		m.AttemptStarted(1)
		m.AttemptEnded(1, AttemptServed, 50)
	}
	m.RequestEnded("lookup", "a", RequestRejected, 1)
	m.AttemptEnded(1, AttemptConnectionFailed, 1)
	rows, engines := m.Collect()
	if diff := cmp.Diff([]ClassStats{{Class: "lookup", Tenant: "a", Arrived: 100, Retries: 10, OnTime: 100, Rejected: 1, EstimateMS: 10000, P50MS: 50, P99MS: 99}}, rows); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]EngineStats{{EngineID: "e1", Sent: 100, Served: 100, ConnectionFailed: 1, P50MS: 50, P99MS: 50}}, engines); diff != "" {
		t.Error(diff)
	}
	if rows, engines = m.Collect(); len(rows)+len(engines) != 0 {
		t.Error("what was taken is there again", rows, engines)
	}
	for i := range 10000 {
		m.RequestArrived("lookup", fmt.Sprint(i), false, 1)
		m.AttemptStarted(uint64(i + 1))
	}
	rows, engines = m.Collect()
	arrived := 0
	for _, r := range rows {
		arrived += r.Arrived
	}
	if arrived != 10000 || len(rows) > maxRows+1 || len(engines) > maxEngines+1 || m.histogramBytes > maxHistogramBytes+1<<20 {
		t.Errorf("%d rows with %d arrivals, %d engines, %d bytes", len(rows), arrived, len(engines), m.histogramBytes)
	}
}

// Counting a request allocates nothing once its row is there.
func TestMeterAllocatesNothing(t *testing.T) {
	m := NewMeter(func(uint64) string { return "e" })
	one := func() {
		m.RequestArrived("lookup", "a", false, 100)
		m.AttemptStarted(1)
		m.AttemptEnded(1, AttemptServed, 50)
		m.RequestEnded("lookup", "a", RequestOnTime, 60)
	}
	one()
	if n := testing.AllocsPerRun(100, one); n != 0 {
		t.Errorf("%v allocations", n)
	}
}

func TestTee(t *testing.T) {
	var got []*Event
	var out strings.Builder
	log := slog.New(NewLogHandler(slog.NewTextHandler(&out, nil), func() float64 { return 7 }, func(e *Event) { got = append(got, e) }))
	log.With("name", "n0").Warn("the loop stood still", "ms", 500)
	log.Debug("not this")
	want := []*Event{{AtMS: 7, Name: "the loop stood still", Fields: map[string]string{"name": "n0", "ms": "500"}}}
	if diff := cmp.Diff(want, got); diff != "" || !strings.Contains(out.String(), "ms=500") {
		t.Error(diff, out.String())
	}
}

// putSum writes a frame's sum anew.
func putSum(frame []byte) {
	binary.BigEndian.PutUint32(frame[4:], crc32.Checksum(frame[frameHead:], table))
}
