package pressure

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// flow adds what one of three routers sees: so many loads a second of a group that hold it for a time, and so much work of
// its readers, in cores, over the fleet.
func flow(d *Demand, group int64, loads, heldMS, cores, fromMS, forMS float64) {
	const step = 50.0
	for at := fromMS; at < fromMS+forMS; at += step {
		d.Add(group, loads/3*step/1000*heldMS, 0, at)
		d.Add(group, 0, cores/3*step, at)
	}
}

// The engines of a group are divided by what it asks for: half, and more for its loads where these would wait for each other
// and readers leave room.
func TestLoaders(t *testing.T) {
	for _, k := range []struct {
		name         string
		engines      int
		loads, held  float64 // a second, milliseconds
		cores        float64 // that its readers keep busy over the fleet
		after        float64 // milliseconds from the beginning
		want, latest int     // with what is known after the flow, and 300 s later
	}{
		{"one engine", 1, 1, 1000, 1, 60_000, 1, 1},
		{"two", 2, 1, 1000, 1, 60_000, 1, 1},
		{"quiet: many loads, few readers", 7, 1.5, 1800, 15, 60_000, 4, 3},
		{"loads that would want all", 7, 100, 5000, 15, 60_000, 4, 3},
		{"few readers of a hot group", 10, 3, 2000, 6, 60_000, 9, 5},
		{"readers need the room", 6, 2, 1800, 22, 60_000, 3, 3},
		{"readers need more than there is", 6, 2, 1800, 500, 60_000, 3, 3},
		{"few loads", 10, 0.3, 1500, 5, 60_000, 5, 5},
		{"too early to say", 7, 1.5, 1800, 15, 4000, 3, 3},
		{"early", 7, 1.5, 1800, 15, 8000, 4, 3},
		{"an odd number", 9, 0, 0, 1, 60_000, 4, 4},
	} {
		var d Demand
		flow(&d, 7, k.loads, k.held, k.cores, 1e9, k.after)
		f := Fleet{Engines: k.engines, Subset: k.engines, Cores: 12, Routers: 3}
		if got := d.LoaderCount(7, f, 1e9+k.after); got != k.want {
			t.Errorf("%s: %d of %d load, want %d", k.name, got, k.engines, k.want)
		}
		if got := d.LoaderCount(7, f, 1e9+k.after+300_000); got != k.latest {
			t.Errorf("%s, long over: %d of %d load, want %d", k.name, got, k.engines, k.latest)
		}
		few := Fleet{Engines: 60, Subset: 5, Cores: 12, Routers: 80}
		if got := d.LoaderCount(7, few, 1e9+k.after); got != 2 {
			t.Errorf("%s: %d of five out of sixty load", k.name, got)
		}
		if got := d.LoaderCount(8, f, 1e9+k.after); got != max(k.engines/2, 1) {
			t.Errorf("%s: of a group never seen %d load", k.name, got)
		}
	}
}

// Routers that see their own third of the traffic by chance divide the same, give or take one engine.
func TestRoutersDivideAlike(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines := rapid.IntRange(2, 40).Draw(t, "engines")
		f := Fleet{Engines: engines, Subset: engines, Cores: 12, Routers: 3}
		loads, cores := rapid.Float64Range(0.5, 4).Draw(t, "loads"), rapid.Float64Range(5, 60).Draw(t, "cores")
		least, most := engines, 0
		for range 3 {
			var d Demand
			for at := 0.0; at < 90_000; at += 1000 {
				n := rapid.Float64Range(0.5, 1.5)
				d.Add(1, loads/3*1800*n.Draw(t, "load"), 0, at)
				d.Add(1, 0, cores/3*1000*n.Draw(t, "work"), at)
			}
			got := d.LoaderCount(1, f, 90_000)
			least, most = min(least, got), max(most, got)
		}
		if most-least > 1+engines/10 {
			t.Fatalf("between %d and %d of %d engines load", least, most, engines)
		}
	})
}

// Whatever is told, at least one engine loads a group, and one reads it where there are two; what is remembered is bounded.
func TestDemandIsBounded(t *testing.T) {
	odd := []float64{0, 1, 1e9, -5, math.NaN(), math.Inf(1), math.MaxFloat64}
	rapid.Check(t, func(t *rapid.T) {
		var d Demand
		now := 0.0
		for range rapid.IntRange(0, 3000).Draw(t, "queries") {
			now += rapid.SampledFrom([]float64{0, 1, 100, 1e7}).Draw(t, "gap")
			d.Add(int64(rapid.IntRange(0, 1<<20).Draw(t, "group")), rapid.SampledFrom(odd).Draw(t, "held"), rapid.SampledFrom(odd).Draw(t, "work"), now)
		}
		if len(d.groups) > maxDemandGroups {
			t.Fatalf("%d groups are remembered", len(d.groups))
		}
		n := rapid.IntRange(1, 60).Draw(t, "engines")
		f := Fleet{Engines: n, Subset: rapid.IntRange(1, n).Draw(t, "near"), Cores: rapid.SampledFrom(odd).Draw(t, "cores"), Routers: rapid.IntRange(-1, 300).Draw(t, "routers")}
		for group := range d.groups {
			if got := d.LoaderCount(group, f, now); got < 1 || f.Subset > 1 && got >= f.Subset {
				t.Fatalf("%d of %d engines load", got, f.Subset)
			}
		}
	})
}
