package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// A cold engine gets no more than this router's slice in any window.
func TestWarmingEngineGetsOneShare(t *testing.T) {
	for _, routers := range []int{1, 4} {
		config := twoClassConfig()
		config.Routers, config.WarmUpInitialShare, config.WarmUpDuration = routers, 0.4, 10*time.Second
		config.WarmUpOverloadFactor, config.WarmUpOverloadWindow = 2, time.Second
		h := newHarness(t, config)
		cold := testEngines(1)[0]
		cold.StartedAt = h.now - time.Second
		h.updateEndpoints(ListCached, cold)
		for range 200 {
			h.now += 10 * ms
			if client := h.arrive("quick", ""); len(client.engines) > 0 {
				h.endLatest(client, Served)
			}
		}
		// 8 cores at 85% busy, times 0.4, times 2, a window of 1 s, and an even part of it.
		limit := 8 * 0.85 * 0.4 * 2 / float64(routers)
		work := h.controller.classes.all[0].estimate.usualWork()
		worst := 0
		for i := range h.warmingStarts[1] {
			worst = max(worst, countAfter(h.warmingStarts[1][:i+1], h.warmingStarts[1][i]-time.Second))
		}
		if worst == 0 || float64(worst)*work > limit*1.3 {
			t.Errorf("%d routers: %d queries of %.3f s in a window, limit %.2f s", routers, worst, work, limit)
		}
	}
}

// An engine that starts anew while it is cold comes by a ration again, by its new start: the twins above share the code that says so.
func TestRestartedEngineGetsNewBudget(t *testing.T) {
	config := fleetConfig(fleetScenario{seed: 1, routers: 60, cores: 8}, 7)
	h := newHarness(t, config)
	list := testEngines(40)
	for _, born := range []time.Duration{h.now - time.Second, h.now + 2*time.Second} {
		h.now = born + time.Second
		list[0].StartedAt = born
		h.updateEndpoints(ListComplete, list...)
		h.controller.capacity.warmResources()
		e := h.controller.endpoints.byID[1]
		if due := e.warmUp.budget.NextDue(); due <= milliseconds(born) || due > milliseconds(e.warmUp.end) {
			t.Errorf("started at %v, its next chunk is due at %v ms", born, due)
		}
	}
}

// Many uneven routers lose all warm engines to a drain and have only cold ones: together they stay under the
// rule's figure, and the engines get work.
func TestManyRoutersDoNotOverloadWarmingEngines(t *testing.T) {
	const routers, warm, cold = 40, 50, 6
	for seed := range uint64(3) {
		rng := rand.New(rand.NewPCG(seed, 3))
		spent := map[EngineID]float64{}
		windows := map[string]float64{}
		now, born := 30*time.Second, 40*time.Second
		for i := range routers {
			config, list := largeFleetConfig(routers, warm, i)
			config.WarmUpInitialShare, config.WarmUpDuration, config.WarmUpOverloadFactor, config.WarmUpOverloadWindow = 0.4, 12*time.Second, 2.5, 2*time.Second
			config.Seed = seed*1000 + uint64(i)
			c, err := New(config)
			if err != nil {
				t.Fatal(err)
			}
			c.Handle(now, EndpointList{Mode: ListComplete, Endpoints: list}, nil)
			rate := 1 + 4*rng.Float64()*rng.Float64()*2 // queries a second, uneven
			n := 0
			for at := now; at < born+10*time.Second; at += seconds(rng.ExpFloat64() / rate) {
				if n > 0 && at > born && len(c.endpoints.listed) == warm {
					fresh := testEngines(warm + cold)[warm:]
					for j := range fresh {
						fresh[j].StartedAt = born
					}
					for _, e := range list {
						e.State = Draining
						fresh = append(fresh, e)
					}
					c.Handle(at, EndpointList{Mode: ListIncremental, Endpoints: fresh}, nil)
					rate *= 5 // a burst
				}
				n++
				id := RequestID(fmt.Sprint(i, "-", n))
				c.Handle(at, TimerFired{Tag: housekeepingTag}, nil) // those held too long are given up; else they block their queue
				for _, a := range c.Handle(at, Arrival{Request: id, Class: "quick", TimeLeft: time.Second}, nil) {
					if s, ok := a.(StartAttempt); ok {
						if s.Engine > warm {
							spent[s.Engine] += 0.125
							windows[fmt.Sprint(s.Engine, at/(2*time.Second))] += 0.125
						}
						c.Handle(at+125*ms, AttemptEnd{Request: id, Outcome: Served, Last: true}, nil)
					}
				}
			}
		}
		for key, work := range windows {
			if limit := 0.4 * 8 * 0.85 * 2.5 * 2; work > limit {
				t.Errorf("seed %d, window %s: %.1f s of work, limit %.1f", seed, key, work, limit)
			}
		}
		if len(spent) < cold {
			t.Errorf("seed %d: only %d of %d cold engines got work", seed, len(spent), cold)
		}
	}
}

