package record

import (
	"bytes"
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// sampleRecords returns one record of each kind.
func sampleRecords() []Record {
	return []Record{
		&Header{
			Version: Version, Router: "n0", Incarnation: 2, ProcessID: "1.a", Program: "windflow", ClockMS: 1000,
			WallMS: 1001,
		},
		&EngineChange{
			AtMS: 1001, EngineID: "s-00000001", State: WarmingUp, WarmUpEndMS: 9000, Zone: "hall-a", Kind: "std-8",
			LastEvent: 3,
		},
		&Interval{
			AtMS: 2000, DurationMS: 1000,
			Classes: []ClassStats{
				{Class: "lookup", Tenant: "a", Arrived: 5, OnTime: 4, Late: 1, P50MS: 20, P99MS: 120},
			},
			Engines: []EngineStats{{EngineID: "s-00000001", Sent: 5, Served: 5}}, OpenRequests: 2, Congestion: 0.25,
		},
		&RequestFailure{
			AtMS: 2100, RequestID: "9b1f03aa5c7e2d41", Class: "load", Rejected: true, Reason: "no room in time",
			AfterMS: 12,
		},
		&Event{AtMS: 2200, Name: "reloaded", Fields: map[string]string{"board": "127.0.0.1:1"}},
		&Gap{AtMS: 2300, FromMS: 2250, Dropped: 7},
	}
}

// encodeFrames returns the frames of records.
func encodeFrames(t *testing.T, records ...Record) []byte {
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

// readAll returns the records of a segment, without the header, and the damage.
func readAll(data []byte) (got []Record, damage []Damage, err error) {
	r, err := NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, r.Damage, err
	}
	for {
		next, err := r.Next()
		if errors.Is(err, io.EOF) {
			return got, r.Damage, nil
		}
		if err != nil {
			return got, r.Damage, err
		}
		got = append(got, next)
	}
}

func TestRecordsAreReadAsWritten(t *testing.T) {
	all := sampleRecords()
	got, damage, err := readAll(encodeFrames(t, all...))
	if err != nil || len(damage) > 0 {
		t.Fatalf("damage %v, error %v, want none", damage, err)
	}
	if diff := cmp.Diff(all[1:], got); diff != "" {
		t.Error(diff)
	}
}

// A crash may truncate a segment at any byte. Each prefix of a segment must be readable up to its last complete record,
// with damage reported only if part of a record follows.
func TestTruncatedSegmentReadsToItsLastCompleteRecord(t *testing.T) {
	all := sampleRecords()
	complete := encodeFrames(t, all...)
	var ends []int
	for i := range all {
		ends = append(ends, len(encodeFrames(t, all[:i+1]...)))
	}
	for n := range len(complete) + 1 {
		got, damage, err := readAll(complete[:n])
		records, exact := 0, n == 0
		for _, end := range ends {
			if end <= n {
				records++
			}
			exact = exact || end == n
		}
		if records == 0 {
			if !errors.Is(err, io.EOF) {
				t.Errorf("prefix of %d bytes: error %v, want io.EOF", n, err)
			}
			continue
		}
		wrongDamage := (len(damage) == 0) != exact || len(damage) > 0 && !damage[0].Truncated
		if err != nil || len(got) != records-1 || wrongDamage {
			t.Errorf("prefix of %d bytes: read %d records, want %d; damage %v, error %v",
				n, len(got), records-1, damage, err)
		}
	}
}

// A damaged byte in a record, including in its length field, must cost that record only.
func TestDamagedRecordIsSkipped(t *testing.T) {
	all := sampleRecords()
	complete := encodeFrames(t, all...)
	from, to := len(encodeFrames(t, all[:2]...)), len(encodeFrames(t, all[:3]...))
	for i := from; i < to; i++ {
		damaged := bytes.Clone(complete)
		damaged[i] ^= 0x5a
		got, damage, err := readAll(damaged)
		want := append(append([]Record{}, all[1:2]...), all[3:]...)
		if diff := cmp.Diff(want, got); diff != "" || err != nil {
			t.Fatalf("damaged byte %d: error %v, records differ:\n%s", i, err, diff)
		}
		if len(damage) != 1 || damage[0] != (Damage{Offset: int64(from), Bytes: int64(to - from)}) {
			t.Errorf("damaged byte %d: reported damage %v", i, damage)
		}
	}
}

// A segment of a newer version and a file that is not a segment are rejected. A record of an unknown kind is ignored,
// because a later program may have written it.
func TestForeignVersionsFilesAndKinds(t *testing.T) {
	newer := encodeFrames(t, &Header{Version: Version + 1, Router: "n0"}, &Gap{AtMS: 1})
	if _, _, err := readAll(newer); !errors.Is(err, ErrNewerVersion) {
		t.Error("newer version: error", err, "want ErrNewerVersion")
	}
	for name, b := range map[string][]byte{
		"text": []byte(strings.Repeat("no records at all\n", 99)), "zeros": make([]byte, 4096),
		"no header": encodeFrames(t, &Gap{AtMS: 1}),
	} {
		if _, _, err := readAll(b); err == nil {
			t.Errorf("%s was accepted as a segment", name)
		}
	}
	// A record of an unknown kind is ignored.
	b := encodeFrames(t, sampleRecords()[0])
	later := encodeFrames(t, &Gap{AtMS: 5})
	later[frameHeaderBytes] = 200
	fixed, _ := appendFrame(nil, &Gap{AtMS: 6})
	setChecksum(later)
	b = append(b, later...)
	got, damage, err := readAll(append(b, fixed...))
	if err != nil || len(got) != 1 || len(damage) != 0 {
		t.Errorf("read %v with damage %v and error %v, want one record and no damage", got, damage, err)
	}
}

func FuzzReader(f *testing.F) {
	f.Add([]byte("\x00\x00\x00\x05abcd\x01x"))
	f.Fuzz(func(_ *testing.T, b []byte) {
		_, _, _ = readAll(b)
	})
}

// A reader must not keep more than a few records in memory, whatever the length of the segment.
func TestReaderMemoryIsBounded(t *testing.T) {
	head := encodeFrames(t, sampleRecords()[0])
	intervals := bytes.Repeat(encodeFrames(t, sampleRecords()[2]), 200)
	repeats := (64 << 20) / len(intervals)
	r, err := NewReader(io.MultiReader(bytes.NewReader(head), &repeatReader{data: intervals, n: repeats}))
	if err != nil {
		t.Fatal(err)
	}
	largest, n := 0, 0
	for {
		if _, err := r.Next(); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			t.Fatal(err)
		}
		n++
		largest = max(largest, cap(r.buf))
	}
	if n != 200*repeats || largest > 4*maxFrameBodyBytes {
		t.Errorf("read %d records, want %d; the buffer had up to %d bytes, want at most %d",
			n, 200*repeats, largest, 4*maxFrameBodyBytes)
	}
}

