package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// What each of hundreds of gateways does with the little that it sees adds up to service: on a fleet most of whose engines
// are new, one that is restarted, one that loses a zone. It guards against storms of the gateways' own making, and against
// cold engines that stand unused or fall over.
func TestFleetServes(t *testing.T) {
	day := fleetScenario{seed: 1, routers: 270, engines: 80, cores: 24, zones: 5, load: 0.6, duration: 26 * time.Second, slowShare: 0.125, faultAt: 6 * time.Second, faultFor: 7 * time.Second}
	for _, k := range []struct {
		name   string
		change func(*fleetScenario)
		served float64 // of the worth from joinAt on
		after  float64 // in the last four seconds
	}{
		{"calm", func(d *fleetScenario) { d.slowShare = 0 }, 0.98, 0.98},
		{"join", func(d *fleetScenario) { d.replacedShare, d.impatientShare = 0.6, 0.3 }, 0.77, 0.84},
		{"roll", func(d *fleetScenario) {
			d.replacedShare, d.slowShare, d.restartedShare, d.burstFactor = 0.5, 0, 0.3, 1.8
		}, 0.74, 0.95},
		{"herd", func(d *fleetScenario) { d.restartedShare = 0.7 }, 0.96, 0.97},
		{"split", func(d *fleetScenario) { d.partitioned, d.slowShare, d.faultFor = true, 0, 6*time.Second }, 0.98, 0.98},
		{"zone", func(d *fleetScenario) { d.zoneLost, d.faultFor = true, 5*time.Second }, 0.94, 0.93},
		{"half of a small fleet", func(d *fleetScenario) {
			d.routers, d.engines, d.zones, d.zoneLost, d.listDelay, d.faultFor, d.burstFactor = 80, 30, 2, true, 3*time.Second, 7*time.Second, 1.3
		}, 0.78, 0.95},
	} {
		t.Run(k.name, func(t *testing.T) {
			t.Parallel()
			d := day
			k.change(&d)
			f := newFleetSimulation(t, d)
			f.run()
			if served := f.served(6, 26); served < k.served {
				t.Errorf("%.3f of the worth was served, want %.2f", served, k.served)
			}
			if served := f.served(22, 26); served < k.after {
				t.Errorf("%.3f of the worth was served at the end, want %.2f", served, k.after)
			}
			if f.collapsed > 0 || f.maxWarmingLoad > 0.8 {
				t.Errorf("%d cold engines fell over; the most sent to one was %.2f of what it may be sent", f.collapsed, f.maxWarmingLoad)
			}
			sends, fulls := 0, 0
			for _, s := range f.seconds {
				sends, fulls = sends+s.starts, fulls+s.answeredFull
			}
			if fulls*10 > sends {
				t.Errorf("%d of %d sends were answered full", fulls, sends)
			}
			t.Logf("served %.3f, at the end %.3f; most to a cold engine %.2f; %d sends, %d full", f.served(6, 26), f.served(22, 26), f.maxWarmingLoad, sends, fulls)
		})
	}
}

// Cold engines stay under what they may be sent in sum over all gateways, of whatever number, in a crowd and with gateways that
// start anew, with one that has five times the mean, and where all that waits for a connection comes up together. Beyond the
// budget of N calls only 2 root of N + 2 are chance. Both regimes are tried, and both sides of where they part.
func TestWarmingEnginesAreNotOverloaded(t *testing.T) {
	day := fleetScenario{
		zones: 3, load: 1.1, duration: 16 * time.Second, slowShare: 0.1, replacedShare: 0.6, restartedShare: 0.5, burstFactor: 1.5,
		heavyRouterFactor: 5, faultAt: 5 * time.Second, faultFor: 3 * time.Second, connectInterval: 700 * ms,
	}
	for _, k := range []struct {
		gateways, cores, engines int
		large                    bool
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
		t.Run(fmt.Sprintf("%d gateways, %d cores", k.gateways, k.cores), func(t *testing.T) {
			t.Parallel()
			d := day
			d.routers, d.cores, d.engines, d.seed = k.gateways, k.cores, k.engines, 11
			f := newFleetSimulation(t, d)
			large := f.routers[0].controller.capacity.largeFleet()
			f.run()
			if f.collapsed > 0 || f.maxWarmingExcess > 1 {
				t.Errorf("%d cold engines fell over; the most sent to one was %.2f of what it may be sent, %.2f of what is left to chance",
					f.collapsed, f.maxWarmingLoad, f.maxWarmingExcess)
			}
			if large != k.large || f.maxWarmingLoad == 0 {
				t.Errorf("large %v, most %.2f", large, f.maxWarmingLoad)
			}
			t.Logf("served %.3f, most %.2f, beyond %.2f", f.served(5, 16), f.maxWarmingLoad, f.maxWarmingExcess)
		})
	}
}
