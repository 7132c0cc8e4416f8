package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"
)

// loadConfig has queries that stand still while a load holds their table group, and loads that must not run twice.
func loadConfig() Config {
	cfg := twoClassConfig()
	cfg.Classes[0].BlockedByLoad = true
	cfg.Classes = append(cfg.Classes, Class{
		Name: "load", LatencyObjective: 3 * time.Second, Deadline: 25 * time.Second, PriorityWeight: 4,
		Threads: 2, LocksTableGroup: true, Semantics: AtMostOnce,
	})
	return cfg
}

// Loads and the queries that wait for them go to different engines, at every gateway the same ones, however many are under
// way. It guards against a convoy: of two gateways that each know only their own loads, one sent readers behind the
// other's, and in a shortage each sent them behind its own. A group with a load that goes on has no second one there.
func TestLoadsAndTheirReadersKeepApart(t *testing.T) {
	for _, n := range []int{2, 3, 5, 6, 7, 10} {
		reads, loads := map[int64]map[EngineID]bool{}, map[int64]map[EngineID]bool{}
		for gateway := range 3 {
			cfg := loadConfig()
			cfg.Routers, cfg.RouterIndex, cfg.Seed = 3, gateway, uint64(7+gateway)
			w, rng := newHarness(t, cfg), rand.New(rand.NewPCG(uint64(n), uint64(gateway)))
			w.updateEndpoints(ListComplete, testEngines(n)...)
			var out []*clientRequest
			for range 3000 {
				w.now += time.Duration(rng.IntN(12)) * ms
				group, class := TableGroupOf(uint32(rng.IntN(2))), "quick"
				if rng.IntN(10) == 0 {
					class = "load"
				}
				tr := w.arriveWith(Arrival{Class: class, TableGroup: group, TimeLeft: 3 * time.Second, Estimate: 50 * ms})
				tr.key = string(rune('0' + group))
				out = append(out, tr)
				for _, tr := range out {
					if len(tr.engines) == 0 {
						continue
					}
					group, e := int64(tr.key[0]-'0'), tr.engines[0]
					used := reads
					if tr.class.LocksTableGroup {
						used = loads
					}
					if used[group] == nil {
						used[group] = map[EngineID]bool{}
					}
					used[group][e] = true
				}
				if i := rng.IntN(len(out)); len(out) > 40 {
					if len(out[i].engines) > 0 && out[i].outcomes[0] == outstanding {
						w.endLatest(out[i], Served)
					}
					out = append(out[:i], out[i+1:]...)
				}
				held := map[[2]int64]int{}
				for _, e := range w.controller.endpoints.all {
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
func TestReadersLeaveHomesThatAreDown(t *testing.T) {
	w := newHarness(t, loadConfig())
	w.updateEndpoints(ListComplete, testEngines(6)...)
	w.controller.env.now = w.now
	r := &request{class: w.controller.classes.all[0], tableGroup: 9, estimate: 1, deadline: w.now + time.Second}
	homes := w.controller.selector.forRequest(r)
	down := map[EngineID]bool{}
	for i, e := range homes {
		if i > 0 {
			down[e.ID] = true
		}
	}
	elsewhere := 0
	for range 200 { // none that is sent to an engine that is up ends, so that the one home left fills up
		w.advance(20 * ms)
		tr := w.arriveWith(Arrival{Class: "quick", TableGroup: 9, TimeLeft: 3 * time.Second, Estimate: 50 * ms})
		for tr.answers == 0 && len(tr.engines) > 0 && tr.outcomes[len(tr.outcomes)-1] == outstanding {
			e := tr.engines[len(tr.engines)-1]
			if down[e] {
				w.endLatest(tr, ConnectFailed)
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
