package fleettest

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"windflow/internal/capacity"
	"windflow/internal/decide/configlog"
)

// scenarioSize is the size of the fleet of TestConfigurationReachesTheFleet.
type scenarioSize struct {
	keepers, real, simulated int
	changes                  int // number of those one after the other, and of those in a burst
	tenants, engines         int // in the configuration of each router
}

// scenarioSizes returns a small size, except for values that environment variables set.
func scenarioSizes(t *testing.T) scenarioSize {
	t.Helper()
	size := scenarioSize{keepers: 3, real: realFollowers, simulated: 60, changes: 4, tenants: 4, engines: listedEngines}
	for name, value := range map[string]*int{
		"WINDFLOW_FLEET_KEEPERS": &size.keepers, "WINDFLOW_FLEET_REAL": &size.real,
		"WINDFLOW_FLEET_HOLLOW": &size.simulated, "WINDFLOW_FLEET_CHANGES": &size.changes, "WINDFLOW_FLEET_TENANTS": &size.tenants,
		"WINDFLOW_FLEET_ENGINES": &size.engines,
	} {
		if text := os.Getenv(name); text != "" {
			n, err := strconv.Atoi(text)
			if err != nil || n < 0 {
				t.Fatalf("%s: %q is not a number of at least 0", name, text)
			}
			*value = n
		}
	}
	return size
}

// burstRate is the number of changes per second in a burst.
const burstRate = 20

// regions lists the zones of each region. The first region also has the first keepers, which are the majority.
var regions = [2][]int{{0, 1, 2}, {3, 4, 5}}

func regionOf(zone int) int { return zone / len(regions[0]) }

// configuredFleet is a fleet whose routers follow keepers. Router i is in zone i mod 6. The simulated routers come first,
// the real ones after them.
type configuredFleet struct {
	t         *testing.T
	harness   *Harness
	size      scenarioSize
	keepers   *Keepers
	links     []*ZoneLinks // by zone
	simulated *SimulatedRouters
	real      []*Router
	changes   int
	figures   map[string]float64 // measured values by name
}

// newConfiguredFleet starts a fleet and waits until its processes are ready.
func newConfiguredFleet(t *testing.T, size scenarioSize) *configuredFleet {
	t.Helper()
	h := New(t)
	engines := Engines(size.engines)
	server := NewDiscoveryServer(t, engines)
	f := &configuredFleet{t: t, harness: h, size: size, figures: map[string]float64{}}
	config := Config{
		Name: "base", Routers: size.real + size.simulated, Discovery: server.Addr, Engines: engines,
		Tenants: size.tenants, OverQuotaWeight: 0.1,
	}
	f.keepers = h.Keepers(size.keepers, config)
	for range Zones {
		f.links = append(f.links, f.keepers.ZoneLinks(t))
	}
	specs := simulatedSpecs(size.simulated, config.Routers, engines, 1, func(int) string { return server.Addr })
	for i := range specs {
		section, err := json.Marshal(f.section(i))
		if err != nil {
			t.Fatal(err)
		}
		specs[i].Keepers = section
	}
	for i := range size.real {
		c := config
		c.Name, c.Index = fmt.Sprint("n", i), size.simulated+i
		c.Installation = map[string]any{"keepers": f.section(size.simulated + i)}
		f.real = append(f.real, h.Router(c))
	}
	f.simulated = h.SimulatedRouters(specs)
	for _, p := range f.real {
		p.Ready()
	}
	return f
}

// close kills the processes of a fleet before the end of its test.
func (f *configuredFleet) close() {
	for _, p := range f.simulated.Processes {
		p.Kill()
	}
	for _, p := range f.real {
		p.Kill()
	}
	for _, m := range f.keepers.Members {
		m.Kill()
	}
}

// section returns the settings section "keepers" of router i.
func (f *configuredFleet) section(i int) map[string]any {
	return f.links[i%len(Zones)].Section(filepath.Join(f.harness.Dir, fmt.Sprint("follower-", i)), i)
}

// nextChange returns a change with a new id and a new value of one setting.
func (f *configuredFleet) nextChange() configlog.Change {
	f.changes++
	return configlog.Change{ID: fmt.Sprint("change-", f.changes), Put: map[string]json.RawMessage{
		"/settings/over-share-worth": json.RawMessage(fmt.Sprintf("0.%06d", f.changes)),
	}}
}

