package dispatch

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Routers that never spoke read a table group from the same engines and load it on others. It guards
// against readers that stand still behind another router's load, and against cold reads.
func TestRoutersAgreeOnAffinity(t *testing.T) {
	seen := map[bool][]EngineID{}
	for router := range 3 {
		config := twoClassConfig()
		config.Seed, config.RouterIndex, config.Routers = uint64(router)+7, router, 3
		config.Classes[0].BlockedByLoad, config.Classes[1].LocksTableGroup = true, true
		h := newHarness(t, config)
		h.updateEndpoints(ListComplete, testEngines(8)...)
		for _, load := range []bool{false, true} {
			cl := h.controller.classes.all[0]
			if load {
				cl = h.controller.classes.all[1]
			}
			var ids []EngineID
			for _, e := range h.controller.selector.forRequest(&request{class: cl, tableGroup: 17}) {
				ids = append(ids, e.ID)
			}
			if router > 0 && !slices.Equal(ids, seen[load]) {
				t.Errorf("router %d has homes %v, another %v", router, ids, seen[load])
			}
			seen[load] = ids
		}
	}
	for _, id := range seen[true] {
		if slices.Contains(seen[false], id) {
			t.Errorf("engine %v both reads and loads the group: %v and %v", id, seen[false], seen[true])
		}
	}
}

// loadConfig has queries that stand still while a load holds their table group, and loads that must not run twice.
func loadConfig() Config {
	config := twoClassConfig()
	config.Classes[0].BlockedByLoad = true
	config.Classes = append(config.Classes, Class{
		Name: "load", LatencyObjective: 3 * time.Second, Deadline: 25 * time.Second, PriorityWeight: 4,
		Threads: 2, LocksTableGroup: true, Semantics: AtMostOnce,
	})
	return config
}

// Loads and the queries that wait for them go to different engines, at every router the same ones, however many are under
// way. It guards against a convoy: of two routers that each know only their own loads, one sent readers behind the
// other's, and in a shortage each sent them behind its own. A group with a load that goes on has no second one there.
func TestLoadsAndReadersUseDifferentEngines(t *testing.T) {
	for _, n := range []int{2, 3, 5, 6, 7, 10} {
		reads, loads := map[int64]map[EngineID]bool{}, map[int64]map[EngineID]bool{}
		for router := range 3 {
			config := loadConfig()
			config.Routers, config.RouterIndex, config.Seed = 3, router, uint64(7+router)
			h, rng := newHarness(t, config), rand.New(rand.NewPCG(uint64(n), uint64(router)))
			h.updateEndpoints(ListComplete, testEngines(n)...)
			var out []*clientRequest
			for range 3000 {
				h.now += time.Duration(rng.IntN(12)) * ms
				group, class := TableGroupOf(uint32(rng.IntN(2))), "quick"
				if rng.IntN(10) == 0 {
					class = "load"
				}
				client := h.arriveWith(Arrival{Class: class, TableGroup: group, TimeLeft: 3 * time.Second, Estimate: 50 * ms})
				client.key = string(rune('0' + group))
				out = append(out, client)
				for _, client := range out {
					if len(client.engines) == 0 {
						continue
					}
					group, e := int64(client.key[0]-'0'), client.engines[0]
					used := reads
					if client.class.LocksTableGroup {
						used = loads
					}
					if used[group] == nil {
						used[group] = map[EngineID]bool{}
					}
					used[group][e] = true
				}
				if i := rng.IntN(len(out)); len(out) > 40 {
					if len(out[i].engines) > 0 && out[i].outcomes[0] == outstanding {
						h.endLatest(out[i], Served)
					}
					out = append(out[:i], out[i+1:]...)
				}
				held := map[[2]int64]int{}
				for _, e := range h.controller.endpoints.all {
					for _, a := range e.running {
						if key := [2]int64{int64(e.ID), a.request.tableGroup}; a.request.class.LocksTableGroup {
							if held[key]++; held[key] > 1 {
								t.Fatalf("%d engines: two loads of group %d at once on engine %d", n, a.request.tableGroup, e.ID)
							}
						}
					}
				}
			}
		}
		for group, used := range loads {
			both := 0
			for e := range used {
				if reads[group][e] {
					both++
				}
			}
			if both > 0 && n > 2 {
				t.Errorf("%d engines: group %d is loaded on %v and read on %v", n, group, used, reads[group])
			}
			if len(used) == 0 || len(reads[group]) == 0 {
				t.Errorf("%d engines: group %d is loaded on %v and read on %v", n, group, used, reads[group])
			}
		}
	}
}

// Where most of a group's engines are down, its readers go elsewhere: kept apart for good, they would all be refused.
func TestReadersLeaveAffinityEnginesThatAreDown(t *testing.T) {
	h := newHarness(t, loadConfig())
	h.updateEndpoints(ListComplete, testEngines(6)...)
	h.controller.env.now = h.now
	r := &request{class: h.controller.classes.all[0], tableGroup: 9, estimate: 1, deadline: h.now + time.Second}
	homes := h.controller.selector.forRequest(r)
	down := map[EngineID]bool{}
	for i, e := range homes {
		if i > 0 {
			down[e.ID] = true
		}
	}
	elsewhere := 0
	for range 200 { // none that is sent to an engine that is up ends, so that the one home left fills up
		h.advance(20 * ms)
		client := h.arriveWith(Arrival{Class: "quick", TableGroup: 9, TimeLeft: 3 * time.Second, Estimate: 50 * ms})
		for client.answers == 0 && len(client.engines) > 0 && client.outcomes[len(client.outcomes)-1] == outstanding {
			e := client.engines[len(client.engines)-1]
			if down[e] {
				h.endLatest(client, ConnectFailed)
				continue
			}
			if e != homes[0].ID {
				elsewhere++
			}
			break
		}
	}
	if elsewhere == 0 {
		t.Error("no reader left its homes")
	}
}

// Routers of a large fleet use a few engines each; every engine is used by as many routers, give or take a few.
func TestSubsetsUseEnginesEvenly(t *testing.T) {
	for _, k := range []struct{ routers, engines, most int }{{250, 60, 3}, {80, 18, 3}, {4, 8, 8}, {1, 10, 10}} {
		users := map[EngineID]int{}
		for i := range k.routers {
			config, list := largeFleetConfig(k.routers, k.engines, i)
			h := newHarness(t, config)
			h.updateEndpoints(ListComplete, list...)
			near := h.controller.selector.engines()
			if len(near) != k.most {
				t.Fatalf("%d routers, %d engines: %d nearby, want %d", k.routers, k.engines, len(near), k.most)
			}
			for _, e := range near {
				users[e.ID]++
			}
		}
		even := k.routers * k.most / k.engines
		for id := range k.engines {
			if n := users[EngineID(id+1)]; n < even-4 || n > even+5 {
				t.Errorf("%d routers: engine %d has %d users, want about %d", k.routers, id+1, n, even)
			}
		}
	}
}
