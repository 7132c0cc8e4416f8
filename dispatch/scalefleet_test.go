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

// scaleEnv names the variable that runs the scenarios below at the size that is designed for, and
// docs/capacity/scale.json written. The names of scenarios, windows and figures are those of that file.
const scaleEnv = "WINDFLOW_SCALE"

// scaleWindow is a time in which starts are counted by engine.
type scaleWindow struct {
	name         string
	from, to     time.Duration
	warming      bool // the engines that warm up at its beginning are counted, not those that are warm
	startsBefore map[*fleetEngine]int
	starts       []float64 // on each engine that was up from its beginning to its end
}

// scaleScenario is a scenario on a large fleet, and what has to come of it.
type scaleScenario struct {
	name           string
	fleet          fleetScenario
	windows        []scaleWindow
	minServed      float64       // share of the priority weight, from the fault on
	minServedAtEnd float64       // share of the priority weight in the last four seconds
	inCI           bool          // it is played in CI too
	maxLoadMove    time.Duration // within which all loads have to have left what is lost; 0 if nothing is
	maxSpread      float64       // most starts on one engine over the mean, over all windows of warm engines
}

// scaleScenarios are the scenarios at a size. At a third less load a region has capacity for what the other served.
func scaleScenarios(routers, engines int) []scaleScenario {
	base := fleetScenario{
		seed: 1, routers: routers, engines: engines, cores: 24, zones: 6, load: 0.6, slowShare: 0.125,
		faultAt: 3 * time.Second,
	}
	return slices.Concat(lossScenarios(base), rollingScenarios(base))
}

// changed returns a scenario with changes.
func changed(scenario fleetScenario, change func(*fleetScenario)) fleetScenario {
	change(&scenario)
	return scenario
}

// lossScenarios lose or cut off zones.
func lossScenarios(base fleetScenario) []scaleScenario {
	lost := changed(base, func(s *fleetScenario) {
		s.zoneLost, s.listDelay, s.faultFor, s.duration = true, 2800*ms, 8*time.Second, 25*time.Second
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
			name: "calm", minServed: 0.98, minServedAtEnd: 0.98, maxSpread: 2.1,
			windows: []scaleWindow{{name: "calm", from: 3 * time.Second, to: 12 * time.Second}},
			fleet:   changed(base, func(s *fleetScenario) { s.slowShare, s.duration = 0, 12*time.Second }),
		},
		{
			name: "zone lost, back cold", inCI: true, minServed: 0.97, minServedAtEnd: 0.97, maxSpread: 2.4,
			windows: lostWindows(),
			fleet:   changed(lost, func(s *fleetScenario) { s.lostZones = 1 }),
		},
		{
			name: "region lost, back cold", minServed: 0.85, minServedAtEnd: 0.95, maxSpread: 3,
			windows: lostWindows(),
			fleet:   changed(lost, func(s *fleetScenario) { s.lostZones = 3 }),
		},
		{
			name: "region lost, back cold, a third less load", inCI: true, minServed: 0.96, minServedAtEnd: 0.96,
			maxSpread: 2.7, windows: lostWindows(),
			fleet: changed(lost, func(s *fleetScenario) { s.lostZones, s.load = 3, 0.4 }),
		},
		{
			name: "regions apart, joined", minServed: 0.96, minServedAtEnd: 0.97, maxSpread: 2.9,
			windows: []scaleWindow{
				{name: "apart", from: 4 * time.Second, to: 11 * time.Second},
				{name: "joined", from: 13 * time.Second, to: 18 * time.Second},
			},
			fleet: changed(base, func(s *fleetScenario) {
				s.partitioned, s.lostZones, s.faultFor, s.duration = true, 3, 8*time.Second, 18*time.Second
			}),
		},
	}
}

