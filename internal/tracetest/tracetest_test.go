package tracetest

import (
	"os"
	"path/filepath"
	"testing"
)

// A trace passes only if it equals the recorded line; it fails if the line differs or does not exist. Otherwise a
// changed decision could go undetected.
func TestCompare(t *testing.T) {
	got := trace{steps: 3, sum: "abc"}
	for _, test := range []struct {
		name  string
		want  trace
		known bool
		pass  bool
	}{
		{"as recorded", got, true, true},
		{"another hash", trace{steps: 3, sum: "abd"}, true, false},
		{"another number of steps", trace{steps: 4, sum: "abc"}, true, false},
		{"no line", trace{}, false, false},
	} {
		if err := compare(got, test.want, test.known); (err == nil) != test.pass {
			t.Errorf("%s: error %v, want an error: %v", test.name, err, !test.pass)
		}
	}
}

// Traces are read as they were appended. A duplicate or malformed line is an error.
func TestReadTraces(t *testing.T) {
	path := filepath.Join(t.TempDir(), "testdata", "traces.txt")
	if traces, err := readTraces(path); err != nil || len(traces) != 0 {
		t.Errorf("missing file: got traces %v, error %v; want none", traces, err)
	}
	for name, recorded := range map[string]trace{"a/b": {1, "x"}, "c": {2, "y"}} {
		if err := appendLine(path, name, recorded); err != nil {
			t.Fatal(err)
		}
	}
	traces, err := readTraces(path)
	if err != nil || len(traces) != 2 || traces["a/b"] != (trace{1, "x"}) || traces["c"] != (trace{2, "y"}) {
		t.Errorf("traces %v, error %v; want the two that were appended", traces, err)
	}
	if err := appendLine(path, "c", trace{2, "y"}); err != nil {
		t.Fatal(err)
	}
	if _, err := readTraces(path); err == nil {
		t.Error("two lines of one scenario were accepted")
	}
	if err := os.WriteFile(path, []byte("c two y\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := readTraces(path); err == nil {
		t.Error("a line without a number was accepted")
	}
}
