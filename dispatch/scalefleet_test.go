package dispatch

import (
	"fmt"
	"math"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"windflow/internal/capacity"
)

// scaleEnv is the environment variable that makes the tests use the fleet size of the design and write their results to
// docs/capacity/scale.json if it is 1. The names of scenarios, windows and figures appear in that file.
const scaleEnv = "WINDFLOW_SCALE"

// scaleWindow is a period in which the starts on each engine are counted.
type scaleWindow struct {
	name         string
	from, to     time.Duration
	warming      bool // counts engines that warm up from its beginning to its end, instead of warm ones
	startsBefore map[*fleetEngine]int
	starts       []float64 // number of starts on each engine that was counted at its beginning and at its end
}

// scaleScenario is a scenario on a large fleet with the limits that its results have to meet.
type scaleScenario struct {
	name              string
	fleet             fleetScenario
	windows           []scaleWindow
	minServed         float64       // minimum served share of the priority weight, from the fault on
	minServedAtEnd    float64       // minimum served share of the priority weight in the last four seconds
	inCI              bool          // it also runs in CI, on a smaller fleet
	maxLoadMove       time.Duration // maximum time until all loads have moved off the rack; 0 for no check
	maxStartsOverMean float64       // maximum starts on one engine relative to the mean, in windows of warm engines
}

// scaleScenarios returns the scenarios for a fleet of the given size. In the scenario with a third less load, one
// region has the capacity to serve the traffic of both.
func scaleScenarios(routers, engines int) []scaleScenario {
	base := fleetScenario{
		seed: 1, routers: routers, engines: engines, cores: 24, zones: 6, offeredLoad: 0.6, slowShare: 0.125,
		faultAt: 3 * time.Second,
	}
	return slices.Concat(lossScenarios(base), rollingScenarios(base))
}

// modified returns a copy of a scenario after a change.
func modified(scenario fleetScenario, change func(*fleetScenario)) fleetScenario {
	change(&scenario)
	return scenario
}

// lossScenarios returns the scenario without a fault, and those in which zones are lost or separated.
func lossScenarios(base fleetScenario) []scaleScenario {
	lost := modified(base, func(s *fleetScenario) {
		s.zoneLost, s.listDelay, s.faultDuration, s.duration = true, 2800*ms, 8*time.Second, 25*time.Second
	})
	lostWindows := func() []scaleWindow {
		return []scaleWindow{
			{name: "lost and told", from: 6 * time.Second, to: 11 * time.Second},
			{name: "back, cold ones", from: 11400 * ms, to: 22 * time.Second, warming: true},
			{name: "back, warm again", from: 21 * time.Second, to: 25 * time.Second},
		}
	}
	return []scaleScenario{
		{
			name: "calm", minServed: 0.98, minServedAtEnd: 0.98, maxStartsOverMean: 2.1,
			windows: []scaleWindow{{name: "calm", from: 3 * time.Second, to: 12 * time.Second}},
			fleet:   modified(base, func(s *fleetScenario) { s.slowShare, s.duration = 0, 12*time.Second }),
		},
		{
			name: "zone lost, back cold", inCI: true, minServed: 0.97, minServedAtEnd: 0.97, maxStartsOverMean: 2.4,
			windows: lostWindows(),
			fleet:   modified(lost, func(s *fleetScenario) { s.lostZones = 1 }),
		},
		{
			name: "region lost, back cold", minServed: 0.85, minServedAtEnd: 0.95, maxStartsOverMean: 3,
			windows: lostWindows(),
			fleet:   modified(lost, func(s *fleetScenario) { s.lostZones = 3 }),
		},
		{
			name: "region lost, back cold, a third less load", inCI: true, minServed: 0.96, minServedAtEnd: 0.96,
			maxStartsOverMean: 2.7, windows: lostWindows(),
			fleet: modified(lost, func(s *fleetScenario) { s.lostZones, s.offeredLoad = 3, 0.4 }),
		},
		{
			name: "regions apart, joined", minServed: 0.96, minServedAtEnd: 0.97, maxStartsOverMean: 2.9,
			windows: []scaleWindow{
				{name: "apart", from: 4 * time.Second, to: 11 * time.Second},
				{name: "joined", from: 13 * time.Second, to: 18 * time.Second},
			},
			fleet: modified(base, func(s *fleetScenario) {
				s.partitioned, s.lostZones, s.faultDuration, s.duration = true, 3, 8*time.Second, 18*time.Second
			}),
		},
	}
}

