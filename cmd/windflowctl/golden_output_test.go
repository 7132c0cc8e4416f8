package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"windflow/internal/golden"
	"windflow/internal/record"
)

// goldenSegments is the archive with the segments of three routers: two from writeIncidentRecords, and a third with one
// record of each kind.
const goldenSegments = "segments.tar.gz"

// writeGoldenSegments creates the golden file goldenSegments with the present program.
func writeGoldenSegments(t *testing.T) {
	t.Helper()
	dir := writeIncidentRecords(t)
	cfg := record.DefaultConfig
	cfg.Dir = dir
	at := startMS
	w := record.StartWriter(cfg, record.Header{
		Router: "n2", Incarnation: 1, ProcessID: "p2", Program: "windflow 1.2",
		Classes: []record.Class{{Name: "lookup", PriorityWeight: 1, LateWeightShare: 0.25, ObjectiveMS: 300}},
	}, func() float64 { return at }, func(err error) { t.Error(err) })
	for _, r := range goldenRecords() {
		w.Put(r)
	}
	w.Close()
	golden.Write(t, goldenSegments, golden.Pack(t, dir))
}

// goldenRecords returns one record of each kind except the header, with all fields set.
func goldenRecords() []record.Record {
	class := record.ClassStats{
		Class: "lookup", Tenant: "rckik-south", Arrived: 50, Retries: 1, OnTime: 40, Late: 3, Rejected: 4, Failed: 2,
		Cancelled:  5,
		EstimateMS: 812.5, P50MS: 11.5, P99MS: 93.25,
	}
	engine := record.EngineStats{
		EngineID: "s-00000001", Sent: 50, Served: 43, Rejected: 2, Errored: 1, ConnectionFailed: 3, TimedOut: 4,
		InFlight:    7,
		BusyThreads: 2.5, P50MS: 10.5, P99MS: 88.75,
	}
	return []record.Record{
		&record.EngineChange{
			AtMS: startMS + 1, EngineID: "s-00000001", State: record.Down, Previous: record.Slow, Slowness: 3.5,
			FailureRate: 0.125, ConnectionFailures: 6,
			WarmUpEndMS: startMS + 9000, Zone: "z1", Kind: "large", LastEvent: 77,
		},
		&record.Interval{
			AtMS: startMS + 1000, DurationMS: 1000, Classes: []record.ClassStats{class},
			Engines: []record.EngineStats{engine}, OpenRequests: 9, QueuedRequests: 2,
			Congestion: 0.5, EngineConnections: 31, ClientSessions: 12, RejectedSessions: 3, InvalidResponses: 4,
			LastEvent: 78, DiscoveryAgeMS: 250.5,
		},
		&record.RequestFailure{
			AtMS: startMS + 1001, RequestID: "0000000000000001", Class: "lookup", Tenant: "rckik-south", Rejected: true,
			Reason: "no room", EngineID: "s-00000001", AfterMS: 41.5,
		},
		&record.Event{
			AtMS: startMS + 1002, Name: "reload", Fields: map[string]string{"file": "settings.json", "result": "taken"},
		},
		&record.Gap{AtMS: startMS + 1003, FromMS: startMS + 900, Dropped: 21},
	}
}

// The output for segments that an earlier version of the program wrote must be what that version printed.
func TestGoldenRecords(t *testing.T) {
	golden.AllFieldsSet(t, goldenRecords())
	if golden.Recording(t, goldenSegments) {
		writeGoldenSegments(t)
	}
	dir := golden.Unpack(t, golden.Read(t, goldenSegments))
	cut := filepath.Join(t.TempDir(), "cut")
	full, err := filepath.Glob(filepath.Join(dir, "n2-*"))
	if err != nil || len(full) != 1 {
		t.Fatal(full, err)
	}
	for _, test := range []struct {
		file string
		args []string
	}{
		{"records-cat.txt", []string{"records", "cat", full[0]}},
		{"records-cat-kinds.txt", []string{"records", "cat", "--kind", "engine,header,gap", dir}},
		{"records-check.txt", []string{"records", "check", dir}},
		{
			"records-cut.txt",
			[]string{
				"records", "cut", "--from", formatTime(startMS + 58_000), "--to", formatTime(startMS + 61_000),
				"-o", cut, dir,
			},
		},
		{"records-cut-cat.txt", []string{"records", "cat", cut}},
		{"incident.txt", []string{"incident", dir}},
	} {
		out, stderr, err := run(t, test.args...)
		printed := fmt.Sprintf("%s%s%v\n", out, stderr, err)
		golden.Equal(t, test.file, []byte(strings.ReplaceAll(printed, dir, "DIR")))
	}
}

// The output for a truncated segment, a damaged one, and a file that is not a segment must be what an earlier version
// of the program printed.
func TestGoldenRecordsDamaged(t *testing.T) {
	dir := golden.Unpack(t, golden.Read(t, goldenSegments))
	files, err := record.SegmentFiles(dir)
	if err != nil {
		t.Fatal(err)
	}
	for i, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		switch i {
		case 0:
			content = content[:len(content)-3]
		case 1:
			content[len(content)/2] ^= 1
		default:
			content = []byte("none")
		}
		if err := os.WriteFile(file, content, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	out, stderr, err := run(t, "records", "check", dir)
	printed := fmt.Sprintf("%s%s%v\n", out, stderr, err)
	golden.Equal(t, "records-damaged.txt", []byte(strings.ReplaceAll(printed, dir, "DIR")))
}
