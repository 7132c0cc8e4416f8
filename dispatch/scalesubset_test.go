package dispatch

import (
	"math"
	"os"
	"slices"
	"testing"

	"windflow/internal/capacity"
)

// The size that is designed for, and what a subset may cost there.
const (
	scaleRouters, scaleEngines = 600, 1200
	// maxUsersOverMean is the most routers that use one engine, over the mean.
	maxUsersOverMean = 1.15
	// maxMovedShare is the share of all subset members that change when one engine is removed.
	maxMovedShare = 0.28
	// scaleStride visits each index of the list once: it has no factor in common with scaleEngines.
	scaleStride = 7919
)

// scaleList is the endpoint list of the size that is designed for.
func scaleList() []Endpoint {
	list := make([]Endpoint, scaleEngines)
	for i := range list {
		list[i] = Endpoint{ID: EngineID(i + 1), Kind: "k", Zone: "z", CapacityWeight: 1}
	}
	return list
}

// subsetOf returns the engines that one router uses of a list.
func subsetOf(t *testing.T, router int, list []Endpoint) map[EngineID]bool {
	t.Helper()
	config := fleetConfig(fleetScenario{routers: scaleRouters, engines: scaleEngines, cores: 24, zones: 6}, router)
	config.Seed = uint64(router)
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

// checkUsers checks how many routers use each engine that is left when some have been removed, evenly over the list,
// and adds the figures.
func checkUsers(t *testing.T, name string, removed int, figures map[string]float64) {
	t.Helper()
	var left []Endpoint
	for i, e := range scaleList() {
		if i*scaleStride%scaleEngines >= removed {
			left = append(left, e)
		}
	}
	users := map[EngineID]float64{}
	for i := range scaleRouters {
		for id := range subsetOf(t, i, left) {
			users[id]++
		}
	}
	counts := make([]float64, len(left))
	members := 0.0
	for i, e := range left {
		counts[i] = users[e.ID]
		members += counts[i]
	}
	idle, most, deviation := spreadOfCounts(counts)
	if idle > 0 || most > maxUsersOverMean || len(left) != scaleEngines-removed {
		t.Errorf("%s: %d engines, %d that no router uses, want none; most %.2f of the mean, want at most %.2f",
			name, len(left), idle, most, maxUsersOverMean)
	}
	t.Logf("%s: %d engines, %d idle, most %.2f of the mean, deviation %.2f", name, len(left), idle, most, deviation)
	figures[name+": routers near an engine"] = math.Round(1000*members/float64(len(left))) / 1000
	figures[name+": engines"] = float64(len(left))
	figures[name+": idle"] = float64(idle)
	figures[name+": most over mean"] = math.Round(1000*most) / 1000
}

// movedShare returns the share of all subset members that change when one engine is removed, and their number.
func movedShare(t *testing.T) (share float64, members int) {
	t.Helper()
	list := scaleList()
	remaining := slices.Delete(slices.Clone(list), scaleEngines/2, scaleEngines/2+1)
	moved := 0
	for i := range scaleRouters {
		before, after := subsetOf(t, i, list), subsetOf(t, i, remaining)
		for id := range before {
			members++
			if !after[id] {
				moved++
			}
		}
	}
	return float64(moved) / float64(members), members
}

// Subsets at the size that is designed for: which engines no router uses when lists say that many are gone, how many
// routers the most used engine has over the mean, and how many subset members change when one engine is removed. The
// last figure is a known weakness; the test keeps it from growing, and its figures are those of the capacity page,
// under the names that the page uses.
func TestSubsetsOfLargeFleet(t *testing.T) {
	figures := map[string]float64{}
	for _, test := range []struct {
		name    string
		removed int // of 1200
	}{{"0% dead", 0}, {"17% dead", 204}, {"50% dead", 600}, {"70% dead", 840}} {
		checkUsers(t, test.name, test.removed, figures)
	}
	share, members := movedShare(t)
	t.Logf("one engine less moves %.1f%% of %d subset members", 100*share, members)
	if share > maxMovedShare || share == 0 {
		t.Errorf("one engine less moves %.3f of %d subset members", share, members)
	}
	figures["one engine less: share of places moved"] = math.Round(1000*share) / 1000
	if os.Getenv(scaleEnv) == "1" && !t.Failed() {
		writeScale(t, capacity.SimulatedDay{
			Name: "near sets", Routers: scaleRouters, Engines: scaleEngines, Zones: 6, Figures: figures,
			Conditions: "the module alone, 24 cores an engine, nothing sent: who is near to whom",
			Test:       "windflow/dispatch TestSubsetsOfLargeFleet",
		})
	}
}
