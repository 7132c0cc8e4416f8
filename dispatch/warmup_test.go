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
		// 8 cores at 85% utilization, times the initial share of 0.4, times the overload factor of 2, in a window of 1
		// s, divided among the routers.
		limit := 8 * 0.85 * 0.4 * 2 / float64(routers)
		work := h.controller.classes.all[0].estimate.usualWork()
		starts, most := h.warmingStarts[1], 0
		for i, at := range starts {
			most = max(most, countAfter(starts[:i+1], at-time.Second))
		}
		if most == 0 || float64(most)*work > limit*1.3 {
			t.Errorf("%d routers: %d queries of %.3f s in one window, want at least 1 and at most 1.3 times %.2f s",
				routers, most, work, limit)
		}
	}
}

// drainSimulation is a fleet of routers with uneven traffic that lose all warm engines to a drain and are left with
// warming engines. The routers are simulated one after the other.
type drainSimulation struct {
	t         *testing.T
	rng       *rand.Rand
	seed      uint64
	startedAt time.Duration        // start of the new engines
	work      map[EngineID]float64 // sent to each warming engine
	windows   map[string]float64   // sent to each warming engine in each window
}

const (
	drainRouters       = 40
	drainedEngines     = 50 // engines that are drained
	replacementEngines = 6  // engines that replace the drained ones
	drainQueryWork     = 0.125
	drainWindow        = 2 * time.Second
)

// runRouter simulates one router from time 30 s on, with a burst that starts with the drain.
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

// replacements returns a list update that drains the warm engines and starts the warming ones.
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

// request delivers a request and serves it if it is started. A timer event first rejects requests that have been
// queued for too long, which would block their queue.
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

// Many routers with uneven traffic together do not exceed what warming engines may be sent, and all warming engines
// get work.
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
			t.Errorf("seed %d: %d of %d warming engines got work, want all", seed, len(m.work), replacementEngines)
		}
	}
}

// burstStarts returns how many queries a router of a large fleet starts within a window on a warming engine, after it
// has accumulated budget for that engine.
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

// Warming engines that are small compared to a query are not overloaded even if all routers of a large fleet save
// their budgets and use them at the same time. The budget of two windows and one more query may then meet in one
// window.
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
		t.Errorf("a warming engine was sent %.2f of its limit in a window, want at most 1; %d queries in total",
			highest, total)
	}
}

// A successor takes over the warm-up of an engine with a budget that begins when the warm-up began, at a different
// fraction of a quantum on each router. Thus successors do not all have a quantum at the same time, whenever they
// start.
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
		t.Errorf("%d of 40 successors used a warming engine within ten seconds, want 1 to 6", most)
	}
}

// An engine that restarts during its warm-up gets a new budget that begins at the new start. The compared controllers
// of TestIncrementalSumsMatchRecount do not check this, as both run the same code for it.
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
			t.Errorf("engine started at %v: next quantum is due at %v ms, want a time within the warm-up",
				startedAt, due)
		}
	}
}
