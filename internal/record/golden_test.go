package record

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"github.com/google/go-cmp/cmp"

	"windflow/internal/goldentest"
)

// goldenSegment holds goldenRecords as an earlier program wrote them.
const goldenSegment = "full.wfr"

// goldenRecords are a segment with each kind of record, all fields set. The event has one field, because several have no
// order among them.
func goldenRecords() []Record {
	const start = 1_796_000_000_000.5
	row := Row{
		Class: "lookup", Tenant: "rckik-south", Arrived: 50, Again: 1, InAim: 40, Late: 3, Refused: 4, Failed: 2, Left: 5,
		WorkMS: 812.5, P50: 11.5, P99: 93.25,
	}
	engine := EngineRow{
		ID: "s-00000001", Sent: 50, Served: 43, Full: 2, Errored: 1, Broken: 3, Silent: 4, Running: 7, Threads: 2.5,
		P50: 10.5, P99: 88.75,
	}
	return []Record{
		&Header{
			Version: 1, Router: "n0", Place: 2, Process: "4711.kfz", Program: "windflow 1.2", Segment: 3, ClockMS: start,
			WallMS: start + 17.25, Classes: []Class{{Name: "lookup", Worth: 1.5, LateWorth: 0.25, AimMS: 300}, {Name: "load", Worth: 8}},
		},
		&Engine{
			At: start + 1, ID: "s-00000001", State: Down, Was: Slow, Slow: 3.5, Fail: 0.125, Lost: 6, WarmAt: start + 9000,
			Zone: "z1", Kind: "large", Event: 77,
		},
		&Second{
			At: start + 1000, ForMS: 1000, Rows: []Row{row, {Class: "load"}}, Engines: []EngineRow{engine, {ID: "s-00000002"}}, Open: 9,
			Held: 2, Jam: 0.5, Conns: 31, Session: 12, Turned: 3, Spoilt: 4, Event: 78, BoardMS: 250.5,
		},
		&Answer{
			At: start + 1001, ID: "0000000000000001", Class: "lookup", Tenant: "rckik-south", Refused: true, Reason: "no room",
			Engine: "s-00000001", AfterMS: 41.5,
		},
		&Event{At: start + 1002, Name: "reload", Fields: map[string]string{"file": "settings.json"}},
		&Gap{At: start + 1003, From: start + 900, Records: 21},
	}
}

// encodeSegment gives the records' frames.
func encodeSegment(t *testing.T, records []Record) (segment []byte) {
	t.Helper()
	for _, r := range records {
		var err error
		if segment, err = appendFrame(segment, r); err != nil {
			t.Fatal(err)
		}
	}
	return segment
}

// decodeSegment gives a segment's records, the header among them.
func decodeSegment(t *testing.T, segment []byte) (records []Record) {
	t.Helper()
	r, err := NewReader(bytes.NewReader(segment))
	if err != nil {
		t.Fatal(err)
	}
	records = append(records, &r.Header)
	for {
		next, err := r.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		records = append(records, next)
	}
	if len(r.Damage) > 0 {
		t.Errorf("damage: %v", r.Damage)
	}
	return records
}

// A segment has the bytes that an earlier program gave it, and is read as it was meant.
func TestGoldenSegment(t *testing.T) {
	want := goldenRecords()
	goldentest.AllFieldsSet(t, want)
	goldentest.Equal(t, goldenSegment, encodeSegment(t, want))
	segment := goldentest.Read(t, goldenSegment)
	got := decodeSegment(t, segment)
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	if !bytes.Equal(encodeSegment(t, got), segment) {
		t.Error("the records that were read have other bytes when they are written")
	}
}

// The numbers of states, which segments hold, have the same names as before.
func TestGoldenStates(t *testing.T) {
	var text bytes.Buffer
	for s := range State(len(stateNames) + 1) {
		text.WriteString(s.String() + "\n")
	}
	goldentest.Equal(t, "states.txt", text.Bytes())
	numbers := []State{Unknown, Normal, WarmingUp, Slow, Ejected, Down, Draining, Cordoned, Gone}
	for want, s := range numbers {
		if int(s) != want {
			t.Errorf("%v is %d, want %d", s, s, want)
		}
	}
}