// repeatReader is a reader of n copies of data.
type repeatReader struct {
	data   []byte
	n      int // copies left
	offset int // in the current copy
}

func (r *repeatReader) Read(p []byte) (int, error) {
	if r.n == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.data[r.offset:])
	if r.offset += n; r.offset == len(r.data) {
		r.offset, r.n = 0, r.n-1
	}
	return n, nil
}

// An extracted segment begins with the state that each engine had at the start of the time range. Otherwise the states
// would be unknown until the next change.
func TestExtractStartsWithEngineStates(t *testing.T) {
	dir, out := t.TempDir(), t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "a"+Suffix), encodeFrames(t, sampleRecords()...), 0o600); err != nil {
		t.Fatal(err)
	}
	files, _ := SegmentFiles(dir)
	n, err := Extract(files, out, 2050, 2250)
	if err != nil || n != 3 {
		t.Fatalf("extracted %d records with error %v, want 3", n, err)
	}
	files, _ = SegmentFiles(out)
	var got []Record
	if _, err := ReadSegments(files, func(_ *Header, r Record) error { got = append(got, r); return nil }); err != nil {
		t.Fatal(err)
	}
	want := sampleRecords()
	state := *want[1].(*EngineChange)
	state.AtMS, state.Previous = 2050, WarmingUp
	if diff := cmp.Diff([]Record{&state, want[3], want[4]}, got); diff != "" {
		t.Error(diff)
	}
}