// rollingScenarios returns the scenarios in which a rack is drained or lost, and those in which machines are restarted
// and replaced one by one.
func rollingScenarios(base fleetScenario) []scaleScenario {
	rolled := base.routers * 430 / 600
	rackSize := max(base.engines/50*2/3, 4) // the fleet has 50 racks; a third of the machines are routers
	rackWindows := func() []scaleWindow {
		return []scaleWindow{{name: "without it", from: 6500 * ms, to: 12 * time.Second}}
	}
	restartWindows := func() []scaleWindow {
		return []scaleWindow{{name: "restarts", from: 3 * time.Second, to: 18 * time.Second}}
	}
	rack := modified(base, func(s *fleetScenario) { s.rackSize, s.slowShare, s.duration = rackSize, 0, 12*time.Second })
	return []scaleScenario{
		{
			name: "rack drained", inCI: true, minServed: 0.99, minServedAtEnd: 0.99, maxStartsOverMean: 2,
			maxLoadMove: 9 * time.Second, windows: rackWindows(),
			fleet: modified(rack, func(s *fleetScenario) { s.rackDrained = true }),
		},
		{
			name: "rack lost", inCI: true, minServed: 0.99, minServedAtEnd: 0.99, maxStartsOverMean: 2.1,
			maxLoadMove: 9 * time.Second, windows: rackWindows(),
			fleet: modified(rack, func(s *fleetScenario) { s.listDelay = 2800 * ms }),
		},
		{
			name: "gateways restarted in a row", inCI: true, minServed: 0.97, minServedAtEnd: 0.98,
			maxStartsOverMean: 2.2, windows: restartWindows(),
			fleet: modified(base, func(s *fleetScenario) {
				s.rollingRestarts, s.faultDuration, s.duration = rolled, 15*time.Second, 22*time.Second
			}),
		},
		{
			name: "machines restarted and replaced in a row", inCI: true, minServed: 0.91, minServedAtEnd: 0.95,
			maxStartsOverMean: 1.6, windows: restartWindows(),
			fleet: modified(base, func(s *fleetScenario) {
				s.rollingRestarts, s.rollingReplacements = rolled/3, rolled-rolled/3
				s.faultDuration, s.duration = 15*time.Second, 33*time.Second
			}),
		},
	}
}

// TestScaleFleet simulates a complete fleet because each router knows only what it observes itself: the share that the
// fleet serves, idle engines and the load of warming engines are visible only in the sum over all routers. With
// scaleEnv set to 1 it runs all scenarios at the size of the design, 600 routers and 1,200 engines; in CI it runs some
// of them on a smaller fleet.
func TestScaleFleet(t *testing.T) {
	routers, engines := scaleRouters, scaleEngines
	full := os.Getenv(scaleEnv) == "1"
	if !full {
		routers, engines = 54, 72
		t.Logf("%d routers, %d engines; %s=1 simulates %d and %d and writes docs/capacity/scale.json",
			routers, engines, scaleEnv, scaleRouters, scaleEngines)
	}
	scenarios := scaleScenarios(routers, engines)
	if !full {
		scenarios = slices.DeleteFunc(scenarios, func(s scaleScenario) bool { return !s.inCI })
	}
	// The number of concurrent simulations is limited because the machine is shared.
	slots := make(chan struct{}, min(3, runtime.GOMAXPROCS(0)))
	var file sync.Mutex
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			result := runScaleScenario(t, scenario)
			if full && !t.Failed() {
				file.Lock()
				defer file.Unlock()
				writeScaleResults(t, result)
			}
		})
	}
}

// runScaleScenario simulates a scenario, checks its results and returns its figures.
func runScaleScenario(t *testing.T, scenario scaleScenario) capacity.SimulatedDay {
	t.Helper()
	startedAt := time.Now()
	f := newFleetSimulation(t, scenario.fleet)
	if !f.routers[0].controller.capacity.largeFleet() {
		t.Error("the controller does not treat the fleet as large, want a large fleet")
	}
	starts, toWarming := map[*fleetEngine]int{}, 0
	migration := loadMigration{simulation: f}
	f.onStart = func(router *fleetRouter, target *fleetEngine, class int) {
		starts[target]++
		migration.recordStart(router, target, f.routers[0].config.Classes[class].LocksTableGroup)
		if f.warmUpFactor(target) < 1 {
			toWarming++
		}
	}
	for i := range scenario.windows {
		scenario.windows[i].scheduleCounting(f, starts)
	}
	if scenario.maxLoadMove > 0 {
		f.schedule(scenario.fleet.faultAt, migration.begin)
	}
	f.run()
	figures := scaleFigures(f, toWarming)
	for _, window := range scenario.windows {
		window.check(t, scenario.maxStartsOverMean, figures)
	}
	if scenario.maxLoadMove > 0 {
		migration.check(t, scenario.maxLoadMove.Seconds(), figures)
	}
	if figures["served"] < scenario.minServed || figures["served_at_end"] < scenario.minServedAtEnd {
		t.Errorf("served %.3f of the weight and %.3f at the end, want at least %.2f and %.2f",
			figures["served"], figures["served_at_end"], scenario.minServed, scenario.minServedAtEnd)
	}
	f.checkWarmingLoad()
	t.Logf("simulated in %.0f s: %v", time.Since(startedAt).Seconds(), figures)
	for name, figure := range figures {
		figures[name] = math.Round(figure*1000) / 1000
	}
	return capacity.SimulatedDay{
		Name:    scenario.name,
		Routers: scenario.fleet.routers,
		Engines: scenario.fleet.engines,
		Zones:   scenario.fleet.zones,
		Figures: figures,
		Test:    "windflow/dispatch TestScaleFleet",
		Conditions: fmt.Sprintf(
			"the module alone, seed %d, load %.1f of the fleet, %.3g of the engines three times as slow",
			scenario.fleet.seed, scenario.fleet.offeredLoad, scenario.fleet.slowShare,
		),
	}
}

