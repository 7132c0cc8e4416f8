package dispatch

import (
	"cmp"
	"testing"
	"time"

	"windflow/internal/tracetest"
)

// Every decision of the controller stays as it was recorded in testdata/traces.txt: in a random world under several
// settings, and in whole fleets. It guards against changes that are meant to leave decisions alone and do not.
func TestTraces(t *testing.T) {
	var all []tracetest.Scenario
	for i, s := range traceSettings {
		all = append(all, randomTrace(s, uint64(i+1)))
	}
	all = append(all, hotRestartTrace("upgrade/warm", func(*Config) {}))
	all = append(all, hotRestartTrace("upgrade/large-fleet", func(c *Config) { c.Routers, c.RouterIndex = 600, 55 }))
	for _, d := range traceFleets() {
		all = append(all, fleetTrace(d.name, d.scenario))
	}
	tracetest.Check(t, all)
}

const traceSteps = 6000

// traceSetting is a change of traceConfig.
type traceSetting struct {
	name     string
	change   func(*Config)
	engines  int    // 0 for traceEngines
	lostZone string // zone whose engines do not answer
}

var traceSettings = []traceSetting{
	{name: "random/plain", change: func(*Config) {}},
	{name: "random/bare", change: func(c *Config) {
		c.Grants, c.Priorities, c.RetryAfterAllowed, c.CancelAllowed, c.HedgingAllowed = false, false, false, false, false
		c.Tenants, c.RetryBudget, c.ProgressInterval = nil, RetryBudget{}, 0
	}},
	{name: "random/second-copies", change: func(c *Config) { c.HedgingAllowed, c.CancelAllowed = true, true }},
	{name: "random/tight-budget", change: func(c *Config) {
		c.HedgingAllowed, c.RetryBudget = true, RetryBudget{Window: time.Second, Free: 1, PerRequest: 0.05}
	}},
	{name: "random/no-cap", change: func(c *Config) { c.MaxAttempts, c.MaxQueued = 0, 0 }},
	{name: "random/few-held", change: func(c *Config) { c.MaxQueued, c.MaxAttempts = 4, 2 }},
	{name: "random/asked-discovery", change: func(c *Config) { c.PolledDiscovery, c.DiscoveryTimeout = true, 2*time.Second }},
	{name: "random/shortage-trim", change: func(c *Config) { c.MemoryShortage = ShortageShrink }},
	{name: "random/shortage-swap", change: func(c *Config) { c.MemoryShortage = ShortagePage }},
	{name: "random/scope-zone", change: func(c *Config) { setTraceScope(c, ScopeZone) }},
	{name: "random/scope-cell", change: func(c *Config) { setTraceScope(c, ScopeCell) }},
	{name: "random/order-by-key", change: func(c *Config) {
		for i := range c.Classes {
			c.Classes[i].OrderByKey = true
		}
	}},
	{name: "random/own-zone", change: func(c *Config) { c.Zone = "z1" }},
	{name: "random/cold-starts", change: func(c *Config) {
		c.WarmUpInitialShare, c.WarmUpDuration, c.WarmUpOverloadFactor = 0.1, 30*time.Second, 1.2
	}},
	{name: "random/many-gateways", change: func(c *Config) { c.Routers, c.RouterIndex = 40, 7 }},
	{name: "random/large-fleet", change: func(c *Config) { c.Routers, c.RouterIndex = 600, 123 }},
	{name: "random/many-engines", engines: 60, change: func(c *Config) { c.Routers, c.RouterIndex = 12, 3 }},
	{name: "random/large-fleet-many-engines", engines: 300, change: func(c *Config) { c.Routers, c.RouterIndex = 600, 321 }},
	{name: "random/single-threaded", engines: 16, change: func(c *Config) {
		c.Routers, c.RouterIndex = 40, 9
		for i := range c.Classes {
			c.Classes[i].Threads = 1
		}
	}},
	{name: "random/zone-lost", engines: 30, lostZone: "z1", change: func(c *Config) { c.Routers, c.RouterIndex = 12, 5 }},
	{name: "random/large-fleet-zone-lost", engines: 300, lostZone: "z1", change: func(c *Config) { c.Routers, c.RouterIndex = 600, 77 }},
}

func setTraceScope(c *Config, scope IdempotencyScope) {
	for i := range c.Classes {
		c.Classes[i].IdempotencyScope = scope
	}
}

