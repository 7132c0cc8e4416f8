package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// A warming engine gets no more than this router's share in any window.
func TestWarmingEngineGetsOneShare(t *testing.T) {
	for _, routers := range []int{1, 4} {
		config := withShortWarmUp(twoClassConfig())
		config.Routers = routers
		h := newHarness(t, config)
		warming := testEngines(1)[0]
		warming.StartedAt = h.now - time.Second
		h.updateEndpoints(ListCached, warming)
		for range 200 {
			h.now += 10 * ms
			if client := h.arrive("quick", ""); len(client.engines) > 0 {
				h.endLatest(client, Served)
			}
		}
		// 8 cores at 85% busy, times 0.4, times 2, a window of 1 s, and an even part of it.
		limit := 8 * 0.85 * 0.4 * 2 / float64(routers)
		work := h.controller.classes.all[0].estimate.usualWork()
		starts, most := h.warmingStarts[1], 0
		for i, at := range starts {
			most = max(most, countAfter(starts[:i+1], at-time.Second))
		}
		if most == 0 || float64(most)*work > limit*1.3 {
			t.Errorf("%d routers: %d queries of %.3f s in a window, limit %.2f s", routers, most, work, limit)
		}
	}
}

// manyRouters is a fleet of routers of uneven traffic that lose all warm engines to a drain and have only warming ones.
// The routers are played one after the other.
type drainSimulation struct {
	t         *testing.T
	rng       *rand.Rand
	seed      uint64
	startedAt time.Duration        // of the new engines
	work      map[EngineID]float64 // by warming engine
	windows   map[string]float64   // by warming engine and window
}

const (
	drainRouters       = 40
	drainedEngines     = 50 // engines that drain
	replacementEngines = 6  // engines that replace them
	drainQueryWork     = 0.125
	drainWindow        = 2 * time.Second
)

// play plays one router from time 30 s on, with a burst from the drain on.
func (m *drainSimulation) runRouter(index int) {
	m.t.Helper()
	config, list := largeFleetConfig(drainRouters, drainedEngines, index)
	config.WarmUp.InitialShare, config.WarmUp.Duration = 0.4, 12*time.Second
	config.WarmUp.OverloadFactor, config.WarmUp.OverloadWindow = 2.5, drainWindow
	config.Seed = m.seed*1000 + uint64(index)
	c, err := New(config)
	if err != nil {
		m.t.Fatal(err)
	}
	begin := 30 * time.Second
	c.Handle(begin, EndpointList{Mode: ListComplete, Endpoints: list}, nil)
	perSecond := 1 + 4*m.rng.Float64()*m.rng.Float64()*2
	n := 0
	for at := begin; at < m.startedAt+10*time.Second; at += seconds(m.rng.ExpFloat64() / perSecond) {
		if n > 0 && at > m.startedAt && len(c.endpoints.listed) == drainedEngines {
			c.Handle(at, EndpointList{Mode: ListIncremental, Endpoints: m.replacements(list)}, nil)
			perSecond *= 5
		}
		n++
		m.request(c, at, RequestID(fmt.Sprint(index, "-", n)))
	}
}

// replacements drains the warm engines and starts the warming ones.
func (m *drainSimulation) replacements(warm []Endpoint) []Endpoint {
	list := testEngines(drainedEngines + replacementEngines)[drainedEngines:]
	for i := range list {
		list[i].StartedAt = m.startedAt
	}
	for _, e := range warm {
		e.State = Draining
		list = append(list, e)
	}
	return list
}

// request delivers a request, and serves it if it is started. A timer rejects those queued too long, which would
// block their queue.
func (m *drainSimulation) request(c *Controller, at time.Duration, id RequestID) {
	c.Handle(at, TimerFired{Tag: housekeepingTag}, nil)
	for _, action := range c.Handle(at, Arrival{Request: id, Class: "quick", TimeLeft: time.Second}, nil) {
		start, ok := action.(StartAttempt)
		if !ok {
			continue
		}
		if start.Engine > drainedEngines {
			m.work[start.Engine] += drainQueryWork
			m.windows[fmt.Sprint(start.Engine, at/drainWindow)] += drainQueryWork
		}
		c.Handle(at+125*ms, AttemptEnd{Request: id, Outcome: Served, Last: true}, nil)
	}
}

// Many routers of uneven traffic together stay under what warming engines may be sent, and all of these get work.
func TestManyRoutersDoNotOverloadWarmingEngines(t *testing.T) {
	for seed := range uint64(3) {
		m := &drainSimulation{
			t: t, rng: rand.New(rand.NewPCG(seed, 3)), seed: seed, startedAt: 40 * time.Second,
			work: map[EngineID]float64{}, windows: map[string]float64{},
		}
		for i := range drainRouters {
			m.runRouter(i)
		}
		for key, work := range m.windows {
			if limit := 0.4 * 8 * 0.85 * 2.5 * 2; work > limit {
				t.Errorf("seed %d, window %s: %.1f s of work, limit %.1f", seed, key, work, limit)
			}
		}
		if len(m.work) < replacementEngines {
			t.Errorf("seed %d: only %d of %d warming engines got work", seed, len(m.work), replacementEngines)
		}
	}
}

