package dispatch

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// loadConfig returns settings with a class of queries that loads block, and a class of loads that must not run twice.
func loadConfig() Config {
	config := twoClassConfig()
	config.Classes[0].BlockedByLoad = true
	config.Classes = append(config.Classes, Class{
		Name: "load", LatencyObjective: 3 * time.Second, Deadline: 25 * time.Second, PriorityWeight: 4,
		Threads: 2, LocksTableGroup: true, Semantics: AtMostOnce,
	})
	return config
}

// groupUse records the engines that several routers read table groups from, and those that they load them on.
type groupUse struct {
	readers, loaders map[int64]map[EngineID]bool
}

func newGroupUse() groupUse {
	return groupUse{readers: map[int64]map[EngineID]bool{}, loaders: map[int64]map[EngineID]bool{}}
}

// record adds the engine of a request's first attempt.
func (u groupUse) record(group int64, client *clientRequest) {
	if len(client.engines) == 0 {
		return
	}
	engines := u.readers
	if client.class.LocksTableGroup {
		engines = u.loaders
	}
	if engines[group] == nil {
		engines[group] = map[EngineID]bool{}
	}
	engines[group][client.engines[0]] = true
}

// check checks that each group is loaded and read, and on different engines if there are more than two.
func (u groupUse) check(t *testing.T, engines int) {
	t.Helper()
	for group, loaders := range u.loaders {
		readers := u.readers[group]
		both := 0
		for id := range loaders {
			if readers[id] {
				both++
			}
		}
		if both > 0 && engines > 2 || len(loaders) == 0 || len(readers) == 0 {
			t.Errorf("%d engines: table group %d is loaded on %v and read on %v", engines, group, loaders, readers)
		}
	}
}

// groupRequest is a request with its table group.
type groupRequest struct {
	*clientRequest
	group int64
}

// runLoadsAndReaders simulates requests of two table groups on one of three routers, with up to forty open at a time.
func runLoadsAndReaders(t *testing.T, engines, router int, use groupUse) {
	t.Helper()
	config := loadConfig()
	config.Routers, config.RouterIndex, config.Seed = 3, router, uint64(7+router)
	h, rng := newHarness(t, config), rand.New(rand.NewPCG(uint64(engines), uint64(router)))
	h.updateEndpoints(ListComplete, testEngines(engines)...)
	var open []groupRequest
	for range 3000 {
		h.now += time.Duration(rng.IntN(12)) * ms
		group, class := TableGroupOf(uint32(rng.IntN(2))), "quick"
		if rng.IntN(10) == 0 {
			class = "load"
		}
		client := h.arriveWith(Arrival{Class: class, TableGroup: group, TimeLeft: 3 * time.Second, Estimate: 50 * ms})
		open = append(open, groupRequest{client, group})
		for _, req := range open {
			use.record(req.group, req.clientRequest)
		}
		if i := rng.IntN(len(open)); len(open) > 40 {
			if len(open[i].engines) > 0 && open[i].outcomes[0] == outstanding {
				h.endLatest(open[i].clientRequest, Served)
			}
			open = slices.Delete(open, i, i+1)
		}
		h.checkOneLoadEach(engines)
	}
}

// checkOneLoadEach checks that no engine runs two loads of the same table group.
func (h *harness) checkOneLoadEach(engines int) {
	h.t.Helper()
	type groupOnEngine struct {
		engine EngineID
		group  int64
	}
	loads := map[groupOnEngine]int{}
	for _, e := range h.controller.endpoints.all {
		for _, a := range e.running {
			if !a.request.class.LocksTableGroup {
				continue
			}
			key := groupOnEngine{e.ID, a.request.tableGroup}
			loads[key]++
			if loads[key] > 1 {
				h.t.Fatalf("%d engines: two loads of table group %d at the same time on engine %d",
					engines, key.group, key.engine)
			}
		}
	}
}

