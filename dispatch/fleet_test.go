package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// fleetServesTest is a scenario with the share of the priority weight that has to be served.
type fleetServesTest struct {
	name           string
	change         func(*fleetScenario)
	minServed      float64 // share of the priority weight, from the fault on
	minServedAtEnd float64 // the same share in the last four seconds
}

var fleetServesTests = []fleetServesTest{
	{"no fault", func(s *fleetScenario) { s.slowShare = 0 }, 0.98, 0.98},
	{"most engines replaced", func(s *fleetScenario) { s.replacedShare, s.impatientShare = 0.6, 0.3 }, 0.77, 0.84},
	{"engines replaced and routers restarted in a burst", func(s *fleetScenario) {
		s.replacedShare, s.slowShare, s.restartedShare, s.burstFactor = 0.5, 0, 0.3, 1.8
	}, 0.74, 0.95},
	{"most routers restart", func(s *fleetScenario) { s.restartedShare = 0.7 }, 0.96, 0.97},
	{"network partition", func(s *fleetScenario) {
		s.partitioned, s.slowShare, s.faultDuration = true, 0, 6*time.Second
	}, 0.98, 0.98},
	{"zone lost", func(s *fleetScenario) { s.zoneLost, s.faultDuration = true, 5*time.Second }, 0.94, 0.93},
	{"half of a small fleet lost", func(s *fleetScenario) {
		s.routers, s.engines, s.zones = 80, 30, 2
		s.zoneLost, s.listDelay, s.faultDuration, s.burstFactor = true, 3*time.Second, 7*time.Second, 1.3
	}, 0.78, 0.95},
}

// Hundreds of routers that each observe little together serve enough when most engines are new, routers restart or a
// zone is lost. This guards against request storms caused by the routers themselves, and against warming engines that
// are unused or collapse.
func TestFleetServesMinimumShare(t *testing.T) {
	scenario := fleetScenario{
		seed: 1, routers: 270, engines: 80, cores: 24, zones: 5, offeredLoad: 0.6, slowShare: 0.125,
		duration: 26 * time.Second,
		faultAt:  6 * time.Second, faultDuration: 7 * time.Second,
	}
	for _, test := range fleetServesTests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			changed := scenario
			test.change(&changed)
			f := newFleetSimulation(t, changed)
			f.run()
			served, servedAtEnd := f.servedShare(6, 26), f.servedShare(22, 26)
			if served < test.minServed {
				t.Errorf("served %.3f of the weight, want at least %.2f", served, test.minServed)
			}
			if servedAtEnd < test.minServedAtEnd {
				t.Errorf("served %.3f of the weight at the end, want at least %.2f", servedAtEnd, test.minServedAtEnd)
			}
			f.checkWarmingLoad()
			starts, answeredFull := f.attemptTotals()
			if answeredFull*10 > starts {
				t.Errorf("%d of %d attempts were rejected by full engines, want at most a tenth", answeredFull, starts)
			}
			t.Logf("served %.3f, at the end %.3f; highest load of a warming engine %.2f; %d attempts, %d full",
				served, servedAtEnd, f.warmingLoad.maxShare, starts, answeredFull)
		})
	}
}

// maxWarmingShare is the maximum load of a warming engine as a share of what it can handle.
const maxWarmingShare = 0.8

// checkWarmingLoad checks that no warming engine collapsed or came close to it.
func (f *fleetSimulation) checkWarmingLoad() {
	f.t.Helper()
	if load := f.warmingLoad; load.collapsed > 0 || load.maxShare > maxWarmingShare {
		f.t.Errorf("%d warming engines collapsed; the highest load of one was %.2f of its limit",
			load.collapsed, load.maxShare)
	}
}

// All routers together do not overload warming engines, however many routers there are. The scenario has a burst,
// restarting routers, one router with five times the mean traffic, and attempts that start together after waiting for
// a connection. Up to 2 sqrt(N) + 2 queries beyond the N that an engine can handle are attributed to chance. Small
// and large fleets on both sides of the limit between them are tested.
func TestWarmingEnginesAreNotOverloaded(t *testing.T) {
	scenario := fleetScenario{
		seed: 11, zones: 3, offeredLoad: 1.1, duration: 16 * time.Second, slowShare: 0.1, replacedShare: 0.6,
		restartedShare: 0.5,
		burstFactor:    1.5, heavyRouterFactor: 5, faultAt: 5 * time.Second, faultDuration: 3 * time.Second,
		connectInterval: 700 * ms,
	}
	for _, test := range []struct {
		routers, cores, engines int
		largeFleet              bool
	}{
		{3, 8, 8, false},
		{10, 8, 12, false},
		{16, 8, 16, false},
		{17, 8, 16, true},
		{20, 8, 16, true},
		{30, 8, 24, true},
		{80, 8, 40, true},
		{20, 24, 12, false},
		{30, 24, 12, false},
		{48, 24, 16, false},
		{49, 24, 16, true},
	} {
		t.Run(fmt.Sprintf("%d routers, %d cores", test.routers, test.cores), func(t *testing.T) {
			t.Parallel()
			sized := scenario
			sized.routers, sized.cores, sized.engines = test.routers, test.cores, test.engines
			f := newFleetSimulation(t, sized)
			largeFleet := f.routers[0].controller.capacity.largeFleet()
			f.run()
			load := f.warmingLoad
			if load.collapsed > 0 || load.maxExcess > 1 {
				t.Errorf("%d engines collapsed, want 0; highest load %.2f of its limit; excess %.2f, want up to 1",
					load.collapsed, load.maxShare, load.maxExcess)
			}
			if largeFleet != test.largeFleet || load.maxShare == 0 {
				t.Errorf("large fleet: %v, want %v; highest load of a warming engine %.2f, want above 0",
					largeFleet, test.largeFleet, load.maxShare)
			}
			t.Logf("served %.3f, highest load %.2f, excess %.2f", f.servedShare(5, 16), load.maxShare, load.maxExcess)
		})
	}
}