// burstStarts makes a router of a large fleet use its budget for a warming engine within a window, after having saved
// it, and returns how many queries it starts.
func burstStarts(t *testing.T, index, routers int, startedAt, at, window time.Duration) (starts int) {
	t.Helper()
	config, _ := largeFleetConfig(routers, 1, index)
	config.WarmUp.InitialShare, config.WarmUp.Duration = 0.4, 12*time.Second
	config.WarmUp.OverloadFactor, config.WarmUp.OverloadWindow = 2, window
	config.Classes[1].LatencyObjective, config.MaxAttempts = 4*time.Second, 0
	c, err := New(config)
	if err != nil {
		t.Fatal(err)
	}
	warming := testEngines(1)
	warming[0].StartedAt = startedAt
	c.Handle(startedAt+time.Second, EndpointList{Mode: ListComplete, Endpoints: warming}, nil)
	for now := at; now < at+window; now += 50 * ms {
		id := RequestID(fmt.Sprint(now))
		for _, action := range c.Handle(now, Arrival{Request: id, Class: "big", TimeLeft: 15 * time.Second}, nil) {
			if start, ok := action.(StartAttempt); ok {
				starts++
				c.Handle(now, AttemptEnd{Request: start.Request, Outcome: EngineFull}, nil)
			}
		}
		c.Handle(now, ClientGone{Request: id}, nil)
	}
	return starts
}

// Warming engines that are small against a query are not overloaded either where all routers of a large fleet saved
// their budgets and use them at once: what was due in two windows, and one query more, may meet in one.
func TestSavedBudgetsUsedTogetherDoNotOverload(t *testing.T) {
	const routers, window = 300, 1500 * ms
	highest, total := 0.0, 0
	for burst := range 40 {
		startedAt := 30 * time.Second
		at := startedAt + time.Second + time.Duration(burst)*100*ms
		starts := 0
		for i := range routers {
			starts += burstStarts(t, i, routers, startedAt, at, window)
		}
		factor := 0.4 + 0.6*(at-startedAt).Seconds()/12
		highest = max(highest, 4*float64(starts)/(2*8*0.85*factor*window.Seconds()))
		total += starts
	}
	if highest > 1 || total == 0 {
		t.Errorf("%.2f of what a warming engine may be sent in a window; %d queries in all", highest, total)
	}
}

// Successors take over what their predecessors know of a warming engine with a budget that begins when its warm-up
// began, each at a fraction of its own: they do not all have a quantum at once, whenever they start.
func TestHotRestartsDoNotStartBursts(t *testing.T) {
	most := 0
	for k := range 40 {
		users := 0
		for i := range 40 {
			config, list := largeFleetConfig(300, 8, 7*i)
			h := newHarness(t, withWarmUp(config))
			h.now += time.Duration(k) * 10 * time.Second
			h.updateEndpoints(ListComplete, list...)
			h.handle(RestoreSnapshot{Snapshot: Snapshot{Engines: []EngineSnapshot{
				{ID: 1, WarmUpStart: h.now, WarmUpEnd: h.now + 12*time.Second, Slowness: 1},
			}}})
			for range 100 {
				h.now += 100 * ms
				h.arrive("big", "")
			}
			if slices.Contains(h.startedOn(), 1) {
				users++
			}
		}
		most = max(most, users)
	}
	if most == 0 || most > 6 {
		t.Errorf("%d of 40 successors used a warming engine within ten seconds, want some and not all", most)
	}
}

// An engine that restarts while it warms up gets a new budget, from its new start on: the mirrored controllers of
// TestIncrementalSumsDecideAsRecounted share the code that does this.
func TestRestartedEngineGetsNewBudget(t *testing.T) {
	config := fleetConfig(fleetScenario{seed: 1, routers: 60, cores: 8}, 7)
	h := newHarness(t, config)
	list := testEngines(40)
	for _, startedAt := range []time.Duration{h.now - time.Second, h.now + 2*time.Second} {
		h.now = startedAt + time.Second
		list[0].StartedAt = startedAt
		h.updateEndpoints(ListComplete, list...)
		h.controller.capacity.warmResources()
		e := h.controller.endpoints.byID[1]
		if due := e.warmUp.budget.NextDue(); due <= milliseconds(startedAt) || due > milliseconds(e.warmUp.end) {
			t.Errorf("started at %v, its next quantum is due at %v ms", startedAt, due)
		}
	}
}