// change proposes the next change to keeper i, and returns its revision and the time of the proposal.
func (f *configuredFleet) change(i int) (revision uint64, proposedAt time.Time) {
	f.t.Helper()
	return f.keepers.Change(i, f.nextChange())
}

// await waits until all routers in the selected zones have a revision in force. It records the time from the proposal
// until each of them had it in force, in microseconds, unless durations is nil.
func (f *configuredFleet) await(revision uint64, proposedAt time.Time, zones func(int) bool,
	durations *hdrhistogram.Histogram,
) {
	f.t.Helper()
	record := func(at time.Time) {
		if durations != nil {
			if err := durations.RecordValue(max(at.Sub(proposedAt).Microseconds(), 1)); err != nil {
				f.t.Error(err)
			}
		}
	}
	f.simulated.Await(func(state map[int]*RouterStatus) string {
		for n, s := range state {
			if s.regression != "" {
				f.t.Errorf("simulated router %d returned to an earlier revision: %s", n, s.regression)
				return ""
			}
			if s.Last() < revision && zones(n%len(Zones)) {
				return fmt.Sprintf("simulated router %d of zone %d is at revision %d, want %d", n, n%len(Zones), s.Last(), revision)
			}
		}
		for n, s := range state {
			if at, _ := s.Since(revision); zones(n % len(Zones)) {
				record(at)
			}
		}
		return ""
	})
	for _, p := range f.real {
		if zones(p.Index % len(Zones)) {
			record(p.AwaitRevision(revision))
		}
	}
}

func everyZone(int) bool { return true }

func newDurations() *hdrhistogram.Histogram { return hdrhistogram.New(1, 600_000_000, 3) }

// recordDurations records and logs the median, the 99th percentile and the maximum of durations, in milliseconds.
func (f *configuredFleet) recordDurations(name string, durations *hdrhistogram.Histogram) {
	f.t.Helper()
	for what, us := range map[string]int64{
		"median": durations.ValueAtQuantile(50), "99th": durations.ValueAtQuantile(99),
		"last": durations.Max(),
	} {
		f.figures[name+", "+what+" ms"] = float64(us) / 1000
	}
	f.t.Logf("%s: median %.0f ms, 99th %.0f ms, last %.0f ms of %d", name, f.figures[name+", median ms"],
		f.figures[name+", 99th ms"], f.figures[name+", last ms"], durations.TotalCount())
}

// measureDuring calls a function, and records and logs the processor time and memory of keepers and real routers and
// the bytes on the links during the call.
func (f *configuredFleet) measureDuring(name string, run func()) {
	f.t.Helper()
	var all []*Process
	for _, m := range f.keepers.Members {
		all = append(all, m.Process)
	}
	for _, p := range f.real {
		all = append(all, p.Process)
	}
	wire := func() (followerBytes float64) {
		for _, d := range f.links {
			followerBytes += float64(d.WireBytes())
		}
		return followerBytes
	}
	from, followerBytes, peerBytes := make([]Usage, len(all)), wire(), float64(f.keepers.WireBytes())
	for i, p := range all {
		from[i] = p.Usage()
	}
	run()
	most := map[string]float64{}
	for i, p := range all {
		to, role := p.Usage(), "keeper"
		if i >= len(f.keepers.Members) {
			role = "router"
		}
		for figure, v := range map[string]float64{"% of a core": Percent(from[i], to), "MB": to.MB()} {
			most["busiest "+role+", "+figure] = max(most["busiest "+role+", "+figure], v)
		}
	}
	followerBytes, peerBytes = wire()-followerBytes, float64(f.keepers.WireBytes())-peerBytes
	seconds := time.Since(from[0].At).Seconds()
	most["mean router, bytes/s"] = followerBytes / seconds / float64(f.size.real+f.size.simulated)
	most["mean keeper, bytes/s"] = (followerBytes + 2*peerBytes) / seconds / float64(f.size.keepers)
	for figure, v := range most {
		f.figures[name+", "+figure] = v
	}
	f.t.Logf("%s: over %.0f s: %v", name, seconds, most)
}

