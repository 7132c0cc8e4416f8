package capacity

// stateRows are the rows for an idle fleet and for a steady load.
var stateRows = []Row{
	{
		Role: "router", Subject: "memory for control: 1,200 engines, 1,000 tenants, no clients", Unit: unitMB,
		Budget:    RouterMB,
		Terms:     []Term{Line("router-memory-by-engines", Engines), Rise("router-memory-by-tenants", Tenants)},
		Mechanism: "one list of engines and one table of tenants in one loop",
		Packages:  []string{"dispatch", "internal/router"},
	},
	{
		Role: "router", Subject: "memory for control with configuration by revision", Unit: unitMB, Budget: RouterMB,
		Terms:     []Term{Line("router-memory-by-configuration-changes", changesPerSecond)},
		Mechanism: "the content in force without history", Packages: configurationPackages,
	},
	{
		Role: "router", Subject: "memory of 2,000 idle sessions", Unit: unitMB,
		Terms:     []Term{Rise("router-memory-by-sessions-at-rest", Sessions)},
		Mechanism: "buffers on demand, bounded in total", Packages: sessionPackages,
	},
	{
		Role: "router", Subject: "processor time of 2,000 idle sessions", Unit: unitPercent,
		Terms:     []Term{Rise("router-cpu-by-sessions-at-rest", Sessions)},
		Mechanism: "one poller for all, idle sessions closed by one timer each", Packages: sessionPackages,
	},
	{
		Role: "router", Subject: "total processor time at 450 statements a second, 64 sessions", Unit: unitPercent,
		Terms:     []Term{Line("router-cpu-by-statements", StatementsPerSecond)},
		Mechanism: "decisions of constant cost at any size of the fleet",
		Packages:  []string{"dispatch", "internal/router"},
	},
	{
		Role: "router", Subject: "total processor time of 2,000 busy sessions, 450 statements a second",
		Unit: unitPercent, Terms: []Term{Line("router-cpu-by-busy-sessions", Sessions)},
		Mechanism: "one poller, one loop", Packages: []string{"internal/netio", "internal/router"},
	},
	{
		Role: "router", Subject: "total memory of 2,000 busy sessions, 450 statements a second", Unit: unitMB,
		Terms:     []Term{Line("router-memory-by-busy-sessions", Sessions)},
		Mechanism: "buffers on demand, bounded in total", Packages: sessionPackages,
	},
	{
		Role: "router", Subject: "bytes of 450 statements a second, connections to clients and engines",
		Unit: unitBytesPerSecond, Terms: []Term{Line("router-bytes-by-statements", StatementsPerSecond)},
		Mechanism: "one POST and its pages on one connection",
		Packages:  []string{"internal/enginehttp", "internal/mysql"},
	},
	{
		Role: "router", Subject: "the complete list of 1,200 engines", Unit: unitBytes,
		Terms:     []Term{Line("list-wire-bytes-by-engines", Engines)},
		Mechanism: "records of fixed length, afterwards only changes", Packages: discoveryPackages,
	},
	{
		Role: "router", Subject: "the complete configuration of 1,000 tenants as a file", Unit: unitBytes,
		Terms:     []Term{Line("configuration-bytes-by-tenants", Tenants)},
		Mechanism: "read at the start and on SIGHUP; by revision only the changes",
		Packages:  []string{"internal/settings", "internal/node"},
	},
	{
		Role: "discovery", Subject: "open connections", Terms: []Term{Given(Routers, "one of each router")},
		Mechanism: "one watch per router, resumed from its last event", Packages: []string{"internal/discovery"},
	},
	{
		Role: "discovery", Subject: "memory of our test server", Unit: unitMB,
		Terms:     []Term{Line("board-memory-by-routers", Routers)},
		Mechanism: "one frame for all watchers", Packages: []string{"internal/discovery"},
	},
	{
		Role: "control machine", Subject: "machines used", Budget: ControlMachines,
		Terms:     []Term{Given(ControlMachines, "a keeper on each")},
		Mechanism: "replicated log; each keeper serves followers", Packages: keeperPackages,
	},
	{
		Role: "control machine", Subject: "a keeper's memory, 600 followers over 5, 1,000 tenants as entries",
		Unit:      unitMB,
		Terms:     []Term{Line("keeper-memory-by-routers", Routers), Rise("keeper-memory-by-entries", Tenants)},
		Mechanism: "one copy of the content, bounded history, a lease per follower", Packages: keeperPackages,
	},
	{
		Role: "engine", Subject: "statements a second of all engines in the simulated days, of 270,000",
		Terms:     []Term{Simulated(dayCalm, "statements_per_second")},
		Mechanism: "the fleet simulation of the tests of package dispatch", Packages: []string{"dispatch"},
	},
	{
		Role: "engine", Subject: "statements a second, mean",
		Terms:     []Term{Given(Routers*StatementsPerSecond/Engines, "270,000 over 1,200")},
		Mechanism: "subsets distributed evenly", Packages: slowStartPackages,
	},
	{
		Role: "engine", Subject: "statements a second, the most loaded",
		Terms:     []Term{Simulated(dayCalm, "calm: most over mean").Times(Routers * StatementsPerSecond / Engines)},
		Mechanism: "the better of two candidates of a subset", Packages: []string{"dispatch"},
	},
	{
		Role: "engine", Subject: "routers with an engine in their subset, mean",
		Terms:     []Term{Simulated(daySubsets, "0% dead: routers near an engine")},
		Mechanism: "a subset of as many engines as a router may run of the widest queries", Packages: slowStartPackages,
	},
	{
		Role: "engine", Subject: "routers with the most used engine in their subset, over the mean",
		Terms:     []Term{Simulated(daySubsets, "0% dead: most over mean")},
		Mechanism: "subsets distributed evenly", Packages: slowStartPackages,
	},
	{
		Role: "operator", Subject: "calls for a change, with its wait until it is in force",
		Terms:     []Term{Given(2, "one change, one wait")},
		Mechanism: "HTTP calls to any keeper", Packages: keeperPackages,
	},
}