// traceConfig uses about all that a controller can be told.
func traceConfig() Config {
	return Config{
		Seed: 7, RouterIndex: 1, Routers: 3, Zone: "z0",
		Classes: []Class{
			{Name: "lookup", LatencyObjective: 400 * ms, ObjectiveStretch: 2, Deadline: 2 * time.Second, PriorityWeight: 1, Threads: 1, BlockedByLoad: true},
			{Name: "report", LatencyObjective: 900 * ms, ObjectiveStretch: 2.5, Deadline: 8 * time.Second, PriorityWeight: 10, LateWeightShare: 0.4, Threads: 4, BlockedByLoad: true},
			{Name: "load", LatencyObjective: 1200 * ms, Deadline: 9 * time.Second, PriorityWeight: 7, LateWeightShare: 0.5, Threads: 2, LocksTableGroup: true, Semantics: AtMostOnce},
			{Name: "write", LatencyObjective: 700 * ms, Deadline: 5 * time.Second, PriorityWeight: 3, Semantics: IdempotentByKey, IdempotencyWindow: 3 * time.Second, OrderByKey: true},
			{Name: "bound", LatencyObjective: 800 * ms, Deadline: 4 * time.Second, PriorityWeight: 2, Threads: 2, Zones: []string{"z1"}, Kinds: []string{"large", "small"}},
		},
		Tenants:         []Tenant{{Name: "a", Quota: 20}, {Name: "b", Quota: 2}},
		Kinds:           []EngineKind{{Name: "small", Cores: 4, MemoryMB: 4096}, {Name: "large", Cores: 16, MemoryMB: 32768}},
		OverQuotaWeight: 0.1, MaxAttempts: 4, MaxQueued: 50, CancelAllowed: true, RetryAfterAllowed: true, MaxRetryAfter: 2 * time.Second,
		Grants: true, MaxGrantShare: 0.4, Priorities: true, ProgressInterval: 200 * ms, Tick: 2 * ms,
		WarmUpInitialShare: 0.36, WarmUpDuration: 12 * time.Second, WarmUpOverloadFactor: 2, WarmUpOverloadWindow: 1500 * ms, KeyCooldown: 300 * ms,
		RetryBudget: RetryBudget{Window: 10 * time.Second, Free: 10, PerRequest: 0.3},
	}
}

func randomTrace(s traceSetting, seed uint64) tracetest.Scenario {
	return tracetest.Scenario{Name: s.name, Run: func(t *testing.T, h *tracetest.Hash) {
		config := traceConfig()
		s.change(&config)
		w := newTraceDriver(t, h, config, seed, cmp.Or(s.engines, traceEngines))
		w.lostZone = s.lostZone
		w.run(traceSteps)
	}}
}

// hotRestartTrace has controllers take over from each other.
func hotRestartTrace(name string, change func(*Config)) tracetest.Scenario {
	return tracetest.Scenario{Name: name, Run: func(t *testing.T, h *tracetest.Hash) {
		config := traceConfig()
		change(&config)
		newTraceDriver(t, h, config, 99, traceEngines).hotRestarts(8, 400)
	}}
}

// fleetTrace writes what all controllers of a fleet do, in order.
func fleetTrace(name string, day fleetScenario) tracetest.Scenario {
	return tracetest.Scenario{Name: name, Run: func(t *testing.T, h *tracetest.Hash) {
		f := newFleetSimulation(t, day)
		f.onAction = func(r *fleetRouter, a Action) { traceAction(h, r.config.RouterIndex, a) }
		f.run()
		for _, r := range f.routers[:min(len(f.routers), 3)] {
			traceSnapshotOf(h, r.controller.Snapshot())
		}
	}}
}

type traceFleet struct {
	name     string
	scenario fleetScenario
}

// traceFleets are days on a small fleet, one of the middle and a large one.
func traceFleets() []traceFleet {
	s := time.Second
	few := fleetScenario{
		seed: 5, routers: 2, engines: 6, cores: 8, zones: 2, load: 0.7, duration: 12 * s, slowShare: 0.2,
		faultAt: 3 * s, faultFor: 4 * s, burstFactor: 1.4, connectInterval: 700 * ms,
	}
	some := fleetScenario{
		seed: 6, routers: 30, engines: 24, cores: 8, zones: 3, load: 0.7, duration: 9 * s, slowShare: 0.1,
		faultAt: 2 * s, faultFor: 3 * s,
	}
	many := fleetScenario{
		seed: 7, routers: 600, engines: 48, cores: 16, zones: 6, load: 0.6, duration: 4 * s, slowShare: 0.1,
		faultAt: s, faultFor: s,
	}
	changed := func(d fleetScenario, change func(*fleetScenario)) fleetScenario { change(&d); return d }
	return []traceFleet{
		{"fleet/2-join", changed(few, func(d *fleetScenario) { d.replacedShare, d.impatientShare = 0.6, 0.3 })},
		{"fleet/2-zone-lost", changed(few, func(d *fleetScenario) { d.zoneLost, d.listDelay = true, 2*s })},
		{"fleet/30-join-restart", changed(some, func(d *fleetScenario) { d.replacedShare, d.restartedShare, d.burstFactor = 0.5, 0.3, 1.5 })},
		{"fleet/30-split", changed(some, func(d *fleetScenario) { d.partitioned = true })},
		{"fleet/30-region-lost", changed(some, func(d *fleetScenario) { d.zoneLost, d.lostZones, d.listDelay = true, 1, s })},
		{"fleet/600-restart", changed(many, func(d *fleetScenario) { d.replacedShare, d.restartedShare = 0.2, 0.2 })},
		{"fleet/600-rack-drained", changed(many, func(d *fleetScenario) { d.rackSize, d.rackDrained = 4, true })},
		{"fleet/600-replaced", changed(many, func(d *fleetScenario) { d.rollingRestarts, d.rollingReplacements = 60, 10 })},
	}
}
