package dispatch

import (
	"cmp"
	"testing"
	"time"

	"windflow/internal/tracetest"
)

// TestTraces guards against changes that alter decisions by mistake. It compares every action of the controller with
// the traces recorded in testdata/traces.txt, for random events under several settings and for simulated fleets. The
// scenario names are the names of the recorded traces.
func TestTraces(t *testing.T) {
	var all []tracetest.Scenario
	for i, setting := range traceSettings {
		all = append(all, randomTrace(setting, uint64(i+1)))
	}
	all = append(all, hotRestartTrace("upgrade/warm", func(*Config) {}))
	all = append(all, hotRestartTrace("upgrade/large-fleet", onRouter(600, 55)))
	for _, fleet := range traceFleets() {
		all = append(all, fleetTrace(fleet.name, fleet.scenario))
	}
	tracetest.Check(t, all)
}

// traceSteps is the number of events of a random trace.
const traceSteps = 6000

// traceSetting is one random trace: the settings that differ from traceConfig, and the engines.
type traceSetting struct {
	name     string
	change   func(*Config)
	engines  int    // number of engines at the start; 0 for traceEngines
	lostZone string // zone whose engines do not accept connections; empty for none
}

// onRouter returns a change that makes the controller the router with the given index among several.
func onRouter(routers, index int) func(*Config) {
	return func(c *Config) { c.Routers, c.RouterIndex = routers, index }
}

var traceSettings = []traceSetting{
	{name: "random/plain", change: func(*Config) {}},
	{name: "random/bare", change: func(c *Config) {
		c.Features.Grants, c.Features.Priorities, c.RetryAfter.Allowed = false, false, false
		c.CancelAllowed, c.HedgingAllowed = false, false
		c.Tenants, c.RetryBudget, c.Features.ProgressInterval = nil, RetryBudget{}, 0
	}},
	{name: "random/second-copies", change: func(c *Config) { c.HedgingAllowed, c.CancelAllowed = true, true }},
	{name: "random/tight-budget", change: func(c *Config) {
		c.HedgingAllowed, c.RetryBudget = true, RetryBudget{Window: time.Second, Free: 1, PerRequest: 0.05}
	}},
	{name: "random/no-cap", change: func(c *Config) { c.MaxAttempts, c.MaxQueued = 0, 0 }},
	{name: "random/few-held", change: func(c *Config) { c.MaxQueued, c.MaxAttempts = 4, 2 }},
	{name: "random/asked-discovery", change: func(c *Config) {
		c.PolledDiscovery, c.DiscoveryTimeout = true, 2*time.Second
	}},
	{name: "random/shortage-trim", change: func(c *Config) { c.Features.MemoryShortage = ShortageShrink }},
	{name: "random/shortage-swap", change: func(c *Config) { c.Features.MemoryShortage = ShortagePage }},
	{name: "random/scope-zone", change: func(c *Config) { setTraceScope(c, ScopeZone) }},
	{name: "random/scope-cell", change: func(c *Config) { setTraceScope(c, ScopeCell) }},
	{name: "random/order-by-key", change: func(c *Config) {
		for i := range c.Classes {
			c.Classes[i].OrderByKey = true
		}
	}},
	{name: "random/own-zone", change: func(c *Config) { c.Zone = "z1" }},
	{name: "random/cold-starts", change: func(c *Config) {
		c.WarmUp.InitialShare, c.WarmUp.Duration, c.WarmUp.OverloadFactor = 0.1, 30*time.Second, 1.2
	}},
	{name: "random/many-gateways", change: onRouter(40, 7)},
	{name: "random/large-fleet", change: onRouter(600, 123)},
	{name: "random/many-engines", engines: 60, change: onRouter(12, 3)},
	{name: "random/large-fleet-many-engines", engines: 300, change: onRouter(600, 321)},
	{name: "random/single-threaded", engines: 16, change: func(c *Config) {
		c.Routers, c.RouterIndex = 40, 9
		for i := range c.Classes {
			c.Classes[i].Threads = 1
		}
	}},
	{name: "random/zone-lost", engines: 30, lostZone: "z1", change: onRouter(12, 5)},
	{name: "random/large-fleet-zone-lost", engines: 300, lostZone: "z1", change: onRouter(600, 77)},
}

func setTraceScope(c *Config, scope IdempotencyScope) {
	for i := range c.Classes {
		c.Classes[i].IdempotencyScope = scope
	}
}

// traceConfig returns a configuration that uses nearly all settings of a controller.
func traceConfig() Config {
	return Config{
		Seed:        7,
		RouterIndex: 1,
		Routers:     3,
		Zone:        "z0",
		Classes:     traceClasses(),
		Tenants:     []Tenant{{Name: "a", Quota: 20}, {Name: "b", Quota: 2}},
		Kinds: []EngineKind{
			{Name: "small", Cores: 4, MemoryMB: 4096},
			{Name: "large", Cores: 16, MemoryMB: 32768},
		},
		OverQuotaWeight: 0.1,
		MaxAttempts:     4,
		MaxQueued:       50,
		CancelAllowed:   true,
		RetryAfter:      RetryAfter{Allowed: true, Max: 2 * time.Second},
		Features:        EngineFeatures{Grants: true, MaxGrantShare: 0.4, Priorities: true, ProgressInterval: 200 * ms},
		Tick:            2 * ms,
		WarmUp: WarmUp{
			InitialShare: 0.36, Duration: 12 * time.Second, OverloadFactor: 2, OverloadWindow: 1500 * ms,
		},
		KeyCooldown: 300 * ms,
		RetryBudget: RetryBudget{Window: 10 * time.Second, Free: 10, PerRequest: 0.3},
	}
}

