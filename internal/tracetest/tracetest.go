// Package tracetest compares the decisions of a package with a recorded trace. A scenario drives the package with fixed
// seeds and writes each decision into a Hash, field by field; a data file holds one line for each scenario. A change that
// must not alter any decision must not alter the data file.
//
// Only tests import this package. Values are encoded field by field, never with the names of Go types or fields, so that
// renaming these does not change a trace.
package tracetest

import (
	"bufio"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"flag"
	"fmt"
	"hash"
	"math"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"time"
)

// recordedOn is the architecture of the recorded traces: others may round sums of products differently.
const recordedArch = "amd64"

// dataFile is the data file, relative to the directory of the tested package.
var dataFile = filepath.Join("testdata", "traces.txt")

var record = flag.Bool("record-traces", false,
	"append scenarios that have no line in testdata/traces.txt; no line is replaced")

// Hash is the SHA-256 of a sequence of steps. The zero Hash is not usable; Check makes them.
type Hash struct {
	sum   hash.Hash
	steps int
}

// Step begins a step, usually one decision. The caller numbers the kinds of steps.
func (h *Hash) Step(kind int) {
	h.steps++
	h.Int(int64(kind))
}

// Uint adds an unsigned number.
func (h *Hash) Uint(v uint64) {
	h.sum.Write(binary.LittleEndian.AppendUint64(nil, v))
}

// Int adds a signed number, or the number of an enumeration's value.
func (h *Hash) Int(v int64) { h.Uint(uint64(v)) }

// Float adds the bits of a floating-point number.
func (h *Hash) Float(v float64) { h.Uint(math.Float64bits(v)) }

// Duration adds a duration in nanoseconds.
func (h *Hash) Duration(v time.Duration) { h.Int(int64(v)) }

// Bool adds a truth value, as 1 or 0.
func (h *Hash) Bool(v bool) {
	if v {
		h.Int(1)
		return
	}
	h.Int(0)
}

// String adds the length of a string and its bytes.
func (h *Hash) String(s string) {
	h.Int(int64(len(s)))
	h.sum.Write([]byte(s))
}

// Bytes adds the length of a byte slice and its bytes.
func (h *Hash) Bytes(b []byte) {
	h.Int(int64(len(b)))
	h.sum.Write(b)
}

// Scenario is one line of the data file.
type Scenario struct {
	Name string // without spaces
	Run  func(t *testing.T, h *Hash)
}

// trace is the result of a scenario, one line of the data file.
type trace struct {
	steps int
	sum   string // in hexadecimal
}

// Check runs each scenario twice and compares the results with the data file. It fails where the two runs differ, where
// the file has no line or a different one for a scenario, and where a line has no scenario.
func Check(t *testing.T, scenarios []Scenario) {
	t.Helper()
	traces, err := readTraces(dataFile)
	if err != nil {
		t.Fatal(err)
	}
	for _, scenario := range scenarios {
		want, recorded := traces[scenario.Name]
		delete(traces, scenario.Name)
		t.Run(scenario.Name, func(t *testing.T) { scenario.check(t, want, recorded) })
	}
	for name := range traces {
		t.Errorf("%s: %s has a line for it, and there is no such scenario", name, dataFile)
	}
}

// check runs the scenario and compares it with its line, or records that where there is none and the flag is set.
func (s Scenario) check(t *testing.T, want trace, recorded bool) {
	t.Helper()
	got, again := s.run(t), s.run(t)
	if t.Failed() {
		return
	}
	if got != again {
		t.Fatalf("two runs differ: %d steps %s, then %d steps %s", got.steps, got.sum, again.steps, again.sum)
	}
	if runtime.GOARCH != recordedArch {
		t.Logf("not compared with the trace recorded on %s: %d steps %s", recordedArch, got.steps, got.sum)
		return
	}
	if recorded || !*record {
		if err := compare(got, want, recorded); err != nil {
			t.Error(err)
		}
		return
	}
	if err := appendLine(dataFile, s.Name, got); err != nil {
		t.Fatal(err)
	}
	t.Logf("recorded %d steps", got.steps)
}

// compare returns an error that describes how a trace differs from the recorded one; known tells whether there is one.
func compare(got, want trace, recorded bool) error {
	switch {
	case !recorded:
		return fmt.Errorf("%s has no line for it: %d steps %s", dataFile, got.steps, got.sum)
	case got != want:
		return fmt.Errorf("%d steps %s, recorded are %d steps %s: a decision has changed",
			got.steps, got.sum, want.steps, want.sum)
	}
	return nil
}

func (s Scenario) run(t *testing.T) trace {
	t.Helper()
	h := &Hash{sum: sha256.New()}
	s.Run(t, h)
	return trace{steps: h.steps, sum: hex.EncodeToString(h.sum.Sum(nil))}
}

// read returns the traces of a data file by scenario; a missing file has none.
func readTraces(path string) (map[string]trace, error) {
	traces := map[string]trace{}
	file, err := os.Open(path)
	if os.IsNotExist(err) {
		return traces, nil
	}
	if err != nil {
		return nil, err
	}
	defer file.Close()
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		line := scanner.Text()
		if strings.HasPrefix(line, "#") {
			continue
		}
		var name string
		var recorded trace
		if _, err := fmt.Sscanf(line, "%s %d %s", &name, &recorded.steps, &recorded.sum); err != nil {
			return nil, fmt.Errorf("%s: %q: %w", path, line, err)
		}
		if _, duplicate := traces[name]; duplicate {
			return nil, fmt.Errorf("%s: %s has two lines", path, name)
		}
		traces[name] = recorded
	}
	return traces, scanner.Err()
}

// appendLine appends a line to a data file, and creates the file if it does not exist.
func appendLine(path, name string, recorded trace) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer file.Close()
	_, err = fmt.Fprintf(file, "%s %d %s\n", name, recorded.steps, recorded.sum)
	return err
}
