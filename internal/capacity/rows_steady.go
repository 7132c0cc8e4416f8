package capacity

// quietHourRows are the rows for an hour without failures and without changes of the endpoint list.
var quietHourRows = []Row{
	{
		Role: "router", Subject: "processor time for control, files and signals", Unit: unitPercent,
		Budget:    RouterPercent,
		Terms:     []Term{Line("router-cpu-by-engines", Engines), Rise("router-cpu-by-reloads", changesPerSecond)},
		Mechanism: "a loop that sleeps until something is due", Packages: []string{"internal/router", "internal/node"},
	},
	{
		Role: "router", Subject: "processor time for control, configuration by revision", Unit: unitPercent,
		Budget:    RouterPercent,
		Terms:     []Term{Line("router-cpu-by-configuration-changes", changesPerSecond)},
		Mechanism: "one long poll in 2 s", Packages: configurationPackages,
	},
	{
		Role: "router", Subject: "bytes for control, connection to service discovery", Unit: unitBytesPerSecond,
		Budget:    RouterBytesPerSecond,
		Terms:     []Term{Line("router-bytes-by-engines", Engines)},
		Mechanism: "a heartbeat a second and no lists", Packages: discoveryPackages,
	},
	{
		Role: "router", Subject: "bytes for control, a complete file to each router for each change",
		Unit: unitBytesPerSecond, Budget: RouterBytesPerSecond,
		Terms: []Term{
			Line("router-bytes-by-engines", Engines),
			Line("configuration-bytes-by-tenants", Tenants).Times(changesPerSecond),
		},
		Mechanism: "files and signals, as without keepers", Packages: []string{"internal/settings", "internal/node"},
	},
	{
		Role: "router", Subject: "bytes for control, with configuration by revision", Unit: unitBytesPerSecond,
		Budget: RouterBytesPerSecond,
		Terms: []Term{
			Line("router-bytes-by-engines", Engines), Line("follower-bytes-by-routers", Routers),
			Rise("follower-bytes-by-changes", changesPerSecond),
		},
		Mechanism: "one long poll in 2 s, only deltas", Packages: configurationPackages,
	},
	{
		Role: "discovery", Subject: "processor time of our test server", Unit: unitPercent,
		Terms:     []Term{Line("board-cpu-by-routers", Routers)},
		Mechanism: "one frame for all watchers", Packages: []string{"internal/discovery"},
	},
	{
		Role: "discovery", Subject: "bytes of 600 connections", Unit: unitBytesPerSecond,
		Terms:     []Term{Line("board-bytes-by-routers", Routers)},
		Mechanism: "a heartbeat a second", Packages: []string{"internal/discovery"},
	},
	{
		Role: "control machine", Subject: "the busiest keeper's processor time, 600 followers over 5",
		Unit: unitPercent, Terms: []Term{Line("keeper-cpu-by-routers", Routers)},
		Mechanism: "long polls, answered from memory", Packages: keeperPackages,
	},
	{
		Role: "control machine", Subject: "a keeper's bytes, 600 followers over 5", Unit: unitBytesPerSecond,
		Terms:     []Term{Line("keeper-bytes-by-routers", Routers)},
		Mechanism: "long polls, answered on a change or after 2 s", Packages: keeperPackages,
	},
	{
		Role: "operator", Subject: "changes in the hour",
		Terms:     []Term{Given(ChangesPerDay/hoursPerDay, "1,500 a day over 24")},
		Mechanism: "HTTP calls to any keeper", Packages: keeperPackages,
	},
}

