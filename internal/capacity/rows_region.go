package capacity

// regionRows are the rows for the loss of a region.
var regionRows = []Row{
	{
		Role: "router", Subject: "sessions of each of the 300 remaining routers",
		Terms:     []Term{Given(2*Sessions, "1.2 million over 300")},
		Mechanism: "the setting `sockets`", Packages: sessionPackages,
	},
	{
		Role: "router", Subject: "memory of these sessions, idle", Unit: unitMB,
		Terms:     []Term{Rise("router-memory-by-sessions-at-rest", 2*Sessions)},
		Mechanism: "buffers on demand, bounded in total", Packages: sessionPackages,
	},
	{
		Role: "router", Subject: "total processor time at 900 statements a second, 64 sessions", Unit: unitPercent,
		Terms:     []Term{Line("router-cpu-by-statements", 2*StatementsPerSecond)},
		Mechanism: "decisions of constant cost at any size of the fleet",
		Packages:  []string{"dispatch", "internal/router"},
	},
	{
		Role:    "router",
		Subject: "processor time for control in the second in which 600 engines are removed or added, a change each",
		Unit:    unitPercent, Budget: RouterPercent, Terms: removalCost(regionEngines),
		Mechanism: "changes in place of lists", Packages: discoveryPackages,
	},
	{
		Role:    "router",
		Subject: "processor time for control in the second in which 600 engines are removed or added, in one frame",
		Unit:    unitPercent, Budget: RouterPercent, Terms: removalCostInFrame(regionEngines),
		Mechanism: "one pass over the list per frame", Packages: discoveryPackages,
	},
	{
		Role: "router", Subject: "bytes for control in that second, in one frame", Unit: unitBytesPerSecond,
		Budget: RouterBytesPerSecond,
		Terms: []Term{
			Line("router-bytes-by-engines", Engines), Line("router-frame-bytes-by-engines-told", regionEngines),
		},
		Mechanism: "records of fixed length, many in a frame", Packages: discoveryPackages,
	},
	{
		Role: "engine", Subject: "warm engines without an attempt while the region is gone",
		Terms:     []Term{Simulated(dayRegionLostLessLoad, "lost and told: idle")},
		Mechanism: "subsets distributed again", Packages: slowStartPackages,
	},
	{
		Role: "engine", Subject: "the most attempts over the mean while the region is gone",
		Terms:     []Term{Simulated(dayRegionLostLessLoad, "lost and told: most over mean")},
		Mechanism: "subsets distributed again", Packages: slowStartPackages,
	},
	{
		Role: "operator", Subject: "share of value served, load 0.6 of the complete fleet", Unit: unitShare,
		Terms:     []Term{Simulated(dayRegionLost, "served")},
		Mechanism: "early rejection of requests that cannot finish in time", Packages: []string{"dispatch"},
	},
	{
		Role: "operator", Subject: "share of value served, load 0.4 of the complete fleet", Unit: unitShare,
		Terms:     []Term{Simulated(dayRegionLostLessLoad, "served")},
		Mechanism: "zone backoff, slow start",
		Packages:  []string{"internal/decide/backoff", "internal/decide/slowstart"},
	},
}

// regionPartitionRows are the rows for a network partition between the regions.
var regionPartitionRows = []Row{
	{
		Role: "router", Subject: "revisions behind after an hour in the region without a majority",
		Terms:     []Term{Given(ChangesPerDay/hoursPerDay, "1,500 a day over 24")},
		Mechanism: "the last valid revision stays in force", Packages: configurationPackages,
	},
	{
		Role: "control machine", Subject: "changes accepted in the region without a majority",
		Terms:     []Term{Given(0, "none: no majority, no revision")},
		Mechanism: "a majority for each revision", Packages: keeperPackages,
	},
	{
		Role:    "control machine",
		Subject: "bytes to 300 followers when the regions reconnect, an entry for each revision", Unit: unitBytes,
		Terms:     []Term{Line("whole-configuration-bytes-by-entries", ChangesPerDay/hoursPerDay).Times(regionRouters)},
		Mechanism: "a delta or a snapshot, by cost", Packages: keeperPackages,
	},
	{
		Role: "operator", Subject: "in force at the last router of the region with the majority", Unit: unitSeconds,
		Budget: InForceSeconds, Terms: timeInForce("changes in the region with the majority, the other one cut off"),
		Mechanism: "a majority for each revision", Packages: keeperPackages,
	},
	{
		Role: "operator", Subject: "regions reconnected: the last revision in force at the last router of the other",
		Unit: unitSeconds, Budget: InForceSeconds, Terms: timeInForce("the region that was cut off, from the joining on"),
		Mechanism: "backoff with jitter, a delta or a snapshot", Packages: configurationPackages,
	},
	{
		Role: "operator", Subject: "share of value served during and after a partition of 8 s", Unit: unitShare,
		Terms:     []Term{Simulated(dayRegionsApart, "served")},
		Mechanism: "zone backoff", Packages: backoffPackages,
	},
	{
		Role: "engine", Subject: "without an attempt during the partition",
		Terms:     []Term{Simulated(dayRegionsApart, "apart: idle")},
		Mechanism: "all other zones are candidates during zone backoff", Packages: backoffPackages,
	},
}