// burst proposes n changes to keeper i at burstRate without waiting for the responses, and calls atHalf, unless it is
// nil, after half of them. It returns the time of the proposal of each revision, and the last revision.
func (f *configuredFleet) burst(i, n int, atHalf func()) (proposedAt map[uint64]time.Time, last uint64) {
	f.t.Helper()
	type proposal struct {
		revision   uint64
		proposedAt time.Time
		err        error
	}
	proposals := make(chan proposal, n)
	ticker := time.NewTicker(time.Second / burstRate)
	defer ticker.Stop()
	for k := range n {
		if k == n/2 && atHalf != nil {
			atHalf()
		}
		<-ticker.C
		c := f.nextChange()
		go func() {
			revision, proposedAt, err := f.keepers.TryChange(i, c)
			proposals <- proposal{revision, proposedAt, err}
		}()
	}
	proposedAt = map[uint64]time.Time{}
	for range n {
		p := <-proposals
		if p.err != nil {
			f.t.Fatal(p.err)
		}
		proposedAt[p.revision], last = p.proposedAt, max(last, p.revision)
	}
	if len(proposedAt) != n {
		f.t.Errorf("%d changes with different ids resulted in %d revisions", n, len(proposedAt))
	}
	return proposedAt, last
}

// recordRate records and logs the number of changes per second that were proposed.
func (f *configuredFleet) recordRate(name string, proposedAt map[uint64]time.Time) {
	var first, last time.Time
	for _, at := range proposedAt {
		if first.IsZero() || at.Before(first) {
			first = at
		}
		if at.After(last) {
			last = at
		}
	}
	f.figures[name+", changes a second"] = float64(len(proposedAt)-1) / last.Sub(first).Seconds()
	f.t.Logf("%s: %.1f changes a second were proposed", name, f.figures[name+", changes a second"])
}

// awaitAll waits until all routers have the last revision in force, and records the durations for each revision.
func (f *configuredFleet) awaitAll(proposedAt map[uint64]time.Time, last uint64, durations *hdrhistogram.Histogram) {
	f.t.Helper()
	f.await(last, proposedAt[last], everyZone, nil)
	for revision, at := range proposedAt {
		f.await(revision, at, everyZone, durations)
	}
}

// members returns the indexes of n keepers.
func members(n int) (list []int) {
	for i := range n {
		list = append(list, i)
	}
	return list
}

// writeScale writes the figures to scale.json in the folder that slopesFolderEnv names, if it is set.
func (f *configuredFleet) writeScale() {
	dir := os.Getenv(slopesFolderEnv)
	if dir == "" {
		return
	}
	if !filepath.IsAbs(dir) {
		dir = filepath.Join("..", "..", dir)
	}
	path := filepath.Join(dir, "scale.json")
	day := capacity.SimulatedDay{
		Name: "configuration by revision", Routers: f.size.real + f.size.simulated, Engines: f.size.engines,
		Zones: len(Zones), Figures: map[string]float64{}, Test: "windflow/internal/fleettest " + f.t.Name(),
		Conditions: fmt.Sprintf("%d keepers, %d real and %d simulated routers, %d changes of one entry, "+
			"one after the other and at %d a second; "+
			"%d tenants; times from the operator's call on; %d cores, a 1-minute load of %s at the end with other work beside",
			f.size.keepers, f.size.real, f.size.simulated, f.size.changes, burstRate, f.size.tenants, runtime.NumCPU(),
			loadAverage()),
	}
	for name, v := range f.figures {
		day.Figures[name] = math.Round(v*1000) / 1000
	}
	var old []capacity.SimulatedDay
	text, err := os.ReadFile(path)
	if err == nil {
		old, err = capacity.ParseSimulatedDays(text)
	} else if os.IsNotExist(err) {
		err = nil
	}
	if err == nil {
		text, err = capacity.FormatSimulatedDays(capacity.MergeSimulatedDays(old, []capacity.SimulatedDay{day}))
	}
	if err == nil {
		err = os.WriteFile(path, text, 0o644)
	}
	if err != nil {
		f.t.Fatal(err)
	}
}
