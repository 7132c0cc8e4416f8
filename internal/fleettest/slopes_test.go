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

// slopesFolderEnv names the folder, under the module's root unless it is absolute, whose slopes.json the tests
// TestSlopes... write their rows into; without it they are skipped.
const slopesFolderEnv = "WINDFLOW_SLOPES"

// measuredSpan is how long a cost by the second is measured for.
const measuredSpan = 20 * time.Second

// requireSlopes skips a test unless slopesFolderEnv is set, and returns where its rows are written.
func requireSlopes(t *testing.T) *slopeRows {
	t.Helper()
	dir := os.Getenv(slopesFolderEnv)
	if dir == "" {
		t.Skipf("%s is not set to the folder for slopes.json: costs are measured by hand", slopesFolderEnv)
	}
	if !filepath.IsAbs(dir) {
		dir = filepath.Join("..", "..", dir)
	}
	r := &slopeRows{t: t, path: filepath.Join(dir, "slopes.json"), startLoad: loadAverage()}
	return r
}

// slopeRows are the slopes that one test measures.
type slopeRows struct {
	t         *testing.T
	path      string
	startLoad string
	mu        sync.Mutex
}

// loadAverage is how busy the machine is: the runnable threads, on average of a minute.
func loadAverage() string {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	first, _, _ := strings.Cut(string(text), " ")
	return first
}

// add fits a row and writes it to the file at once, in place of an older one of its name.
func (r *slopeRows) add(name, of, x, y string, points [][2]float64, conditions string) {
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

// measureCosts measures what processes take over a span in percent of a core, and the memory they use at its end in MB.
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

func pairs[X int | float64](x []X, y []float64) (points [][2]float64) {
	for i := range x {
		points = append(points, [2]float64{float64(x[i]), y[i]})
	}
	return points
}
