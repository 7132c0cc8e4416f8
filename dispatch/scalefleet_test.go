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

// scaleEnv has the days below played at the size that is designed for, and docs/capacity/scale.json written.
const scaleEnv = "WINDFLOW_SCALE"

// scaleWindow is a time of a day in which sends are counted by engine.
type scaleWindow struct {
	name         string
	from, to     time.Duration
	warming      bool // the engines that are cold at its beginning, not those that are warm
	startsBefore map[*fleetEngine]int
	starts       []float64 // sends to each engine that was up from its beginning to its end
}

// scaleScenario is a day on a large fleet, and what has to come of it.
type scaleScenario struct {
	name               string
	fleet              fleetScenario
	windows            []scaleWindow
	minServed          float64 // least share of the worth, from joinAt on
	minServedAtEnd     float64 // least share of the worth in the last four seconds
	inCI               bool    // it is played in CI too
	maxLoadMoveSeconds float64 // seconds within which all loads have to have moved from what is lost
	maxSpread          float64 // most sends to one engine over the mean, over all windows of warm engines
}

// scaleScenarios are the days at a size. Days of half the load leave a region room for what the other served.
func scaleScenarios(gateways, engines int) []scaleScenario {
	s := time.Second
	base := fleetScenario{seed: 1, routers: gateways, engines: engines, cores: 24, zones: 6, load: 0.6, slowShare: 0.125, faultAt: 3 * s}
	make := func(change func(*fleetScenario)) fleetScenario { d := base; change(&d); return d }
	lost := func(d *fleetScenario) { d.zoneLost, d.listDelay, d.faultFor, d.duration = true, 2800*ms, 8*s, 25*s }
	lostWindows := func() []scaleWindow {
		return []scaleWindow{
			{name: "lost and told", from: 6 * s, to: 11 * s},
			{name: "back, cold ones", from: 11400 * ms, to: 22 * s, warming: true},
			{name: "back, warm again", from: 21 * s, to: 25 * s},
		}
	}
	rolled := gateways * 430 / 600
	rack := max(engines/50*2/3, 4) // of 50 in the fleet; a third of its machines are gateways
	return []scaleScenario{
		{
			name: "calm", minServed: 0.98, minServedAtEnd: 0.98, maxSpread: 2.1, windows: []scaleWindow{{name: "calm", from: 3 * s, to: 12 * s}},
			fleet: make(func(d *fleetScenario) { d.slowShare, d.duration = 0, 12*s }),
		},
		{
			name: "zone lost, back cold", inCI: true, minServed: 0.97, minServedAtEnd: 0.97, maxSpread: 2.4, windows: lostWindows(),
			fleet: make(func(d *fleetScenario) { lost(d); d.lostZones = 1 }),
		},
		{
			name: "region lost, back cold", minServed: 0.85, minServedAtEnd: 0.95, maxSpread: 3, windows: lostWindows(),
			fleet: make(func(d *fleetScenario) { lost(d); d.lostZones = 3 }),
		},
		{
			name: "region lost, back cold, a third less load", inCI: true, minServed: 0.96, minServedAtEnd: 0.96, maxSpread: 2.7, windows: lostWindows(),
			fleet: make(func(d *fleetScenario) { lost(d); d.lostZones, d.load = 3, 0.4 }),
		},
		{
			name: "rack drained", inCI: true, minServed: 0.99, minServedAtEnd: 0.99, maxSpread: 2, maxLoadMoveSeconds: 9,
			windows: []scaleWindow{{name: "without it", from: 6500 * ms, to: 12 * s}},
			fleet:   make(func(d *fleetScenario) { d.rackSize, d.rackDrained, d.slowShare, d.duration = rack, true, 0, 12*s }),
		},
		{
			name: "rack lost", inCI: true, minServed: 0.99, minServedAtEnd: 0.99, maxSpread: 2.1, maxLoadMoveSeconds: 9,
			windows: []scaleWindow{{name: "without it", from: 6500 * ms, to: 12 * s}},
			fleet:   make(func(d *fleetScenario) { d.rackSize, d.listDelay, d.slowShare, d.duration = rack, 2800*ms, 0, 12*s }),
		},
		{
			name: "regions apart, joined", minServed: 0.96, minServedAtEnd: 0.97, maxSpread: 2.9,
			windows: []scaleWindow{{name: "apart", from: 4 * s, to: 11 * s}, {name: "joined", from: 13 * s, to: 18 * s}},
			fleet:   make(func(d *fleetScenario) { d.partitioned, d.lostZones, d.faultFor, d.duration = true, 3, 8*s, 18*s }),
		},
		{
			name: "gateways restarted in a row", inCI: true, minServed: 0.97, minServedAtEnd: 0.98, maxSpread: 2.2,
			windows: []scaleWindow{{name: "restarts", from: 3 * s, to: 18 * s}},
			fleet:   make(func(d *fleetScenario) { d.rollingRestarts, d.faultFor, d.duration = rolled, 15*s, 22*s }),
		},
		{
			name: "machines restarted and replaced in a row", inCI: true, minServed: 0.91, minServedAtEnd: 0.95, maxSpread: 1.6,
			windows: []scaleWindow{{name: "restarts", from: 3 * s, to: 18 * s}},
			fleet: make(func(d *fleetScenario) {
				d.rollingRestarts, d.rollingReplacements, d.faultFor, d.duration = rolled/3, rolled-rolled/3, 15*s, 33*s
			}),
		},
	}
}

