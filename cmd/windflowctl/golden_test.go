package main

import (
	"bytes"
	"encoding/json"
	"testing"

	"windflow/internal/golden"
	"windflow/internal/record"
)

// recordSamples has a record of each kind with no field left out.
func recordSamples() []record.Record {
	return []record.Record{
		&record.Header{
			Version: 1, Router: "n0", Place: 2, Process: "p-3", Program: "windflow v4", Segment: 5, ClockMS: 6.5,
			WallMS: 7.5, Classes: []record.Class{{Name: "lookup", Worth: 8.5, LateWorth: 0.25, AimMS: 9.5}},
		},
		&record.Engine{
			At: 11.5, ID: "s-00000001", State: record.Cordoned, Was: record.Slow, Slow: 12.5, Fail: 0.5, Lost: 13,
			WarmAt: 14.5, Zone: "a", Kind: "arrow", Event: 15,
		},
		&record.Second{
			At: 21.5, ForMS: 1000.5, Rows: []record.Row{sampleRow()}, Engines: []record.EngineRow{sampleEngineRow()},
			Open: 22, Held: 23, Jam: 0.75, Conns: 24, Session: 25, Turned: 26, Spoilt: 27, Event: 28, BoardMS: 29.5,
		},
		&record.Answer{
			At: 31.5, ID: "000000000000000b", Class: "load", Tenant: "a-17", Refused: true, Reason: "no room",
			Engine: "s-00000002", AfterMS: 32.5,
		},
		&record.Event{At: 41.5, Name: "takeover", Fields: map[string]string{"phase": "serving", "elder": "2"}},
		&record.Gap{At: 51.5, From: 52.5, Records: 53},
	}
}

func sampleRow() record.Row {
	return record.Row{
		Class: "lookup", Tenant: "a-17", Arrived: 61, Again: 62, InAim: 63, Late: 64, Refused: 65, Failed: 66,
		Left: 67, WorkMS: 68.5, P50: 69.5, P99: 70.5,
	}
}

func sampleEngineRow() record.EngineRow {
	return record.EngineRow{
		ID: "s-00000001", Sent: 71, Served: 72, Full: 73, Errored: 74, Broken: 75, Silent: 76, Running: 77,
		Threads: 78.5, P50: 79.5, P99: 80.5,
	}
}

// Each kind of record is printed as JSON as it was when the golden file was recorded: operators' programs read it.
func TestGoldenRecordsAsJSON(t *testing.T) {
	var out bytes.Buffer
	enc := json.NewEncoder(&out)
	for _, r := range recordSamples() {
		golden.Full(t, r)
		if err := enc.Encode(line{kindOf(r), "n0", 2, "p-3", stamp(record.When(r)), r}); err != nil {
			t.Fatal(err)
		}
	}
	golden.File(t, "testdata/golden/records.jsonl", out.Bytes())
}
