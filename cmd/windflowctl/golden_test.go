package main

import (
	"bytes"
	"encoding/json"
	"testing"

	"windflow/internal/golden"
	"windflow/internal/record"
)

// recordSamples returns one record of each kind with all fields set.
func recordSamples() []record.Record {
	return []record.Record{
		&record.Header{
			Version: 1, Router: "n0", Incarnation: 2, ProcessID: "p-3", Program: "windflow v4", SegmentNumber: 5,
			ClockMS: 6.5,
			WallMS:  7.5,
			Classes: []record.Class{{Name: "lookup", PriorityWeight: 8.5, LateWeightShare: 0.25, ObjectiveMS: 9.5}},
		},
		&record.EngineChange{
			AtMS: 11.5, EngineID: "s-00000001", State: record.Cordoned, Previous: record.Slow, Slowness: 12.5,
			FailureRate: 0.5, ConnectionFailures: 13,
			WarmUpEndMS: 14.5, Zone: "a", Kind: "arrow", LastEvent: 15,
		},
		&record.Interval{
			AtMS: 21.5, DurationMS: 1000.5, Classes: []record.ClassStats{sampleClassStats()},
			Engines:      []record.EngineStats{sampleEngineStats()},
			OpenRequests: 22, QueuedRequests: 23, Congestion: 0.75, EngineConnections: 24, ClientSessions: 25,
			RejectedSessions: 26, InvalidResponses: 27, LastEvent: 28, DiscoveryAgeMS: 29.5,
		},
		&record.RequestFailure{
			AtMS: 31.5, RequestID: "000000000000000b", Class: "load", Tenant: "a-17", Rejected: true, Reason: "no room",
			EngineID: "s-00000002", AfterMS: 32.5,
		},
		&record.Event{AtMS: 41.5, Name: "takeover", Fields: map[string]string{"phase": "serving", "elder": "2"}},
		&record.Gap{AtMS: 51.5, FromMS: 52.5, Dropped: 53},
	}
}

func sampleClassStats() record.ClassStats {
	return record.ClassStats{
		Class: "lookup", Tenant: "a-17", Arrived: 61, Retries: 62, OnTime: 63, Late: 64, Rejected: 65, Failed: 66,
		Cancelled: 67, EstimateMS: 68.5, P50MS: 69.5, P99MS: 70.5,
	}
}

func sampleEngineStats() record.EngineStats {
	return record.EngineStats{
		EngineID: "s-00000001", Sent: 71, Served: 72, Rejected: 73, Errored: 74, ConnectionFailed: 75, TimedOut: 76,
		InFlight:    77,
		BusyThreads: 78.5, P50MS: 79.5, P99MS: 80.5,
	}
}

// Guards against a change of the JSON form of records, which operators' programs read.
func TestGoldenRecordsAsJSON(t *testing.T) {
	var out bytes.Buffer
	enc := json.NewEncoder(&out)
	for _, r := range recordSamples() {
		golden.NoZeroFields(t, r)
		if err := enc.Encode(printedRecord{kindName(r), "n0", 2, "p-3", formatTime(r.TimeMS()), r}); err != nil {
			t.Fatal(err)
		}
	}
	golden.Equal(t, "records.jsonl", out.Bytes())
}