// The decisions of a whole fleet of the size that is designed for: each gateway knows what it sees alone, and what the fleet serves, which
// engines stand idle and what cold ones get shows in the sum only. By hand at 600 gateways and 1,200 engines; in CI smaller.
func TestScaleFleet(t *testing.T) {
	gateways, engines := 600, 1200
	full := os.Getenv(scaleEnv) == "1"
	if !full {
		gateways, engines = 54, 72
		t.Logf("%d gateways, %d engines; %s=1 plays 600 and 1,200 and writes docs/capacity/scale.json", gateways, engines, scaleEnv)
	}
	days := scaleScenarios(gateways, engines)
	if !full {
		days = slices.DeleteFunc(days, func(d scaleScenario) bool { return !d.inCI })
	}
	slots := make(chan struct{}, min(3, runtime.GOMAXPROCS(0))) // the machine serves others too
	var file sync.Mutex
	for _, d := range days {
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			result := runScaleScenario(t, d)
			if full && !t.Failed() {
				file.Lock()
				defer file.Unlock()
				writeScale(t, result)
			}
		})
	}
}

func runScaleScenario(t *testing.T, d scaleScenario) capacity.Scale {
	began := time.Now()
	f := newFleetSimulation(t, d.fleet)
	if !f.routers[0].controller.capacity.largeFleet() {
		t.Error("not a large fleet: another rule is played")
	}
	sends, cold := map[*fleetEngine]int{}, 0
	moves := loadMigration{simulation: f}
	f.onStart = func(r *fleetRouter, e *fleetEngine, class int) {
		sends[e]++
		moves.recordStart(r, e, f.routers[0].config.Classes[class].LocksTableGroup)
		if f.warmUpFactor(e) < 1 {
			cold++
		}
	}
	for i := range d.windows {
		f.watchWindow(&d.windows[i], sends)
	}
	if d.maxLoadMoveSeconds > 0 {
		f.schedule(d.fleet.faultAt, moves.begin)
	}
	f.run()
	took := time.Since(began)
	from, to := int(d.fleet.faultAt/time.Second), int(d.fleet.duration/time.Second)
	served, after := f.served(from, to), f.served(to-4, to)
	total, fulls := 0, 0
	for _, s := range f.seconds {
		total, fulls = total+s.starts, fulls+s.answeredFull
	}
	figures := map[string]float64{
		"served": served, "served_at_end": after, "sends": float64(total), "answered_full": float64(fulls),
		"sends_to_cold": float64(cold), "sends_to_cold_share": float64(cold) / float64(total), "most_to_cold_of_what_it_may": f.maxWarmingLoad, "cold_fell": float64(f.collapsed),
		"statements_per_second": float64(f.statements()) / d.fleet.duration.Seconds(), "played_seconds": d.fleet.duration.Seconds(),
	}
	for _, w := range d.windows {
		idle, spread, deviation := spreadOfCounts(w.starts)
		figures[w.name+": engines"], figures[w.name+": idle"] = float64(len(w.starts)), float64(idle)
		figures[w.name+": most over mean"], figures[w.name+": deviation over mean"] = spread, deviation
		if len(w.starts) == 0 || idle > 0 || !w.warming && spread > d.maxSpread {
			t.Errorf("%s: %d engines, %d of them got nothing; the most sent to one %.2f of the mean, want at most %.2f",
				w.name, len(w.starts), idle, spread, d.maxSpread)
		}
		t.Logf("%s: %d engines, %d idle, most %.2f of the mean, deviation %.2f of it", w.name, len(w.starts), idle, spread, deviation)
	}
	if d.maxLoadMoveSeconds > 0 {
		moves.check(t, d.maxLoadMoveSeconds, figures)
	}
	if served < d.minServed || after < d.minServedAtEnd {
		t.Errorf("%.3f of the worth was served and %.3f at the end, want %.2f and %.2f", served, after, d.minServed, d.minServedAtEnd)
	}
	if f.collapsed > 0 || f.maxWarmingLoad > 0.8 {
		t.Errorf("%d cold engines fell over; the most sent to one was %.2f of what it may be sent", f.collapsed, f.maxWarmingLoad)
	}
	t.Logf("served %.3f, at the end %.3f; %d sends, %d full, %d to cold engines, most %.2f; %.0f s", served, after, total, fulls, cold, f.maxWarmingLoad, took.Seconds())
	for name, x := range figures {
		figures[name] = math.Round(x*1000) / 1000
	}
	return capacity.Scale{
		Name: d.name, Routers: d.fleet.routers, Engines: d.fleet.engines, Zones: d.fleet.zones, Figures: figures, Test: "windflow/dispatch TestScaleFleet",
		Conditions: fmt.Sprintf("the module alone, seed %d, load %.1f of the fleet, %.3g of the engines three times as slow", d.fleet.seed, d.fleet.load, d.fleet.slowShare),
	}
}

