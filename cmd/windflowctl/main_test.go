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

// writeIncidentRecords writes two minutes of records of two routers whose clocks are 250 ms apart. An engine is down for ten
// seconds in the middle.
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
					AtMS: on(float64(1000 * second)), EngineID: "s-0000010" + string(rune('0'+second/20)), State: record.Gone,
				})
			}
			w.Put(&record.Interval{AtMS: on(float64(1000 * second)), DurationMS: 1000, Classes: []record.ClassStats{stats}})
		}
		w.Close()
	}
	return dir
}

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

// printedLine is a line of "records cat" as a reader decodes it.
type printedLine struct {
	Kind   string          `json:"kind"`
	Time   string          `json:"time"`
	Record json.RawMessage `json:"record"`
}

// decodeLine decodes a line and the record in it, which must have the fields of its kind and no others.
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

func TestRecordsCommands(t *testing.T) {
	dir := writeIncidentRecords(t)
	out, _, err := run(t, "records", "check", dir)
	if err != nil || strings.Count(out, ": ok\n") != 2 {
		t.Error(out, err)
	}
	out, _, err = run(t, "records", "cat", "--kind", "engine,header", dir)
	lines := strings.Split(strings.TrimSpace(out), "\n")
	if err != nil || len(lines) != 2*(1+3+6) {
		t.Error(len(lines), err)
	}
	for _, line := range lines {
		printed, err := decodeLine(line)
		if err != nil || printed.Kind != "engine" && printed.Kind != "header" || printed.Time == "" {
			t.Errorf("%s: %v", line, err)
		}
	}
	_, _, err = run(t, "records", "cat", "--kind", "x", dir)
	if err == nil || !strings.Contains(err.Error(), "--kind") {
		t.Error(err)
	}
	cut := filepath.Join(t.TempDir(), "cut")
	const at = "2026-11-30T00:00:00Z"
	out, _, err = run(t, "records", "cut", "--from", at, "--to", at, "-o", cut, dir)
	if err == nil || !strings.Contains(err.Error(), "--to") {
		t.Error(out, err)
	}
	from, to := formatTime(startMS+50_000), formatTime(startMS+80_000)
	if out, _, err = run(t, "records", "cut", "--from", from, "--to", to, "-o", cut, dir); err != nil {
		t.Error(out, err)
	}
	if out, _, err = run(t, "incident", cut); err != nil || !strings.Contains(out, "Incident 1") {
		t.Error(out, err)
	}
	// A damaged file is reported and fails the check; a truncated one is only reported.
	files, _ := record.SegmentFiles(dir)
	text, _ := os.ReadFile(files[0])
	if err := os.WriteFile(files[0], text[:len(text)-3], 0o600); err != nil {
		t.Fatal(err)
	}
	if out, _, err = run(t, "records", "check", dir); err != nil || !strings.Contains(out, "cut off at byte") {
		t.Error(out, err)
	}
	text[len(text)/2] ^= 1
	if err := os.WriteFile(files[0], text, 0o600); err != nil {
		t.Fatal(err)
	}
	if out, _, err = run(t, "records", "check", dir); err == nil || !strings.Contains(out, "damaged from byte") {
		t.Error(out, err)
	}
	_, _, err = run(t, "records", "check", t.TempDir())
	if err == nil || !strings.Contains(err.Error(), "no segments") {
		t.Error(err)
	}
}

// The report names the incident, the clock's offset, who was affected and the engine. It has no escape code of a
// router's name.
func TestIncidentCommand(t *testing.T) {
	out, _, err := run(t, "incident", writeIncidentRecords(t))
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"clock off by +250.0 ms", "Incident 1", "lookup of rckik-south", "failed", "engine s-00000001: down at n0",
	} {
		if !strings.Contains(out, want) {
			t.Errorf("%q is not in\n%s", want, out)
		}
	}
	if strings.Contains(out, "\x1b") || strings.Contains(out, "Incident 2") {
		t.Errorf("%q", out)
	}
}
