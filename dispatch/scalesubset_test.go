package dispatch

import (
	"math"
	"os"
	"testing"

	"windflow/internal/capacity"
)

// Near sets at the size that is designed for: which engines nobody is near to when lists say that many are gone, how many gateways the most used
// has over the mean, and how many places move when one engine goes. The gap is known; the test keeps it from growing, and
// its figures are those of the capacity page.
func TestSubsetsOfLargeFleet(t *testing.T) {
	const gateways, engines = 600, 1200
	config := fleetConfig(fleetScenario{routers: gateways, engines: engines, cores: 24, zones: 6}, 0)
	list := make([]Endpoint, engines)
	for i := range list {
		list[i] = Endpoint{ID: EngineID(i + 1), Kind: "k", Zone: "z", CapacityWeight: 1}
	}
	near := func(instance int, list []Endpoint) map[EngineID]bool {
		config.RouterIndex, config.Seed = instance, uint64(instance)
		c, err := New(config)
		if err != nil {
			t.Fatal(err)
		}
		c.Handle(0, EndpointList{Mode: ListComplete, Endpoints: list}, nil)
		set := map[EngineID]bool{}
		for _, e := range c.selector.engines() {
			set[e.ID] = true
		}
		return set
	}
	figures := map[string]float64{}
	for _, k := range []struct {
		name string
		dead int // of 1200, each one's place in the list drawn evenly
		idle int // at most
		most float64
	}{{"0% dead", 0, 0, 1.15}, {"17% dead", 204, 0, 1.15}, {"50% dead", 600, 0, 1.15}, {"70% dead", 840, 0, 1.15}} {
		var left []Endpoint
		for i, e := range list {
			if i*7919%engines >= k.dead { // 7919 has no factor with 1200: each place is met once
				left = append(left, e)
			}
		}
		users := map[EngineID]float64{}
		for i := range gateways {
			for id := range near(i, left) {
				users[id]++
			}
		}
		counts := make([]float64, len(left))
		for i, e := range left {
			counts[i] = users[e.ID]
		}
		idle, most, deviation := spreadOfCounts(counts)
		if idle > k.idle || most > k.most || len(left) != engines-k.dead {
			t.Errorf("%s: %d engines, %d that nobody is near to, want at most %d; most %.2f of the mean, want at most %.2f", k.name, len(left), idle, k.idle, most, k.most)
		}
		t.Logf("%s: %d engines, %d idle, most %.2f of the mean, deviation %.2f", k.name, len(left), idle, most, deviation)
		places := 0.0
		for _, n := range counts {
			places += n
		}
		figures[k.name+": routers near an engine"] = math.Round(1000*places/float64(len(left))) / 1000
		figures[k.name+": engines"], figures[k.name+": idle"], figures[k.name+": most over mean"] = float64(len(left)), float64(idle), math.Round(1000*most)/1000
	}
	places, moved := 0, 0
	for i := range gateways {
		was := near(i, list)
		is := near(i, append(append([]Endpoint(nil), list[:600]...), list[601:]...))
		for id := range was {
			places++
			if !is[id] {
				moved++
			}
		}
	}
	share := float64(moved) / float64(places)
	t.Logf("one engine less moves %.1f%% of %d places", 100*share, places)
	if share > 0.28 || moved == 0 {
		t.Errorf("one engine less moves %.3f of %d places", share, places)
	}
	figures["one engine less: share of places moved"] = math.Round(1000*share) / 1000
	if os.Getenv(scaleEnv) == "1" && !t.Failed() {
		writeScale(t, capacity.Scale{
			Name: "near sets", Routers: gateways, Engines: engines, Zones: 6, Figures: figures,
			Conditions: "the module alone, 24 cores an engine, nothing sent: who is near to whom", Test: "windflow/dispatch TestSubsetsOfLargeFleet",
		})
	}
}
