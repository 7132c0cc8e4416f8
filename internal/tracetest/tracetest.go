// Package tracetest compares the decisions of a package with a recorded trace. A scenario runs the package with fixed
// seeds and adds each decision to a Hash, field by field. A data file has one line for each scenario, with the number
// of steps and the hash. A change that must not alter any decision must not alter the data file.
//
// Only tests import this package. Values are encoded field by field, without the names of Go types or fields, so that
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

// recordedArch is the architecture that the traces were recorded on. Traces are not compared on other architectures,
// which may round sums of products differently.
const recordedArch = "amd64"

// dataFile is the path of the data file, relative to the folder of the package under test.
var dataFile = filepath.Join("testdata", "traces.txt")

var record = flag.Bool("record-traces", false,
	"append scenarios that have no line in testdata/traces.txt; no line is replaced")

// Hash computes the SHA-256 of a sequence of steps. Its zero value is not usable; Check creates the hashes.
type Hash struct {
	sum   hash.Hash
	steps int
}

// Step begins a step, usually one decision. The kind is a number that the caller chooses for each kind of step.
func (h *Hash) Step(kind int) {
	h.steps++
	h.Int(int64(kind))
}

// Uint adds an unsigned number, as 8 bytes in little-endian order.
func (h *Hash) Uint(v uint64) {
	h.sum.Write(binary.LittleEndian.AppendUint64(nil, v))
}

// Int adds a signed number or the number of an enumeration value, as its two's complement.
func (h *Hash) Int(v int64) { h.Uint(uint64(v)) }

// Float adds the bits of a floating-point number.
func (h *Hash) Float(v float64) { h.Uint(math.Float64bits(v)) }

// Duration adds a duration in nanoseconds.
func (h *Hash) Duration(v time.Duration) { h.Int(int64(v)) }

// Bool adds a Boolean, as the number 1 or 0.
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

// Scenario is a sequence of decisions that has one line in the data file.
type Scenario struct {
	Name string // in the data file; without spaces
	Run  func(t *testing.T, h *Hash)
}

// trace is the result of a scenario, one line of the data file.
type trace struct {
	steps int
	sum   string // in hexadecimal
}

// Check runs each scenario twice and compares the results with the data file. It fails the test if the two runs of a
// scenario differ, if the file has no line for a scenario or a line that differs, and if a line has no scenario.
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
		t.Errorf("%s: %s has a line for this scenario, but the scenario does not exist", name, dataFile)
	}
}

// check runs the scenario and compares the result with its line. If there is no line and the flag -record-traces is
// set, it appends one.
func (s Scenario) check(t *testing.T, want trace, recorded bool) {
	t.Helper()
	got, again := s.run(t), s.run(t)
	if t.Failed() {
		return
	}
	if got != again {
		t.Fatalf("two runs of the scenario differ: %d steps %s, then %d steps %s", got.steps, got.sum, again.steps, again.sum)
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

// compare returns an error that describes how a trace differs from the recorded one, or nil if they are equal.
// The parameter recorded is false if the data file has no line for the scenario.
func compare(got, want trace, recorded bool) error {
	switch {
	case !recorded:
		return fmt.Errorf("%s has no line for this scenario: got %d steps %s", dataFile, got.steps, got.sum)
	case got != want:
		return fmt.Errorf("got %d steps %s, want %d steps %s as recorded: a decision has changed",
			got.steps, got.sum, want.steps, want.sum)
	}
	return nil
}

// run runs the scenario once and returns its trace.
func (s Scenario) run(t *testing.T) trace {
	t.Helper()
	h := &Hash{sum: sha256.New()}
	s.Run(t, h)
	return trace{steps: h.steps, sum: hex.EncodeToString(h.sum.Sum(nil))}
}

// readTraces returns the traces of a data file by the names of their scenarios. It returns no traces if the file does
// not exist, and an error for a malformed or duplicate line.
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
			return nil, fmt.Errorf("%s: scenario %s has two lines", path, name)
		}
		traces[name] = recorded
	}
	return traces, scanner.Err()
}

// appendLine appends the line of a scenario to a data file, and creates the file and its folder if necessary.
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