// ordinaryDayRows are the rows for a day with planned restarts and few failures.
var ordinaryDayRows = []Row{
	{
		Role: "router", Subject: "processor time for control, files and signals", Unit: unitPercent,
		Budget: RouterPercent,
		Terms: []Term{
			Line("router-cpu-by-engines", Engines), Rise("router-cpu-by-list-changes", eventsPerSecond),
			Rise("router-cpu-by-reloads", changesPerSecond),
		},
		Mechanism: "changes in place of lists", Packages: discoveryPackages,
	},
	{
		Role: "router", Subject: "bytes for control, connection to service discovery", Unit: unitBytesPerSecond,
		Budget:    RouterBytesPerSecond,
		Terms:     []Term{Line("router-bytes-by-list-changes", eventsPerSecond)},
		Mechanism: "changes in place of lists", Packages: discoveryPackages,
	},
	{
		Role: "router", Subject: "a restart: time to ready", Unit: unitMillis,
		Terms:     []Term{Line("restart-ready-by-engines", Engines)},
		Mechanism: "the complete list in one frame", Packages: []string{"internal/discovery", "internal/node"},
	},
	{
		Role: "router", Subject: "a restart: processor time", Unit: unitMillis,
		Terms:     []Term{Line("restart-cpu-by-engines", Engines)},
		Mechanism: "files read once, the descriptor table grown once",
		Packages:  []string{"internal/node", "internal/descriptors"},
	},
	{
		Role: "router", Subject: "a restart: bytes", Unit: unitBytes,
		Terms:     []Term{Line("restart-bytes-by-engines", Engines)},
		Mechanism: "the complete list in one frame", Packages: []string{"internal/discovery"},
	},
	{
		Role: "router", Subject: "a restart: processor time of 2,000 clients that reconnect", Unit: unitMillis,
		Terms:     []Term{Line("return-cpu-by-clients", Sessions)},
		Mechanism: "bounded accept rate, one poller", Packages: sessionPackages,
	},
	{
		Role: "router", Subject: "a restart: until the last of 2,000 clients is served", Unit: unitMillis,
		Terms:     []Term{Line("return-time-by-clients", Sessions)},
		Mechanism: "bounded accept rate, one poller", Packages: sessionPackages,
	},
	{
		Role: "discovery", Subject: "bytes of complete lists to routers that restart, mean of the day",
		Unit:      unitBytesPerSecond,
		Terms:     []Term{Line("list-wire-bytes-by-engines", Engines).Times(restartedRoutersPerDay / secondsPerDay)},
		Mechanism: "the complete list in one frame, by the watch's last event",
		Packages:  []string{"internal/discovery"},
	},
	{
		Role: "control machine", Subject: "bytes of complete configurations to routers that restart, mean of the day",
		Unit: unitBytesPerSecond,
		Terms: []Term{
			Line("whole-configuration-bytes-by-entries", Tenants).Times(restartedRoutersPerDay / secondsPerDay),
		},
		Mechanism: "a copy on the follower's disk, a delta from there; a snapshot without one",
		Packages:  keeperPackages,
	},
	{
		Role: "discovery", Subject: "processor time at a change a second, a hundred times the day's mean",
		Unit: unitPercent, Terms: []Term{Line("board-cpu-by-routers-at-1-change", Routers)},
		Mechanism: "one frame for all watchers", Packages: []string{"internal/discovery"},
	},
	{
		Role: "discovery", Subject: "bytes at a change a second, a hundred times the day's mean",
		Unit:      unitBytesPerSecond,
		Terms:     []Term{Line("board-bytes-by-routers-at-1-change", Routers)},
		Mechanism: "records of fixed length", Packages: []string{"internal/discovery"},
	},
	{
		Role: "engine", Subject: "attempts at engines that warm up, over all, 430 machines restarted in 15 s",
		Unit: unitShare, Terms: []Term{Simulated(dayMachinesRestarted, "sends_to_cold_share")},
		Mechanism: "slow-start shares that sum to the limit", Packages: slowStartPackages,
	},
	{
		Role: "engine", Subject: "the most attempts at an engine that warms up, over its slow-start limit",
		Unit: unitShare, Budget: 1, Terms: []Term{Simulated(dayMachinesRestarted, "most_to_cold_of_what_it_may")},
		Mechanism: "slow-start shares that sum to the limit", Packages: slowStartPackages,
	},
	{
		Role: "operator", Subject: "share of value served, 430 machines restarted and replaced in 15 s",
		Unit: unitShare, Terms: []Term{Simulated(dayMachinesRestarted, "served")},
		Mechanism: "draining, slow start, rerouted queries",
		Packages:  []string{"dispatch", "internal/decide/slowstart"},
	},
	{
		Role: "operator", Subject: "share of value served, 430 routers restarted in 15 s without hot restart",
		Unit: unitShare, Terms: []Term{Simulated(dayRoutersRestarted, "served")},
		Mechanism: "only the state in the endpoint list", Packages: []string{"dispatch"},
	},
}
