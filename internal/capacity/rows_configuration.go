package capacity

// timeInForce returns the time in seconds until the last router had a revision in force, in a phase of
// dayConfiguration.
func timeInForce(phase string) []Term {
	return []Term{Simulated(dayConfiguration, phase+", last ms").Times(secondsPerMillisecond)}
}

// configurationBurstRows are the rows for a burst of configuration changes.
var configurationBurstRows = []Row{
	{
		Role: "router", Subject: "processor time for control at 20 changes a second, a complete file for each",
		Unit: unitPercent, Budget: RouterPercent,
		Terms:     []Term{Line("router-cpu-by-reloads", burstChangesPerSecond)},
		Mechanism: "files and signals, as without keepers", Packages: []string{"internal/settings", "internal/node"},
	},
	{
		Role: "router", Subject: "bytes for control at 20 changes a second, a complete file for each",
		Unit: unitBytesPerSecond, Budget: RouterBytesPerSecond,
		Terms:     []Term{Line("configuration-bytes-by-tenants", Tenants).Times(burstChangesPerSecond)},
		Mechanism: "files and signals, as without keepers", Packages: []string{"internal/settings", "internal/node"},
	},
	{
		Role: "router", Subject: "processor time for control, two reloads a second of a complete file",
		Unit: unitPercent, Budget: RouterPercent,
		Terms:     []Term{Line("router-cpu-by-reloads", maxReloadsPerSecond)},
		Mechanism: "at least 500 ms between calls that bring changes", Packages: configurationPackages,
	},
	{
		Role:    "router",
		Subject: "processor time for control at 20 changes a second, configuration by revision, two reloads a second",
		Unit:    unitPercent, Budget: RouterPercent,
		Terms:     []Term{Line("router-cpu-by-configuration-changes", maxReloadsPerSecond)},
		Mechanism: "at least 500 ms between calls that bring changes", Packages: configurationPackages,
	},
	{
		Role: "router", Subject: "bytes for control at 20 changes a second of one entry, configuration by revision",
		Unit: unitBytesPerSecond, Budget: RouterBytesPerSecond,
		Terms: []Term{
			Line("router-bytes-by-engines", Engines), Line("follower-bytes-by-routers-in-a-burst", Routers),
		},
		Mechanism: "deltas: only the last value of an entry", Packages: configurationPackages,
	},
	{
		Role:    "router",
		Subject: "bytes for control at 20 changes a second of as many entries, configuration by revision",
		Unit:    unitBytesPerSecond, Budget: RouterBytesPerSecond,
		Terms: []Term{
			Line("router-bytes-by-engines", Engines), Line("follower-bytes-by-routers-in-a-burst", Routers),
			Rise("whole-configuration-bytes-by-entries", burstChangesPerSecond-maxReloadsPerSecond),
		},
		Mechanism: "deltas; each entry is sent", Packages: configurationPackages,
	},
	{
		Role:    "control machine",
		Subject: "the busiest keeper's processor time at 20 changes a second, 600 followers over 5", Unit: unitPercent,
		Terms:     []Term{Line("keeper-cpu-by-routers-in-a-burst", Routers)},
		Mechanism: "one log entry per change, one fsync for several", Packages: keeperPackages,
	},
	{
		Role: "control machine", Subject: "a keeper's bytes at 20 changes a second, 600 followers over 5",
		Unit: unitBytesPerSecond, Terms: []Term{Line("keeper-bytes-by-routers-in-a-burst", Routers)},
		Mechanism: "deltas to followers, entries to keepers", Packages: keeperPackages,
	},
	{
		Role: "router", Subject: "processor time in that day's burst, the busiest of its real routers",
		Unit: unitPercent, Budget: RouterPercent,
		Terms:     []Term{Simulated(dayConfiguration, "a burst, busiest router, % of a core")},
		Mechanism: "prepared outside the loop, applied in it", Packages: configurationPackages,
	},
	{
		Role: "router", Subject: "memory in that day's burst, the most of its real routers", Unit: unitMB,
		Budget: RouterMB, Terms: []Term{Simulated(dayConfiguration, "a burst, busiest router, MB")},
		Mechanism: "the content in force without history", Packages: configurationPackages,
	},
	{
		Role: "control machine", Subject: "processor time in that day's burst, the busiest keeper", Unit: unitPercent,
		Terms:     []Term{Simulated(dayConfiguration, "a burst, busiest keeper, % of a core")},
		Mechanism: "one log entry per change", Packages: keeperPackages,
	},
	{
		Role:    "operator",
		Subject: "from the call to in force at the last of 600 routers, the slowest of 40 changes one by one",
		Unit:    unitSeconds, Budget: InForceSeconds,
		Terms:     []Term{Line("in-force-worst-ms-by-routers", Routers).Times(secondsPerMillisecond)},
		Mechanism: "long polls that are answered at once", Packages: keeperPackages,
	},
	{
		Role: "operator", Subject: "from the call to in force at the last router, burst", Unit: unitSeconds,
		Budget: InForceSeconds, Terms: timeInForce("a burst"),
		Mechanism: "at least 500 ms between calls that bring changes", Packages: keeperPackages,
	},
	{
		Role: "operator", Subject: "from the call to in force at the last router, burst, the leader killed",
		Unit: unitSeconds, Budget: InForceSeconds, Terms: timeInForce("a burst, the leader killed halfway"),
		Mechanism: "another leader within a second; retries with an idempotency key", Packages: keeperPackages,
	},
}