// rollingScenarios lose a rack, or restart and replace machines one by one.
func rollingScenarios(base fleetScenario) []scaleScenario {
	rolled := base.routers * 430 / 600
	rackSize := max(base.engines/50*2/3, 4) // of 50 racks in the fleet; a third of the machines are routers
	rackWindows := func() []scaleWindow {
		return []scaleWindow{{name: "without it", from: 6500 * ms, to: 12 * time.Second}}
	}
	restartWindows := func() []scaleWindow {
		return []scaleWindow{{name: "restarts", from: 3 * time.Second, to: 18 * time.Second}}
	}
	rack := changed(base, func(s *fleetScenario) { s.rackSize, s.slowShare, s.duration = rackSize, 0, 12*time.Second })
	return []scaleScenario{
		{
			name: "rack drained", inCI: true, minServed: 0.99, minServedAtEnd: 0.99, maxSpread: 2,
			maxLoadMove: 9 * time.Second, windows: rackWindows(),
			fleet: changed(rack, func(s *fleetScenario) { s.rackDrained = true }),
		},
		{
			name: "rack lost", inCI: true, minServed: 0.99, minServedAtEnd: 0.99, maxSpread: 2.1,
			maxLoadMove: 9 * time.Second, windows: rackWindows(),
			fleet: changed(rack, func(s *fleetScenario) { s.listDelay = 2800 * ms }),
		},
		{
			name: "gateways restarted in a row", inCI: true, minServed: 0.97, minServedAtEnd: 0.98, maxSpread: 2.2,
			windows: restartWindows(),
			fleet: changed(base, func(s *fleetScenario) {
				s.rollingRestarts, s.faultFor, s.duration = rolled, 15*time.Second, 22*time.Second
			}),
		},
		{
			name: "machines restarted and replaced in a row", inCI: true, minServed: 0.91, minServedAtEnd: 0.95,
			maxSpread: 1.6, windows: restartWindows(),
			fleet: changed(base, func(s *fleetScenario) {
				s.rollingRestarts, s.rollingReplacements = rolled/3, rolled-rolled/3
				s.faultFor, s.duration = 15*time.Second, 33*time.Second
			}),
		},
	}
}

// The decisions of a complete fleet at the size that is designed for: each router knows only what it observes, so that
// what the fleet serves, which engines are idle and what warming ones get shows in the sum only. By hand at 600
// routers and 1,200 engines; in CI smaller.
func TestScaleFleet(t *testing.T) {
	routers, engines := scaleRouters, scaleEngines
	full := os.Getenv(scaleEnv) == "1"
	if !full {
		routers, engines = 54, 72
		t.Logf("%d routers, %d engines; %s=1 plays %d and %d and writes docs/capacity/scale.json",
			routers, engines, scaleEnv, scaleRouters, scaleEngines)
	}
	scenarios := scaleScenarios(routers, engines)
	if !full {
		scenarios = slices.DeleteFunc(scenarios, func(s scaleScenario) bool { return !s.inCI })
	}
	slots := make(chan struct{}, min(3, runtime.GOMAXPROCS(0))) // the machine is shared
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
				writeScale(t, result)
			}
		})
	}
}

// runScaleScenario plays a scenario, checks its outcome and returns its figures.
func runScaleScenario(t *testing.T, scenario scaleScenario) capacity.SimulatedDay {
	t.Helper()
	began := time.Now()
	f := newFleetSimulation(t, scenario.fleet)
	if !f.routers[0].controller.capacity.largeFleet() {
		t.Error("not a large fleet: another rule is played")
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
		scenario.windows[i].watch(f, starts)
	}
	if scenario.maxLoadMove > 0 {
		f.schedule(scenario.fleet.faultAt, migration.begin)
	}
	f.run()
	figures := scaleFigures(f, toWarming)
	for _, window := range scenario.windows {
		window.check(t, scenario.maxSpread, figures)
	}
	if scenario.maxLoadMove > 0 {
		migration.check(t, scenario.maxLoadMove.Seconds(), figures)
	}
	if figures["served"] < scenario.minServed || figures["served_at_end"] < scenario.minServedAtEnd {
		t.Errorf("%.3f of the weight was served and %.3f at the end, want %.2f and %.2f",
			figures["served"], figures["served_at_end"], scenario.minServed, scenario.minServedAtEnd)
	}
	f.checkWarmingLoad()
	t.Logf("played in %.0f s: %v", time.Since(began).Seconds(), figures)
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
			scenario.fleet.seed, scenario.fleet.load, scenario.fleet.slowShare,
		),
	}
}