func traceClasses() []Class {
	return []Class{
		{
			Name: "lookup", LatencyObjective: 400 * ms, ObjectiveStretch: 2, Deadline: 2 * time.Second,
			PriorityWeight: 1, Threads: 1, BlockedByLoad: true,
		},
		{
			Name: "report", LatencyObjective: 900 * ms, ObjectiveStretch: 2.5, Deadline: 8 * time.Second,
			PriorityWeight: 10, LateWeightShare: 0.4, Threads: 4, BlockedByLoad: true,
		},
		{
			Name: "load", LatencyObjective: 1200 * ms, Deadline: 9 * time.Second,
			PriorityWeight: 7, LateWeightShare: 0.5, Threads: 2, LocksTableGroup: true, Semantics: AtMostOnce,
		},
		{
			Name: "write", LatencyObjective: 700 * ms, Deadline: 5 * time.Second, PriorityWeight: 3,
			Semantics: IdempotentByKey, IdempotencyWindow: 3 * time.Second, OrderByKey: true,
		},
		{
			Name: "bound", LatencyObjective: 800 * ms, Deadline: 4 * time.Second, PriorityWeight: 2, Threads: 2,
			Zones: []string{"z1"}, Kinds: []string{"large", "small"},
		},
	}
}

func randomTrace(setting traceSetting, seed uint64) tracetest.Scenario {
	return tracetest.Scenario{Name: setting.name, Run: func(t *testing.T, h *tracetest.Hash) {
		t.Helper()
		config := traceConfig()
		setting.change(&config)
		d := newTraceDriver(t, h, config, seed, cmp.Or(setting.engines, traceEngines))
		d.lostZone = setting.lostZone
		d.run(traceSteps)
	}}
}

// hotRestartTrace returns a scenario of repeated hot restarts, in which each controller is replaced by a successor.
func hotRestartTrace(name string, change func(*Config)) tracetest.Scenario {
	return tracetest.Scenario{Name: name, Run: func(t *testing.T, h *tracetest.Hash) {
		t.Helper()
		config := traceConfig()
		change(&config)
		newTraceDriver(t, h, config, 99, traceEngines).hotRestarts(8, 400)
	}}
}

// fleetTrace returns a scenario that traces the actions of all controllers of a simulated fleet in order, followed by
// the snapshots of up to three of them.
func fleetTrace(name string, scenario fleetScenario) tracetest.Scenario {
	return tracetest.Scenario{Name: name, Run: func(t *testing.T, h *tracetest.Hash) {
		t.Helper()
		f := newFleetSimulation(t, scenario)
		f.onAction = func(router *fleetRouter, action Action) { traceAction(h, router.config.RouterIndex, action) }
		f.run()
		for _, router := range f.routers[:min(len(f.routers), 3)] {
			traceSnapshotOf(h, router.controller.Snapshot())
		}
	}}
}

// traceFleet is a simulated fleet with the name of its recorded trace.
type traceFleet struct {
	name     string
	scenario fleetScenario
}

// traceFleets returns variants of a small, a medium and a large fleet.
func traceFleets() []traceFleet {
	small := fleetScenario{
		seed: 5, routers: 2, engines: 6, cores: 8, zones: 2, offeredLoad: 0.7, duration: 12 * time.Second,
		slowShare: 0.2, faultAt: 3 * time.Second, faultDuration: 4 * time.Second, burstFactor: 1.4,
		connectInterval: 700 * ms,
	}
	medium := fleetScenario{
		seed: 6, routers: 30, engines: 24, cores: 8, zones: 3, offeredLoad: 0.7, duration: 9 * time.Second,
		slowShare: 0.1, faultAt: 2 * time.Second, faultDuration: 3 * time.Second,
	}
	large := fleetScenario{
		seed: 7, routers: 600, engines: 48, cores: 16, zones: 6, offeredLoad: 0.6, duration: 4 * time.Second,
		slowShare: 0.1, faultAt: time.Second, faultDuration: time.Second,
	}
	return []traceFleet{
		{"fleet/2-join", modified(small, func(s *fleetScenario) { s.replacedShare, s.impatientShare = 0.6, 0.3 })},
		{"fleet/2-zone-lost", modified(small, func(s *fleetScenario) {
			s.zoneLost, s.listDelay = true, 2*time.Second
		})},
		{"fleet/30-join-restart", modified(medium, func(s *fleetScenario) {
			s.replacedShare, s.restartedShare, s.burstFactor = 0.5, 0.3, 1.5
		})},
		{"fleet/30-split", modified(medium, func(s *fleetScenario) { s.partitioned = true })},
		{"fleet/30-region-lost", modified(medium, func(s *fleetScenario) {
			s.zoneLost, s.lostZones, s.listDelay = true, 1, time.Second
		})},
		{"fleet/600-restart", modified(large, func(s *fleetScenario) { s.replacedShare, s.restartedShare = 0.2, 0.2 })},
		{"fleet/600-rack-drained", modified(large, func(s *fleetScenario) { s.rackSize, s.rackDrained = 4, true })},
		{"fleet/600-replaced", modified(large, func(s *fleetScenario) {
			s.rollingRestarts, s.rollingReplacements = 60, 10
		})},
	}
}