// scaleFigures returns the figures of a simulation under their names in docs/capacity/scale.json. toWarming is the
// number of attempts on warming engines.
func scaleFigures(f *fleetSimulation, toWarming int) map[string]float64 {
	from, to := int(f.scenario.faultAt/time.Second), int(f.scenario.duration/time.Second)
	starts, answeredFull := f.attemptTotals()
	return map[string]float64{
		"served":                      f.servedShare(from, to),
		"served_at_end":               f.servedShare(to-4, to),
		"sends":                       float64(starts),
		"answered_full":               float64(answeredFull),
		"sends_to_cold":               float64(toWarming),
		"sends_to_cold_share":         float64(toWarming) / float64(starts),
		"most_to_cold_of_what_it_may": f.warmingLoad.maxShare,
		"cold_fell":                   float64(f.warmingLoad.collapsed),
		"statements_per_second":       f.offeredStatements() / f.scenario.duration.Seconds(),
		"played_seconds":              f.scenario.duration.Seconds(),
	}
}

// check adds the figures of the window and checks that no counted engine was idle. In a window of warm engines, it also
// checks that the starts on one engine did not exceed maxStartsOverMean times the mean.
func (w *scaleWindow) check(t *testing.T, maxStartsOverMean float64, figures map[string]float64) {
	t.Helper()
	idle, mostOverMean, deviation := spreadOfCounts(w.starts)
	figures[w.name+": engines"], figures[w.name+": idle"] = float64(len(w.starts)), float64(idle)
	figures[w.name+": most over mean"], figures[w.name+": deviation over mean"] = mostOverMean, deviation
	if len(w.starts) == 0 || idle > 0 || !w.warming && mostOverMean > maxStartsOverMean {
		t.Errorf("%s: %d of %d engines idle, want 0 of at least 1; most starts %.2f of the mean, want at most %.2f",
			w.name, idle, len(w.starts), mostOverMean, maxStartsOverMean)
	}
	t.Logf("%s: %d engines, %d idle; starts relative to the mean: most %.2f, standard deviation %.2f",
		w.name, len(w.starts), idle, mostOverMean, deviation)
}

// scheduleCounting schedules the counting of starts at the beginning and at the end of the window. The starts map holds
// the current totals by engine.
func (w *scaleWindow) scheduleCounting(f *fleetSimulation, starts map[*fleetEngine]int) {
	isCounted := func(e *fleetEngine) bool {
		return !e.dead && !e.silent && e.State == Live && (f.warmUpFactor(e) < 1) == w.warming
	}
	f.schedule(w.from, func() {
		w.startsBefore = map[*fleetEngine]int{}
		for _, e := range f.engines {
			if isCounted(e) {
				w.startsBefore[e] = starts[e]
			}
		}
	})
	f.schedule(w.to, func() {
		for _, e := range f.engines {
			if n, ok := w.startsBefore[e]; ok && isCounted(e) {
				w.starts = append(w.starts, float64(starts[e]-n))
			}
		}
	})
}

// spreadOfCounts returns how many counts are 0, and the highest count and the standard deviation, both divided by the
// mean.
func spreadOfCounts(counts []float64) (idle int, mostOverMean, deviationOverMean float64) {
	sum, squares := 0.0, 0.0
	for _, n := range counts {
		if n == 0 {
			idle++
		}
		sum, squares = sum+n, squares+n*n
	}
	if sum == 0 {
		return idle, 0, 0
	}
	n := float64(len(counts))
	mean := sum / n
	return idle, slices.Max(counts) / mean, math.Sqrt(max(0, squares/n-mean*mean)) / mean
}

// writeScaleResults writes results to docs/capacity/scale.json and replaces earlier results with the same names.
func writeScaleResults(t *testing.T, results ...capacity.SimulatedDay) {
	t.Helper()
	path := filepath.Join("..", "docs", "capacity", "scale.json")
	var previous []capacity.SimulatedDay
	text, err := os.ReadFile(path)
	if err == nil {
		previous, err = capacity.ParseSimulatedDays(text)
	} else if os.IsNotExist(err) {
		err = nil
	}
	if err == nil {
		text, err = capacity.FormatSimulatedDays(capacity.MergeSimulatedDays(previous, results))
	}
	if err == nil {
		err = os.WriteFile(path, text, 0o644)
	}
	if err != nil {
		t.Error(err)
	}
}
