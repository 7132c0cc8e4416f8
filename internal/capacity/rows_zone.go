package capacity

// zoneRows are the rows for the loss of a zone, and for its return with engines that warm up.
var zoneRows = []Row{
	{
		Role: "router",
		Subject: "processor time for control in the second in which a zone's 200 engines are removed or added, a " +
			"change each", Unit: unitPercent, Budget: RouterPercent, Terms: removalCost(zoneEngines),
		Mechanism: "changes in place of lists", Packages: discoveryPackages,
	},
	{
		Role: "router",
		Subject: "processor time for control in the second in which a zone's 200 engines are removed or added, in " +
			"one frame", Unit: unitPercent, Budget: RouterPercent, Terms: removalCostInFrame(zoneEngines),
		Mechanism: "one pass over the list per frame", Packages: discoveryPackages,
	},
	{
		Role: "router", Subject: "processor time for control, a change each, mean of the ten seconds around",
		Unit: unitPercent, Budget: RouterPercent, Terms: removalCost(zoneEngines / 10.0),
		Mechanism: "changes in place of lists", Packages: discoveryPackages,
	},
	{
		Role: "router", Subject: "bytes for control in that second, in one frame", Unit: unitBytesPerSecond,
		Budget: RouterBytesPerSecond,
		Terms: []Term{
			Line("router-bytes-by-engines", Engines), Line("router-frame-bytes-by-engines-told", zoneEngines),
		},
		Mechanism: "records of fixed length, many in a frame", Packages: discoveryPackages,
	},
	{
		Role: "router", Subject: "bytes for control, in one frame, mean of the ten seconds around",
		Unit: unitBytesPerSecond, Budget: RouterBytesPerSecond,
		Terms: []Term{
			Line("router-bytes-by-engines", Engines),
			Line("router-frame-bytes-by-engines-told", zoneEngines).Times(0.1),
		},
		Mechanism: "records of fixed length, many in a frame", Packages: discoveryPackages,
	},
	{
		Role: "router", Subject: "bytes for control in that second, a change each", Unit: unitBytesPerSecond,
		Budget: RouterBytesPerSecond, Terms: []Term{Line("router-bytes-by-list-changes", zoneEngines)},
		Mechanism: "records of fixed length, many in a frame", Packages: discoveryPackages,
	},
	{
		Role: "router", Subject: "clients that move from a zone's routers to each other router",
		Terms:     []Term{Given(zoneRouters*Sessions/float64(Routers-zoneRouters), "200,000 over 500")},
		Mechanism: "bounded accept rate, one poller", Packages: sessionPackages,
	},
	{
		Role: "router", Subject: "processor time of these clients' reconnection", Unit: unitMillis,
		Terms:     []Term{Line("return-cpu-by-clients", zoneRouters*Sessions/float64(Routers-zoneRouters))},
		Mechanism: "bounded accept rate, one poller", Packages: sessionPackages,
	},
	{
		Role: "discovery", Subject: "bytes of complete lists when a zone's 100 routers return", Unit: unitBytes,
		Terms:     []Term{Line("list-wire-bytes-by-engines", Engines).Times(zoneRouters)},
		Mechanism: "the complete list in one frame", Packages: []string{"internal/discovery"},
	},
	{
		Role:    "control machine",
		Subject: "bytes of complete configurations when a zone's 100 routers return without their folders",
		Unit:    unitBytes, Terms: []Term{Line("whole-configuration-bytes-by-entries", Tenants).Times(zoneRouters)},
		Mechanism: "backoff with jitter; each keeper serves followers", Packages: keeperPackages,
	},
	{
		Role: "operator", Subject: "a zone's routers return: the last revision in force at the last of them",
		Unit: unitSeconds, Budget: InForceSeconds, Terms: timeInForce("a zone is back"),
		Mechanism: "backoff with jitter; each keeper serves followers", Packages: configurationPackages,
	},
	{
		Role: "engine", Subject: "warm engines without an attempt while the zone is gone",
		Terms:     []Term{Simulated(dayZoneLost, "lost and told: idle")},
		Mechanism: "subsets distributed again", Packages: slowStartPackages,
	},
	{
		Role: "engine", Subject: "the most attempts over the mean while the zone is gone",
		Terms:     []Term{Simulated(dayZoneLost, "lost and told: most over mean")},
		Mechanism: "subsets distributed again", Packages: slowStartPackages,
	},
	{
		Role: "engine", Subject: "engines that warm up and get no attempt",
		Terms:     []Term{Simulated(dayZoneLost, "back, cold ones: idle")},
		Mechanism: "slow-start shares that sum to the limit", Packages: slowStartPackages,
	},
	{
		Role: "engine", Subject: "the most attempts at an engine that warms up, over its slow-start limit",
		Unit: unitShare, Budget: 1, Terms: []Term{Simulated(dayZoneLost, "most_to_cold_of_what_it_may")},
		Mechanism: "slow-start shares that sum to the limit", Packages: slowStartPackages,
	},
	{
		Role: "operator", Subject: "share of value served, from the loss to the end of the warm-up", Unit: unitShare,
		Terms:     []Term{Simulated(dayZoneLost, "served")},
		Mechanism: "zone backoff, slow start",
		Packages:  []string{"internal/decide/backoff", "internal/decide/slowstart"},
	},
}
