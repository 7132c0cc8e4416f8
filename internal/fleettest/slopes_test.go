package fleettest

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"windflow/internal/capacity"
)

// slopesFolderEnv is the environment variable for the folder with slopes.json, to which the tests TestSlopes... write.
// A relative path is relative to the module's root. Without the variable, these tests are skipped.
const slopesFolderEnv = "WINDFLOW_SLOPES"

// measuredSpan is the duration of a measurement of costs per second.
const measuredSpan = 20 * time.Second

// requireSlopes skips the test unless slopesFolderEnv is set, and returns the object that writes its slopes.
func requireSlopes(t *testing.T) *slopeWriter {
	t.Helper()
	dir := os.Getenv(slopesFolderEnv)
	if dir == "" {
		t.Skipf("%s is not set to the folder of slopes.json; costs are only measured by hand", slopesFolderEnv)
	}
	if !filepath.IsAbs(dir) {
		dir = filepath.Join("..", "..", dir)
	}
	r := &slopeWriter{t: t, path: filepath.Join(dir, "slopes.json"), startLoad: loadAverage()}
	return r
}

// slopeWriter writes the slopes that one test measures.
type slopeWriter struct {
	t         *testing.T
	path      string
	startLoad string
	mu        sync.Mutex
}

// loadAverage returns the load average of the machine over the last minute, or "unknown".
func loadAverage() string {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	first, _, _ := strings.Cut(string(text), " ")
	return first
}

// add fits a line to points and writes the slope to the file immediately. It replaces an older slope of the same name.
func (r *slopeWriter) add(name, of, x, y string, points [][2]float64, conditions string) {
	r.t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	conditions = fmt.Sprintf("%s; %d cores, a 1-minute load of %s at the start and %s at the end with other work beside",
		conditions, runtime.NumCPU(), r.startLoad, loadAverage())
	row, err := capacity.NewSlope(name, of, x, y, points, conditions, r.t.Name())
	if err != nil {
		r.t.Fatal(name, ": ", err)
	}
	var old []capacity.Slope
	text, err := os.ReadFile(r.path)
	if err == nil {
		old, err = capacity.ParseSlopes(text)
	} else if os.IsNotExist(err) {
		err = os.MkdirAll(filepath.Dir(r.path), 0o755)
	}
	if err == nil {
		text, err = capacity.FormatSlopes(capacity.MergeSlopes(old, []capacity.Slope{row}))
	}
	if err == nil {
		err = os.WriteFile(r.path, text, 0o644)
	}
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Logf("%s: %v + %v x, largest residual %v (%s by %s)\n  %v", name, row.Intercept, row.Slope, row.Residual, y, x,
		points)
}

// measureCosts measures the processor time of processes over a span, in percent of a core, and their resident memory at
// its end, in units of 2^20 bytes.
func measureCosts(span time.Duration, processes ...*Process) (percent, mb []float64) {
	from := make([]Usage, len(processes))
	for i, p := range processes {
		from[i] = p.Usage()
	}
	<-time.After(span)
	for i, p := range processes {
		to := p.Usage()
		percent, mb = append(percent, Percent(from[i], to)), append(mb, to.MB())
	}
	return percent, mb
}

// pairs returns points from equally long lists of their coordinates.
func pairs[X int | float64](x []X, y []float64) (points [][2]float64) {
	for i := range x {
		points = append(points, [2]float64{float64(x[i]), y[i]})
	}
	return points
}
