// Package tracetest compares what a package decides with a recorded trace. A scenario drives the package with fixed
// seeds and writes every decision into a Hash, field by field; a data file holds one line for each scenario. A change
// that is to leave all decisions as they are must leave the data file as it is.
//
// Only tests import this package. Values are encoded by hand, never with the names of Go types or fields, so that these
// can be renamed without another trace.
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

// recordedOn is the architecture of the recorded traces: others round sums of products in another way.
const recordedOn = "amd64"

// path is the data file, from the directory of the package that is tested.
var path = filepath.Join("testdata", "traces.txt")

var record = flag.Bool("record-traces", false, "append scenarios that have no line in testdata/traces.txt; no line is replaced")

// Hash is the SHA-256 of a sequence of steps. The zero Hash is not usable; Check makes them.
type Hash struct {
	sum   hash.Hash
	steps int
}

// Step begins a step, a decision most of the time, of a kind that the caller numbers.
func (h *Hash) Step(kind int) {
	h.steps++
	h.Int(int64(kind))
}

// Uint adds an unsigned number.
func (h *Hash) Uint(v uint64) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], v)
	h.sum.Write(b[:])
}

// Int adds a signed number, or an enumeration by its number.
func (h *Hash) Int(v int64) { h.Uint(uint64(v)) }

// Float adds the bits of a number.
func (h *Hash) Float(v float64) { h.Uint(math.Float64bits(v)) }

// Duration adds a duration in nanoseconds.
func (h *Hash) Duration(v time.Duration) { h.Int(int64(v)) }

// Bool adds a truth value.
func (h *Hash) Bool(v bool) {
	if v {
		h.Int(1)
		return
	}
	h.Int(0)
}

// String adds a text and its length.
func (h *Hash) String(s string) {
	h.Int(int64(len(s)))
	h.sum.Write([]byte(s))
}

// Bytes adds bytes and their number.
func (h *Hash) Bytes(b []byte) {
	h.Int(int64(len(b)))
	h.sum.Write(b)
}

// Scenario is one line of the data file.
type Scenario struct {
	Name string // without spaces
	Run  func(t *testing.T, h *Hash)
}

// line is what the data file says of a scenario.
type line struct {
	steps int
	sum   string
}

// Check runs each scenario twice and compares it with the data file. It fails where the two runs differ, where the file
// has no line for a scenario or another one, and where a line has no scenario.
func Check(t *testing.T, scenarios []Scenario) {
	t.Helper()
	lines, err := read(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range scenarios {
		want, known := lines[s.Name]
		delete(lines, s.Name)
		t.Run(s.Name, func(t *testing.T) { s.check(t, want, known) })
	}
	for name := range lines {
		t.Errorf("%s: %s has a line for it, and there is no such scenario", name, path)
	}
}

func (s Scenario) check(t *testing.T, want line, known bool) {
	got, again := s.play(t), s.play(t)
	if t.Failed() {
		return
	}
	if got != again {
		t.Fatalf("two runs differ: %d steps %s, then %d steps %s", got.steps, got.sum, again.steps, again.sum)
	}
	if runtime.GOARCH != recordedOn {
		t.Logf("not compared with the trace recorded on %s: %d steps %s", recordedOn, got.steps, got.sum)
		return
	}
	if known || !*record {
		if err := compare(got, want, known); err != nil {
			t.Error(err)
		}
		return
	}
	if err := appendLine(path, s.Name, got); err != nil {
		t.Fatal(err)
	}
	t.Logf("recorded %d steps", got.steps)
}

// compare says what is wrong with a trace, or nothing. A line that is known is never recorded anew.
func compare(got, want line, known bool) error {
	switch {
	case !known:
		return fmt.Errorf("%s has no line for it: %d steps %s", path, got.steps, got.sum)
	case got != want:
		return fmt.Errorf("%d steps %s, recorded are %d steps %s: a decision has changed", got.steps, got.sum, want.steps, want.sum)
	}
	return nil
}

func (s Scenario) play(t *testing.T) line {
	h := &Hash{sum: sha256.New()}
	s.Run(t, h)
	return line{steps: h.steps, sum: hex.EncodeToString(h.sum.Sum(nil))}
}

// read gives the lines of a data file by scenario; a file that is missing has none.
func read(path string) (map[string]line, error) {
	lines := map[string]line{}
	file, err := os.Open(path)
	if os.IsNotExist(err) {
		return lines, nil
	}
	if err != nil {
		return nil, err
	}
	defer file.Close()
	for in := bufio.NewScanner(file); in.Scan(); {
		if strings.HasPrefix(in.Text(), "#") {
			continue
		}
		var name string
		var l line
		if _, err := fmt.Sscanf(in.Text(), "%s %d %s", &name, &l.steps, &l.sum); err != nil {
			return nil, fmt.Errorf("%s: %q: %w", path, in.Text(), err)
		}
		if _, twice := lines[name]; twice {
			return nil, fmt.Errorf("%s: %s has two lines", path, name)
		}
		lines[name] = l
	}
	return lines, nil
}

// appendLine adds a line to a data file, and makes the file where there is none.
func appendLine(path, name string, l line) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer file.Close()
	_, err = fmt.Fprintf(file, "%s %d %s\n", name, l.steps, l.sum)
	return err
}
