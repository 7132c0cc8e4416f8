package tracetest

import (
	"os"
	"path/filepath"
	"testing"
)

// A scenario passes with the line that was recorded, and fails with another one or with none. It guards against a trace
// that is recorded anew by mistake.
func TestCompare(t *testing.T) {
	got := line{steps: 3, sum: "abc"}
	for _, k := range []struct {
		name  string
		want  line
		known bool
		pass  bool
	}{
		{"as recorded", got, true, true},
		{"another hash", line{steps: 3, sum: "abd"}, true, false},
		{"another number of steps", line{steps: 4, sum: "abc"}, true, false},
		{"no line", line{}, false, false},
	} {
		if err := compare(got, k.want, k.known); (err == nil) != k.pass {
			t.Errorf("%s: %v", k.name, err)
		}
	}
}

// Lines are read as they were appended; one that is there twice, or is no line, is an error.
func TestLines(t *testing.T) {
	path := filepath.Join(t.TempDir(), "testdata", "traces.txt")
	if lines, err := read(path); err != nil || len(lines) != 0 {
		t.Error("a file that is missing:", lines, err)
	}
	for name, l := range map[string]line{"a/b": {1, "x"}, "c": {2, "y"}} {
		if err := appendLine(path, name, l); err != nil {
			t.Fatal(err)
		}
	}
	lines, err := read(path)
	if err != nil || len(lines) != 2 || lines["a/b"] != (line{1, "x"}) || lines["c"] != (line{2, "y"}) {
		t.Error(lines, err)
	}
	if err := appendLine(path, "c", line{2, "y"}); err != nil {
		t.Fatal(err)
	}
	if _, err := read(path); err == nil {
		t.Error("two lines of one scenario were taken")
	}
	if err := os.WriteFile(path, []byte("c two y\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := read(path); err == nil {
		t.Error("a line without a number was taken")
	}
}