// scaleFigures are the figures of a simulation; toWarming is the number of attempts on warming engines.
func scaleFigures(f *fleetSimulation, toWarming int) map[string]float64 {
	from, to := int(f.scenario.faultAt/time.Second), int(f.scenario.duration/time.Second)
	starts, answeredFull := f.totals()
	return map[string]float64{
		"served":                      f.served(from, to),
		"served_at_end":               f.served(to-4, to),
		"sends":                       float64(starts),
		"answered_full":               float64(answeredFull),
		"sends_to_cold":               float64(toWarming),
		"sends_to_cold_share":         float64(toWarming) / float64(starts),
		"most_to_cold_of_what_it_may": f.warmingLoad.maxShare,
		"cold_fell":                   float64(f.warmingLoad.collapsed),
		"statements_per_second":       f.statements() / f.scenario.duration.Seconds(),
		"played_seconds":              f.scenario.duration.Seconds(),
	}
}

// check checks that no engine was idle in a window, and that none of the warm ones got far more than the mean.
func (w *scaleWindow) check(t *testing.T, maxSpread float64, figures map[string]float64) {
	t.Helper()
	idle, spread, deviation := spreadOfCounts(w.starts)
	figures[w.name+": engines"], figures[w.name+": idle"] = float64(len(w.starts)), float64(idle)
	figures[w.name+": most over mean"], figures[w.name+": deviation over mean"] = spread, deviation
	if len(w.starts) == 0 || idle > 0 || !w.warming && spread > maxSpread {
		t.Errorf("%s: %d engines, %d of them idle; the most on one %.2f of the mean, want at most %.2f",
			w.name, len(w.starts), idle, spread, maxSpread)
	}
	t.Logf("%s: %d engines, %d idle, most %.2f of the mean, deviation %.2f of it",
		w.name, len(w.starts), idle, spread, deviation)
}

// watch counts the starts of the window.
func (w *scaleWindow) watch(f *fleetSimulation, starts map[*fleetEngine]int) {
	counts := func(e *fleetEngine) bool {
		return !e.dead && !e.silent && e.State == Live && (f.warmUpFactor(e) < 1) == w.warming
	}
	f.schedule(w.from, func() {
		w.startsBefore = map[*fleetEngine]int{}
		for _, e := range f.engines {
			if counts(e) {
				w.startsBefore[e] = starts[e]
			}
		}
	})
	f.schedule(w.to, func() {
		for _, e := range f.engines {
			if n, ok := w.startsBefore[e]; ok && counts(e) {
				w.starts = append(w.starts, float64(starts[e]-n))
			}
		}
	})
}

// spreadOfCounts returns how many counts are 0, and the highest one and the standard deviation over the mean.
func spreadOfCounts(counts []float64) (idle int, most, deviation float64) {
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

// writeScale writes results into the file, in place of the former ones of the same names.
func writeScale(t *testing.T, results ...capacity.SimulatedDay) {
	t.Helper()
	path := filepath.Join("..", "docs", "capacity", "scale.json")
	var old []capacity.SimulatedDay
	text, err := os.ReadFile(path)
	if err == nil {
		old, err = capacity.ParseSimulatedDays(text)
	} else if os.IsNotExist(err) {
		err = nil
	}
	if err == nil {
		text, err = capacity.FormatSimulatedDays(capacity.MergeSimulatedDays(old, results))
	}
	if err == nil {
		err = os.WriteFile(path, text, 0o644)
	}
	if err != nil {
		t.Error(err)
	}
}