// Loads and the queries that they block use different engines, the same ones on every router, however many requests
// are in flight. No engine runs two loads of one group. This guards against a convoy: two routers that each knew only
// their own loads sent readers to engines locked by the other router's loads and, when engines were short, to engines
// locked by their own loads.
func TestLoadsAndReadersUseDifferentEngines(t *testing.T) {
	for _, engines := range []int{2, 3, 5, 6, 7, 10} {
		use := newGroupUse()
		for router := range 3 {
			runLoadsAndReaders(t, engines, router, use)
		}
		use.check(t, engines)
	}
}

// If most engines of a table group are down, its readers use other engines. If they kept to the group's engines, all
// readers would be rejected.
func TestReadersLeaveAffinityEnginesThatAreDown(t *testing.T) {
	h := newHarness(t, loadConfig())
	h.updateEndpoints(ListComplete, testEngines(6)...)
	h.controller.env.now = h.now
	req := &request{class: h.controller.classes.all[0], tableGroup: 9, estimate: 1, deadline: h.now + time.Second}
	readers := h.controller.selector.enginesFor(req)
	down := map[EngineID]bool{}
	for _, e := range readers[1:] {
		down[e.ID] = true
	}
	others := 0
	for range 200 { // attempts on available engines do not end, so that the only one left in the group fills up
		h.advance(20 * ms)
		client := h.arriveWith(Arrival{Class: "quick", TableGroup: 9, TimeLeft: 3 * time.Second, Estimate: 50 * ms})
		for client.isOpen() && down[client.lastEngine()] {
			h.endLatest(client, ConnectFailed)
		}
		if client.isOpen() && client.lastEngine() != readers[0].ID {
			others++
		}
	}
	if others == 0 {
		t.Error("no reader used an engine outside its table group's engines")
	}
}

// Routers that do not communicate agree on the engines that read a table group and on those that load it. This guards
// against readers blocked by another router's load, and against reads that miss an engine's cache.
func TestRoutersAgreeOnAffinity(t *testing.T) {
	seen := map[bool][]EngineID{}
	for router := range 3 {
		config := twoClassConfig()
		config.Seed, config.RouterIndex, config.Routers = uint64(router)+7, router, 3
		config.Classes[0].BlockedByLoad, config.Classes[1].LocksTableGroup = true, true
		h := newHarness(t, config)
		h.updateEndpoints(ListComplete, testEngines(8)...)
		for _, load := range []bool{false, true} {
			class := h.controller.classes.all[0]
			if load {
				class = h.controller.classes.all[1]
			}
			var ids []EngineID
			for _, e := range h.controller.selector.enginesFor(&request{class: class, tableGroup: 17}) {
				ids = append(ids, e.ID)
			}
			if router > 0 && !slices.Equal(ids, seen[load]) {
				t.Errorf("router %d uses engines %v, another router uses %v", router, ids, seen[load])
			}
			seen[load] = ids
		}
	}
	for _, id := range seen[true] {
		if slices.Contains(seen[false], id) {
			t.Errorf("engine %v both reads and loads the table group: readers %v, loaders %v",
				id, seen[false], seen[true])
		}
	}
}

// Each router of a large fleet uses a few engines, and about the same number of routers use each engine.
func TestSubsetsUseEnginesEvenly(t *testing.T) {
	for _, test := range []struct{ routers, engines, size int }{{250, 60, 3}, {80, 18, 3}, {4, 8, 8}, {1, 10, 10}} {
		users := map[EngineID]int{}
		for i := range test.routers {
			config, list := largeFleetConfig(test.routers, test.engines, i)
			h := newHarness(t, config)
			h.updateEndpoints(ListComplete, list...)
			subset := h.controller.selector.engines()
			if len(subset) != test.size {
				t.Fatalf("%+v: subset has %d engines", test, len(subset))
			}
			for _, e := range subset {
				users[e.ID]++
			}
		}
		even := test.routers * test.size / test.engines
		for i := range test.engines {
			if n := users[EngineID(i+1)]; n < even-4 || n > even+5 {
				t.Errorf("%+v: engine %d is used by %d routers, want about %d", test, i+1, n, even)
			}
		}
	}
}