// watchWindow counts the sends of a window.
func (f *fleetSimulation) watchWindow(w *scaleWindow, sends map[*fleetEngine]int) {
	up := func(e *fleetEngine) bool {
		return !e.dead && !e.silent && e.State == Live && (f.warmUpFactor(e) < 1) == w.warming
	}
	f.schedule(w.from, func() {
		w.startsBefore = map[*fleetEngine]int{}
		for _, e := range f.engines {
			if up(e) {
				w.startsBefore[e] = sends[e]
			}
		}
	})
	f.schedule(w.to, func() {
		for _, e := range f.engines {
			if n, ok := w.startsBefore[e]; ok && up(e) {
				w.starts = append(w.starts, float64(sends[e]-n))
			}
		}
	})
}

// statements is the number of statements of clients, further tries not counted.
func (f *fleetSimulation) statements() (n float64) {
	worth := 0.0
	for i, k := range f.routers[0].config.Classes {
		worth += k.PriorityWeight * fleetClasses[i].part
	}
	for _, s := range f.seconds {
		n += s.offered / worth
	}
	return n
}

// spreadOfCounts gives how many got nothing, and the most and the standard deviation over the mean.
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

// writeScale puts days that went well into the file, in the place of what was measured of them before.
func writeScale(t *testing.T, results ...capacity.Scale) {
	path := filepath.Join("..", "docs", "capacity", "scale.json")
	var old []capacity.Scale
	text, err := os.ReadFile(path)
	if err == nil {
		old, err = capacity.ParseScales(text)
	} else if os.IsNotExist(err) {
		err = nil
	}
	if err == nil {
		text, err = capacity.FormatScales(capacity.MergeScales(old, results))
	}
	if err == nil {
		err = os.WriteFile(path, text, 0o644)
	}
	if err != nil {
		t.Error(err)
	}
}
