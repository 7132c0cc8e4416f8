package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"windflow/internal/record"
)

const startMS = 1_796_000_000_000.0

// writeIncidentRecords writes two minutes of records of two routers whose clocks are 250 ms apart, and returns their
// folder. An engine is down for ten seconds in the middle. The routers' names contain a terminal escape code.
func writeIncidentRecords(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	for i, offset := range []float64{0, 250} {
		cfg := record.DefaultConfig
		cfg.Dir = dir
		at := startMS
		w := record.StartWriter(cfg, record.Header{
			Router: "n" + string(rune('0'+i)) + "\x1b[31m", Incarnation: 2, ProcessID: "p" + string(rune('0'+i)),
			Classes: []record.Class{{Name: "lookup", PriorityWeight: 1}},
		}, func() float64 { return at }, func(err error) { t.Error(err) })
		on := func(ms float64) float64 { return startMS + ms + offset }
		w.Put(&record.EngineChange{AtMS: on(0), EngineID: "s-00000001", State: record.Normal})
		for second := range 120 {
			stats := record.ClassStats{Class: "lookup", Tenant: "rckik-south", Arrived: 50, OnTime: 50}
			if second >= 60 && second < 70 {
				stats.OnTime, stats.Failed = 20, 30
			}
			if second == 60 {
				w.Put(&record.EngineChange{
					AtMS: on(60_000), EngineID: "s-00000001", State: record.Down, Previous: record.Normal,
					ConnectionFailures: 6,
				})
			}
			if second == 70 {
				w.Put(&record.EngineChange{
					AtMS: on(70_000), EngineID: "s-00000001", State: record.Normal, Previous: record.Down,
				})
			}
			if second%20 == 5 {
				w.Put(&record.EngineChange{
					AtMS: on(float64(1000 * second)), EngineID: "s-0000010" + string(rune('0'+second/20)),
					State: record.Gone,
				})
			}
			w.Put(&record.Interval{
				AtMS: on(float64(1000 * second)), DurationMS: 1000, Classes: []record.ClassStats{stats},
			})
		}
		w.Close()
	}
	return dir
}

// run runs the program with args and returns its standard output, its standard error and its error.
func run(t *testing.T, args ...string) (out, stderr string, err error) {
	t.Helper()
	root := command()
	var outBuffer, errBuffer bytes.Buffer
	root.SetOut(&outBuffer)
	root.SetErr(&errBuffer)
	root.SetArgs(args)
	err = root.Execute()
	return outBuffer.String(), errBuffer.String(), err
}

// printedLine is a line of the output of "records cat", decoded by its JSON names.
type printedLine struct {
	Kind   string          `json:"kind"`
	Time   string          `json:"time"`
	Record json.RawMessage `json:"record"`
}

// decodeLine decodes a line and the record in it. It fails if the kind is not header or engine, or if the record has an
// unknown field.
func decodeLine(text string) (printedLine, error) {
	var printed printedLine
	if err := json.Unmarshal([]byte(text), &printed); err != nil {
		return printed, err
	}
	var target record.Record
	switch printed.Kind {
	case "header":
		target = &record.Header{}
	case "engine":
		target = &record.EngineChange{}
	default:
		return printed, fmt.Errorf("unexpected kind %q", printed.Kind)
	}
	decoder := json.NewDecoder(bytes.NewReader(printed.Record))
	decoder.DisallowUnknownFields()
	return printed, decoder.Decode(target)
}

// Covers the subcommands of "records": their output for intact segments, and their errors for wrong flags, damaged
// segments and a folder without segments.
func TestRecordsCommands(t *testing.T) {
	dir := writeIncidentRecords(t)
	out, _, err := run(t, "records", "check", dir)
	if err != nil || strings.Count(out, ": ok\n") != 2 {
		t.Errorf("check: output %q, error %v, want two lines with ok", out, err)
	}
	out, _, err = run(t, "records", "cat", "--kind", "engine,header", dir)
	lines := strings.Split(strings.TrimSpace(out), "\n")
	if err != nil || len(lines) != 2*(1+3+6) {
		t.Errorf("cat --kind engine,header: %d lines, error %v, want %d lines", len(lines), err, 2*(1+3+6))
	}
	for _, line := range lines {
		printed, err := decodeLine(line)
		if err != nil || printed.Kind != "engine" && printed.Kind != "header" || printed.Time == "" {
			t.Errorf("line %s: error %v, want a header or engine record with a time", line, err)
		}
	}
	_, _, err = run(t, "records", "cat", "--kind", "x", dir)
	if err == nil || !strings.Contains(err.Error(), "--kind") {
		t.Errorf("cat --kind x: error %v, want \"--kind\" in it", err)
	}
	cut := filepath.Join(t.TempDir(), "cut")
	const at = "2026-11-30T00:00:00Z"
	out, _, err = run(t, "records", "cut", "--from", at, "--to", at, "-o", cut, dir)
	if err == nil || !strings.Contains(err.Error(), "--to") {
		t.Errorf("cut of an empty time range: output %q, error %v, want \"--to\" in the error", out, err)
	}
	from, to := formatTime(startMS+50_000), formatTime(startMS+80_000)
	if out, _, err = run(t, "records", "cut", "--from", from, "--to", to, "-o", cut, dir); err != nil {
		t.Errorf("cut: output %q, error %v", out, err)
	}
	if out, _, err = run(t, "incident", cut); err != nil || !strings.Contains(out, "Incident 1") {
		t.Errorf("incident: output %q, error %v, want \"Incident 1\" in the output", out, err)
	}
	// A truncated file is reported but does not fail the check, because a crash may leave one. A damaged file fails it.
	files, _ := record.SegmentFiles(dir)
	text, _ := os.ReadFile(files[0])
	if err := os.WriteFile(files[0], text[:len(text)-3], 0o600); err != nil {
		t.Fatal(err)
	}
	if out, _, err = run(t, "records", "check", dir); err != nil || !strings.Contains(out, "cut off at byte") {
		t.Errorf("check of a truncated file: output %q, error %v, want \"cut off at byte\" and no error", out, err)
	}
	text[len(text)/2] ^= 1
	if err := os.WriteFile(files[0], text, 0o600); err != nil {
		t.Fatal(err)
	}
	if out, _, err = run(t, "records", "check", dir); err == nil || !strings.Contains(out, "damaged from byte") {
		t.Errorf("check of a damaged file: output %q, error %v, want \"damaged from byte\" and an error", out, err)
	}
	_, _, err = run(t, "records", "check", t.TempDir())
	if err == nil || !strings.Contains(err.Error(), "no segments") {
		t.Errorf("check of an empty folder: error %v, want \"no segments\" in it", err)
	}
}

// The report must have the incident, the clock offset, the affected class and tenant, and the engine. It must not
// contain the escape code in a router's name, which a terminal would interpret.
func TestIncidentCommand(t *testing.T) {
	out, _, err := run(t, "incident", writeIncidentRecords(t))
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"clock off by +250.0 ms", "Incident 1", "lookup of rckik-south", "failed", "engine s-00000001: down at n0",
	} {
		if !strings.Contains(out, want) {
			t.Errorf("report does not contain %q:\n%s", want, out)
		}
	}
	if strings.Contains(out, "\x1b") || strings.Contains(out, "Incident 2") {
		t.Errorf("report has an escape code or a second incident: %q", out)
	}
}
