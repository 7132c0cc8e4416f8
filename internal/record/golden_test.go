package record

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"github.com/google/go-cmp/cmp"

	"windflow/internal/golden"
)

// goldenSegment is the file that contains goldenRecords as an earlier version of the program wrote them.
const goldenSegment = "full.wfr"

// goldenRecords returns one record of each kind with all fields set. The event has only one field, because the order in
// which several are encoded is undefined.
func goldenRecords() []Record {
	const startMS = 1_796_000_000_000.5
	class := ClassStats{
		Class: "lookup", Tenant: "rckik-south", Arrived: 50, Retries: 1, OnTime: 40, Late: 3, Rejected: 4, Failed: 2,
		Cancelled:  5,
		EstimateMS: 812.5, P50MS: 11.5, P99MS: 93.25,
	}
	engine := EngineStats{
		EngineID: "s-00000001", Sent: 50, Served: 43, Rejected: 2, Errored: 1, ConnectionFailed: 3, TimedOut: 4,
		InFlight: 7, BusyThreads: 2.5,
		P50MS: 10.5, P99MS: 88.75,
	}
	return []Record{
		&Header{
			Version: 1, Router: "n0", Incarnation: 2, ProcessID: "4711.kfz", Program: "windflow 1.2", SegmentNumber: 3,
			ClockMS: startMS,
			WallMS:  startMS + 17.25,
			Classes: []Class{
				{Name: "lookup", PriorityWeight: 1.5, LateWeightShare: 0.25, ObjectiveMS: 300},
				{Name: "load", PriorityWeight: 8},
			},
		},
		&EngineChange{
			AtMS: startMS + 1, EngineID: "s-00000001", State: Down, Previous: Slow, Slowness: 3.5, FailureRate: 0.125,
			ConnectionFailures: 6, WarmUpEndMS: startMS + 9000,
			Zone: "z1", Kind: "large", LastEvent: 77,
		},
		&Interval{
			AtMS: startMS + 1000, DurationMS: 1000, Classes: []ClassStats{class, {Class: "load"}},
			Engines: []EngineStats{engine, {EngineID: "s-00000002"}}, OpenRequests: 9,
			QueuedRequests: 2, Congestion: 0.5, EngineConnections: 31, ClientSessions: 12, RejectedSessions: 3,
			InvalidResponses: 4, LastEvent: 78, DiscoveryAgeMS: 250.5,
		},
		&RequestFailure{
			AtMS: startMS + 1001, RequestID: "0000000000000001", Class: "lookup", Tenant: "rckik-south", Rejected: true,
			Reason:   "no room",
			EngineID: "s-00000001", AfterMS: 41.5,
		},
		&Event{AtMS: startMS + 1002, Name: "reload", Fields: map[string]string{"file": "settings.json"}},
		&Gap{AtMS: startMS + 1003, FromMS: startMS + 900, Dropped: 21},
	}
}

// encodeSegment returns the frames of records.
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

// decodeSegment returns the records of a segment, including the header.
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
		t.Errorf("segment has damage: %v, want none", r.Damage)
	}
	return records
}

// Guards against a change of the stored format: records must have the bytes that an earlier version of the program
// wrote, and must be the same after they are read.
func TestGoldenSegment(t *testing.T) {
	want := goldenRecords()
	golden.AllFieldsSet(t, want)
	golden.Equal(t, goldenSegment, encodeSegment(t, want))
	segment := golden.Read(t, goldenSegment)
	got := decodeSegment(t, segment)
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	if !bytes.Equal(encodeSegment(t, got), segment) {
		t.Error("records read from the segment are encoded to different bytes")
	}
}

// Guards against renumbering or renaming states: segments store the numbers, and windflowctl prints the names.
func TestGoldenStates(t *testing.T) {
	var text bytes.Buffer
	for s := range State(len(stateNames) + 1) {
		text.WriteString(s.String() + "\n")
	}
	golden.Equal(t, "states.txt", text.Bytes())
	numbers := []State{Unknown, Normal, WarmingUp, Slow, Ejected, Down, Draining, Cordoned, Gone}
	for want, s := range numbers {
		if int(s) != want {
			t.Errorf("%v is %d, want %d", s, s, want)
		}
	}
}
