package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"windflow/internal/goldentest"
	"windflow/internal/record"
)

// goldenSegments holds the segments of three routers: two that write has write, and one with each kind of record.
const goldenSegments = "segments.tar.gz"

// recordSegments writes the golden segments with this program.
func recordSegments(t *testing.T) {
	dir := write(t)
	cfg := record.Defaults
	cfg.Dir = dir
	at := zero
	w := record.Start(cfg, record.Header{
		Router: "n2", Place: 1, Process: "p2", Program: "windflow 1.2",
		Classes: []record.Class{{Name: "lookup", Worth: 1, LateWorth: 0.25, AimMS: 300}},
	}, func() float64 { return at }, func(err error) { t.Error(err) })
	for _, r := range fullRecords() {
		w.Put(r)
	}
	w.Stop()
	goldentest.Write(t, goldenSegments, goldentest.Pack(t, dir))
}

// fullRecords are one of each kind, all fields set.
func fullRecords() []record.Record {
	row := record.Row{
		Class: "lookup", Tenant: "rckik-south", Arrived: 50, Again: 1, InAim: 40, Late: 3, Refused: 4, Failed: 2, Left: 5,
		WorkMS: 812.5, P50: 11.5, P99: 93.25,
	}
	engine := record.EngineRow{
		ID: "s-00000001", Sent: 50, Served: 43, Full: 2, Errored: 1, Broken: 3, Silent: 4, Running: 7,
		Threads: 2.5, P50: 10.5, P99: 88.75,
	}
	return []record.Record{
		&record.Engine{
			At: zero + 1, ID: "s-00000001", State: record.Down, Was: record.Slow, Slow: 3.5, Fail: 0.125, Lost: 6,
			WarmAt: zero + 9000, Zone: "z1", Kind: "large", Event: 77,
		},
		&record.Second{
			At: zero + 1000, ForMS: 1000, Rows: []record.Row{row}, Engines: []record.EngineRow{engine}, Open: 9, Held: 2,
			Jam: 0.5, Conns: 31, Session: 12, Turned: 3, Spoilt: 4, Event: 78, BoardMS: 250.5,
		},
		&record.Answer{
			At: zero + 1001, ID: "0000000000000001", Class: "lookup", Tenant: "rckik-south", Refused: true,
			Reason: "no room", Engine: "s-00000001", AfterMS: 41.5,
		},
		&record.Event{At: zero + 1002, Name: "reload", Fields: map[string]string{"file": "settings.json", "result": "taken"}},
		&record.Gap{At: zero + 1003, From: zero + 900, Records: 21},
	}
}

// What is printed of segments that an earlier program wrote is what was printed then.
func TestGoldenRecords(t *testing.T) {
	goldentest.AllFieldsSet(t, fullRecords())
	if goldentest.Recording(t, goldenSegments) {
		recordSegments(t)
	}
	dir := goldentest.Unpack(t, goldentest.Read(t, goldenSegments))
	cut := filepath.Join(t.TempDir(), "cut")
	full, err := filepath.Glob(filepath.Join(dir, "n2-*"))
	if err != nil || len(full) != 1 {
		t.Fatal(full, err)
	}
	for _, k := range []struct {
		file string
		args []string
	}{
		{"records-cat.txt", []string{"records", "cat", full[0]}},
		{"records-cat-kinds.txt", []string{"records", "cat", "--kind", "engine,header,gap", dir}},
		{"records-check.txt", []string{"records", "check", dir}},
		{"records-cut.txt", []string{"records", "cut", "--from", stamp(zero + 58_000), "--to", stamp(zero + 61_000), "-o", cut, dir}},
		{"records-cut-cat.txt", []string{"records", "cat", cut}},
		{"incident.txt", []string{"incident", dir}},
	} {
		out, bad, err := run(t, k.args...)
		said := fmt.Sprintf("%s%s%v\n", out, bad, err)
		goldentest.Equal(t, k.file, []byte(strings.ReplaceAll(said, dir, "DIR")))
	}
}

// What is told of a segment that is cut off, one that is damaged and one that is none is what was told before.
func TestGoldenRecordsDamaged(t *testing.T) {
	dir := goldentest.Unpack(t, goldentest.Read(t, goldenSegments))
	files, err := record.Files(dir)
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
	out, bad, err := run(t, "records", "check", dir)
	goldentest.Equal(t, "records-damaged.txt", []byte(strings.ReplaceAll(fmt.Sprintf("%s%s%v\n", out, bad, err), dir, "DIR")))
}

// The calls at a door, and what is printed of its answers, are what they were.
func TestGoldenDoor(t *testing.T) {
	var calls bytes.Buffer
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		fmt.Fprintf(&calls, "%s %s %q\n", r.Method, r.URL, body)
		if strings.HasSuffix(r.URL.Path, "/unknown") {
			w.WriteHeader(http.StatusNotFound)
		}
		_, _ = io.WriteString(w, `{"said":"yes"}`+"\n")
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	var said bytes.Buffer
	for _, args := range [][]string{{"ready"}, {"figures"}, {"exclude", "s-00000001"}, {"include", "s-00000001"}, {"exclude", "unknown"}} {
		out, bad, err := run(t, append([]string{"door", "--door", address}, args...)...)
		fmt.Fprintf(&said, "%v\n%s%s%v\n\n", args, out, bad, err)
	}
	_, _, err := run(t, "door", "ready")
	fmt.Fprintf(&said, "no door: %v\n", err)
	goldentest.Equal(t, "door.txt", bytes.ReplaceAll(said.Bytes(), []byte(address), []byte("DOOR")))
	goldentest.Equal(t, "door-calls.txt", calls.Bytes())
}
