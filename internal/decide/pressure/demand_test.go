package pressure

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// traffic is the demand for one table group in the whole fleet.
type traffic struct {
	loads    float64 // per second
	lockedMS float64 // lock time of each load
	cores    float64 // cores kept busy by readers of the group
}

// addTo adds the part of the traffic that one of three routers sees.
func (tr traffic) addTo(d *Demand, group int64, fromMS, durationMS float64) {
	const stepMS = 50.0
	for at := fromMS; at < fromMS+durationMS; at += stepMS {
		d.Add(group, tr.loads/3*stepMS/1000*tr.lockedMS, 0, at)
		d.Add(group, 0, tr.cores/3*stepMS, at)
	}
}

// Checks that half of the engines load a group, and more only if its loads would wait for each other and its readers
// leave capacity. Guards against readers that lose their engines to loads, and loads that queue while engines are
// idle.
func TestLoaderCount(t *testing.T) {
	const startMS, laterMS = 1e9, 300_000
	for _, test := range []struct {
		name       string
		engines    int
		traffic    traffic
		durationMS float64
		want       int // expected count at the end of the traffic
		wantLater  int // and 300 s later
	}{
		{"one engine", 1, traffic{1, 1000, 1}, 60_000, 1, 1},
		{"two engines", 2, traffic{1, 1000, 1}, 60_000, 1, 1},
		{"many loads, few readers", 7, traffic{1.5, 1800, 15}, 60_000, 4, 3},
		{"loads that need more than all engines", 7, traffic{100, 5000, 15}, 60_000, 4, 3},
		{"many loads of a group with very few readers", 10, traffic{3, 2000, 6}, 60_000, 9, 5},
		{"readers need the remaining capacity", 6, traffic{2, 1800, 22}, 60_000, 3, 3},
		{"readers need more than all engines", 6, traffic{2, 1800, 500}, 60_000, 3, 3},
		{"few loads", 10, traffic{0.3, 1500, 5}, 60_000, 5, 5},
		{"observed for less than the minimum", 7, traffic{1.5, 1800, 15}, 4000, 3, 3},
		{"observed for little more than the minimum", 7, traffic{1.5, 1800, 15}, 8000, 4, 3},
		{"odd number of engines", 9, traffic{0, 0, 1}, 60_000, 4, 4},
	} {
		var demand Demand
		test.traffic.addTo(&demand, 7, startMS, test.durationMS)
		end := startMS + test.durationMS
		fleet := Fleet{Engines: test.engines, Subset: test.engines, Cores: 12, Routers: 3}
		if got := demand.LoaderCount(7, fleet, end); got != test.want {
			t.Errorf("%s: %d of %d engines load the group, want %d", test.name, got, test.engines, test.want)
		}
		if got := demand.LoaderCount(7, fleet, end+laterMS); got != test.wantLater {
			t.Errorf("%s, 300 s after the traffic: %d of %d engines load the group, want %d",
				test.name, got, test.engines, test.wantLater)
		}
		subset := Fleet{Engines: 60, Subset: 5, Cores: 12, Routers: 80}
		if got := demand.LoaderCount(7, subset, end); got != 2 {
			t.Errorf("%s: %d engines of a subset of 5 out of 60 load the group, want 2", test.name, got)
		}
		if got := demand.LoaderCount(8, fleet, end); got != max(test.engines/2, 1) {
			t.Errorf("%s: %d engines load a group without demand, want %d", test.name, got, max(test.engines/2, 1))
		}
	}
}

// Checks that routers which each see a random third of the traffic agree on the number of loading engines, within one
// engine plus a tenth of the fleet. Guards against routers whose loads block the readers of others.
func TestRoutersAgreeOnLoaderCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines := rapid.IntRange(2, 40).Draw(t, "engines")
		f := Fleet{Engines: engines, Subset: engines, Cores: 12, Routers: 3}
		loads, cores := rapid.Float64Range(0.5, 4).Draw(t, "loads"), rapid.Float64Range(5, 60).Draw(t, "cores")
		minLoaders, maxLoaders := engines, 0
		for range 3 {
			var d Demand
			for at := 0.0; at < 90_000; at += 1000 {
				n := rapid.Float64Range(0.5, 1.5)
				d.Add(1, loads/3*1800*n.Draw(t, "load"), 0, at)
				d.Add(1, 0, cores/3*1000*n.Draw(t, "work"), at)
			}
			got := d.LoaderCount(1, f, 90_000)
			minLoaders, maxLoaders = min(minLoaders, got), max(maxLoaders, got)
		}
		if maxLoaders-minLoaders > 1+engines/10 {
			t.Fatalf("the routers let between %d and %d of %d engines load the group", minLoaders, maxLoaders, engines)
		}
	})
}

// Checks that for any demand, including invalid values, at least one engine loads a group and, if there are two, at
// least one reads it, and that the number of groups kept is limited.
func TestDemandIsBounded(t *testing.T) {
	extremes := []float64{0, 1, 1e9, -5, math.NaN(), math.Inf(1), math.MaxFloat64}
	rapid.Check(t, func(t *rapid.T) {
		var d Demand
		now := 0.0
		for range rapid.IntRange(0, 3000).Draw(t, "queries") {
			now += rapid.SampledFrom([]float64{0, 1, 100, 1e7}).Draw(t, "gap")
			group := int64(rapid.IntRange(0, 1<<20).Draw(t, "group"))
			lockTime, readWork := rapid.SampledFrom(extremes).Draw(t, "lock time"), rapid.SampledFrom(extremes).Draw(t, "read work")
			d.Add(group, lockTime, readWork, now)
		}
		if len(d.groups) > maxDemandGroups {
			t.Fatalf("%d groups are kept, want at most %d", len(d.groups), maxDemandGroups)
		}
		n := rapid.IntRange(1, 60).Draw(t, "engines")
		f := Fleet{
			Engines: n,
			Subset:  rapid.IntRange(1, n).Draw(t, "subset"),
			Cores:   rapid.SampledFrom(extremes).Draw(t, "cores"),
			Routers: rapid.IntRange(-1, 300).Draw(t, "routers"),
		}
		for group := range d.groups {
			if got := d.LoaderCount(group, f, now); got < 1 || f.Subset > 1 && got >= f.Subset {
				t.Fatalf("%d of %d engines load the group", got, f.Subset)
			}
		}
	})
}