// Cold engines that are small against a query stay under the rule's figure also where all routers of a large fleet saved
// their rations and sentWork them at once: what was due in two windows, and one query more, may meet in one.
func TestBudgetsUsedAtOnce(t *testing.T) {
	const routers, window = 300, 1500 * ms
	most, sent := 0.0, 0
	for burst := range 40 {
		born := 30 * time.Second
		at := born + time.Second + time.Duration(burst)*100*ms
		var sends []time.Duration
		for i := range routers {
			config, _ := largeFleetConfig(routers, 1, i)
			config.WarmUpInitialShare, config.WarmUpDuration, config.WarmUpOverloadFactor, config.WarmUpOverloadWindow = 0.4, 12*time.Second, 2, window
			config.Classes[1].LatencyObjective, config.MaxAttempts = 4*time.Second, 0
			c, err := New(config)
			if err != nil {
				t.Fatal(err)
			}
			cold := testEngines(1)
			cold[0].StartedAt = born
			c.Handle(born+time.Second, EndpointList{Mode: ListComplete, Endpoints: cold}, nil)
			for now := at; now < at+window; now += 50 * ms {
				id := RequestID(fmt.Sprint(now))
				for _, a := range c.Handle(now, Arrival{Request: id, Class: "big", TimeLeft: 15 * time.Second}, nil) {
					if s, ok := a.(StartAttempt); ok {
						sends = append(sends, now)
						c.Handle(now, AttemptEnd{Request: s.Request, Outcome: EngineFull}, nil)
					}
				}
				c.Handle(now, ClientGone{Request: id}, nil)
			}
		}
		warmth := 0.4 + 0.6*(at-born).Seconds()/12
		most = max(most, 4*float64(len(sends))/(2*8*0.85*warmth*window.Seconds()))
		sent += len(sends)
	}
	if most > 1 || sent == 0 {
		t.Errorf("%.2f of what a cold engine may be sent in a window; %d queries in all", most, sent)
	}
}

// Successors take over what their predecessors hold to be cold with the ration begun when that began, each at its own point: they
// do not all have one at once, whenever they come.
func TestHotRestartsBeginNoBurst(t *testing.T) {
	most := 0
	for k := range 40 {
		spent := 0
		for i := range 40 {
			config, list := largeFleetConfig(300, 8, 7*i)
			config.WarmUpDuration, config.WarmUpInitialShare, config.WarmUpOverloadFactor, config.WarmUpOverloadWindow = 12*time.Second, 0.36, 2, 1500*ms
			h := newHarness(t, config)
			h.now += time.Duration(k) * 10 * time.Second
			h.updateEndpoints(ListComplete, list...)
			h.handle(RestoreSnapshot{Snapshot: Snapshot{Engines: []EngineSnapshot{{ID: 1, WarmUpStart: h.now, WarmUpEnd: h.now + 12*time.Second, Slowness: 1}}}})
			for range 100 {
				h.now += 100 * ms
				h.arrive("big", "")
			}
			if slices.ContainsFunc(h.starts, func(s StartAttempt) bool { return s.Engine == 1 }) {
				spent++
			}
		}
		most = max(most, spent)
	}
	if most == 0 || most > 6 {
		t.Errorf("%d of 40 successors sent to a cold engine within ten seconds, want some and not all", most)
	}
}
