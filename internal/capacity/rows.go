package capacity

import "slices"

// The size to design for, within two years.
const (
	Routers             = 600
	Engines             = 1200
	Zones               = 6
	Regions             = 2
	ControlMachines     = 5
	Sessions            = 2000 // of a router: 1.2 million connections over 600
	StatementsPerSecond = 450  // a second of a router: 270,000 over 600
	Tenants             = 1000
	ChangesPerDay       = 1500 // of configuration
	FailuresPerDay      = 3    // machines on an ordinary day
	RestartsPerDay      = 430  // machines on an ordinary day, restarted or replaced
)

// The budgets.
const (
	RouterPercent        = 2.1  // of a core, for control
	RouterMB             = 128  // for control
	RouterBytesPerSecond = 2000 // a second, for control
	PrimarySeconds       = 9    // a change of primary
	InForceSeconds       = 7    // a change of configuration
)

const (
	secondsPerDay          = 86400.0 // seconds
	changesPerSecond       = ChangesPerDay / secondsPerDay
	burstChangesPerSecond  = 20.0 // changes of configuration
	maxReloadsPerSecond    = 2.0  // at most, by a follower's least gap of 500 ms
	percentPerMillisecond  = 0.1  // of a core, of a millisecond in one second
	totalMachines          = Routers + Engines
	replacedEnginesPerDay  = RestartsPerDay * Engines / totalMachines
	restartedRoutersPerDay = RestartsPerDay - replacedEnginesPerDay
	eventsPerReplacement   = 3 // list changes of an engine that is replaced: draining, gone, another
	zoneEngines            = Engines / Zones
	zoneRouters            = Routers / Zones
	regionRouters          = Routers / Regions
	// rackEngines and rackRouters are a rack of fifty in the fleet.
	rackEngines = Engines / 50
	rackRouters = Routers / 50
	// eventsPerSecond is list changes a second on the ordinary day: of engines that are replaced, and of those that fail, which go and come.
	eventsPerSecond = (replacedEnginesPerDay*eventsPerReplacement + FailuresPerDay*2) / secondsPerDay
)

const (
	unitMB             = "MB"
	unitBytes          = "bytes"
	unitBytesPerSecond = "bytes a second"
	unitPercent        = "% of a core"
	unitSeconds        = "s"
	unitShare          = "of 1"
	unitMillis         = "ms"
)

var (
	discoveryPackages     = []string{"internal/discovery", "dispatch"}
	configurationPackages = []string{"internal/decide/configlog", "internal/configclient"}
	keeperPackages        = []string{"internal/decide/configlog", "internal/keeper"}
	sessionPackages       = []string{"internal/mysql", "internal/netio"}
	slowStartPackages     = []string{"internal/decide/slowstart", "dispatch"}
	backoffPackages       = []string{"internal/decide/backoff", "dispatch"}
)

// revisionDay is the day on which configuration by revision reaches a fleet of real and hollow routers.
const revisionDay = "configuration by revision"

// inForce is how long it took until the last router had a revision in force.
func inForce(while string) []Term {
	return []Term{Simulated(revisionDay, while+", last ms").Times(0.001)}
}

// Scenarios are the tables of docs/CAPACITY.md.
func Scenarios() []Scenario {
	return slices.Concat(sizeRows(), quietRows(), troubleRows())
}

func sizeRows() []Scenario {
	return []Scenario{{"state", []Row{
		{
			Role: "router", Subject: "memory for control: 1,200 engines, 1,000 tenants, no clients", Unit: unitMB, Budget: RouterMB,
			Terms:     []Term{Line("router-memory-by-engines", Engines), Rise("router-memory-by-tenants", Tenants)},
			Mechanism: "one list of engines and one table of tenants, kept by one loop", Packages: []string{"dispatch", "internal/router"},
		},
		{
			Role: "router", Subject: "memory for control with configuration by revision", Unit: unitMB, Budget: RouterMB,
			Terms:     []Term{Line("router-memory-by-configuration-changes", changesPerSecond)},
			Mechanism: "the content in force and no past", Packages: configurationPackages,
		},
		{
			Role: "router", Subject: "memory of 2,000 sessions at rest", Unit: unitMB, Terms: []Term{Rise("router-memory-by-sessions-at-rest", Sessions)},
			Mechanism: "buffers by need, bounded in sum", Packages: sessionPackages,
		},
		{
			Role: "router", Subject: "processor time of 2,000 sessions at rest", Unit: unitPercent, Terms: []Term{Rise("router-cpu-by-sessions-at-rest", Sessions)},
			Mechanism: "one poller for all, idle sessions closed by one timer each", Packages: sessionPackages,
		},
		{
			Role: "router", Subject: "processor time in all at 450 statements a second, 64 sessions", Unit: unitPercent, Terms: []Term{Line("router-cpu-by-statements", StatementsPerSecond)},
			Mechanism: "a decision that costs the same at any size of the fleet", Packages: []string{"dispatch", "internal/router"},
		},
		{
			Role: "router", Subject: "processor time in all of 2,000 busy sessions, 450 statements a second", Unit: unitPercent, Terms: []Term{Line("router-cpu-by-busy-sessions", Sessions)},
			Mechanism: "one poller, one loop", Packages: []string{"internal/netio", "internal/router"},
		},
		{
			Role: "router", Subject: "memory in all of 2,000 busy sessions, 450 statements a second", Unit: unitMB, Terms: []Term{Line("router-memory-by-busy-sessions", Sessions)},
			Mechanism: "buffers by need, bounded in sum", Packages: sessionPackages,
		},
		{
			Role: "router", Subject: "bytes of 450 statements a second, clients' and engines' links", Unit: unitBytesPerSecond, Terms: []Term{Line("router-bytes-by-statements", StatementsPerSecond)},
			Mechanism: "one POST and its pages on one connection", Packages: []string{"internal/enginehttp", "internal/mysql"},
		},
		{
			Role: "router", Subject: "a whole list of 1,200 engines", Unit: unitBytes, Terms: []Term{Line("list-wire-bytes-by-engines", Engines)},
			Mechanism: "records of fixed length, changes alone from then on", Packages: discoveryPackages,
		},
		{
			Role: "router", Subject: "a whole configuration of 1,000 tenants as a file", Unit: unitBytes, Terms: []Term{Line("configuration-bytes-by-tenants", Tenants)},
			Mechanism: "read at the start and on SIGHUP; by revision only what changed", Packages: []string{"internal/settings", "internal/node"},
		},
		{
			Role: "board", Subject: "links held", Terms: []Term{Given(Routers, "one of each router")},
			Mechanism: "one follower in a router, which comes back with its last event", Packages: []string{"internal/discovery"},
		},
		{
			Role: "board", Subject: "memory, our stand-in of one", Unit: unitMB, Terms: []Term{Line("board-memory-by-routers", Routers)},
			Mechanism: "one frame for all followers", Packages: []string{"internal/discovery"},
		},
		{
			Role: "control machine", Subject: "machines used", Budget: ControlMachines, Terms: []Term{Given(ControlMachines, "a keeper on each")},
			Mechanism: "replicated log, any keeper serves", Packages: keeperPackages,
		},
		{
			Role: "control machine", Subject: "a keeper's memory, 600 followers over 5, 1,000 tenants as entries", Unit: unitMB, Terms: []Term{Line("keeper-memory-by-routers", Routers), Rise("keeper-memory-by-entries", Tenants)},
			Mechanism: "the content once, the past bounded in revisions and bytes, a lease a follower", Packages: keeperPackages,
		},
		{
			Role: "engine", Subject: "statements a second of all engines in the days played, of 270,000", Terms: []Term{Simulated("calm", "statements_per_second")},
			Mechanism: "the fleet's world of the module's tests", Packages: []string{"dispatch"},
		},
		{
			Role: "engine", Subject: "statements a second, mean", Terms: []Term{Given(Routers*StatementsPerSecond/Engines, "270,000 over 1,200")},
			Mechanism: "near sets dealt out evenly", Packages: slowStartPackages,
		},
		{
			Role: "engine", Subject: "statements a second, the most loaded", Terms: []Term{Simulated("calm", "calm: most over mean").Times(Routers * StatementsPerSecond / Engines)},
			Mechanism: "the better of two of a near set", Packages: []string{"dispatch"},
		},
		{
			Role: "engine", Subject: "routers near it, mean", Terms: []Term{Simulated("near sets", "0% dead: routers near an engine")},
			Mechanism: "a near set of as many engines as a router may run widest queries", Packages: slowStartPackages,
		},
		{
			Role: "engine", Subject: "routers near the most used, over the mean", Terms: []Term{Simulated("near sets", "0% dead: most over mean")},
			Mechanism: "near sets dealt out evenly", Packages: slowStartPackages,
		},
		{
			Role: "operator", Subject: "calls for a change, with its wait until it is in force", Terms: []Term{Given(2, "one change, one wait")},
			Mechanism: "HTTP calls of any keeper", Packages: keeperPackages,
		},
	}}}
}

func quietRows() []Scenario {
	return []Scenario{{"quiet hour", []Row{
		{
			Role: "router", Subject: "processor time for control, files and signals", Unit: unitPercent, Budget: RouterPercent,
			Terms:     []Term{Line("router-cpu-by-engines", Engines), Rise("router-cpu-by-reloads", changesPerSecond)},
			Mechanism: "a loop that sleeps until something is due", Packages: []string{"internal/router", "internal/node"},
		},
		{
			Role: "router", Subject: "processor time for control, configuration by revision", Unit: unitPercent, Budget: RouterPercent,
			Terms:     []Term{Line("router-cpu-by-configuration-changes", changesPerSecond)},
			Mechanism: "one long poll in 2 s", Packages: configurationPackages,
		},
		{
			Role: "router", Subject: "bytes for control, link to the board", Unit: unitBytesPerSecond, Budget: RouterBytesPerSecond,
			Terms:     []Term{Line("router-bytes-by-engines", Engines)},
			Mechanism: "a beat a second and no lists", Packages: discoveryPackages,
		},
		{
			Role: "router", Subject: "bytes for control, a whole file to each router for each change", Unit: unitBytesPerSecond, Budget: RouterBytesPerSecond,
			Terms:     []Term{Line("router-bytes-by-engines", Engines), Line("configuration-bytes-by-tenants", Tenants).Times(changesPerSecond)},
			Mechanism: "files and signals, as without keepers", Packages: []string{"internal/settings", "internal/node"},
		},
		{
			Role: "router", Subject: "bytes for control, with configuration by revision", Unit: unitBytesPerSecond, Budget: RouterBytesPerSecond,
			Terms:     []Term{Line("router-bytes-by-engines", Engines), Line("follower-bytes-by-routers", Routers), Rise("follower-bytes-by-changes", changesPerSecond)},
			Mechanism: "one long poll in 2 s, deltas alone", Packages: configurationPackages,
		},
		{
			Role: "board", Subject: "processor time, our stand-in of one", Unit: unitPercent, Terms: []Term{Line("board-cpu-by-routers", Routers)},
			Mechanism: "one frame for all followers", Packages: []string{"internal/discovery"},
		},
		{
			Role: "board", Subject: "bytes of 600 links", Unit: unitBytesPerSecond, Terms: []Term{Line("board-bytes-by-routers", Routers)},
			Mechanism: "a beat a second", Packages: []string{"internal/discovery"},
		},
		{
			Role: "control machine", Subject: "the busiest keeper's processor time, 600 followers over 5", Unit: unitPercent, Terms: []Term{Line("keeper-cpu-by-routers", Routers)},
			Mechanism: "long polls, answered from memory", Packages: keeperPackages,
		},
		{
			Role: "control machine", Subject: "a keeper's bytes, 600 followers over 5", Unit: unitBytesPerSecond, Terms: []Term{Line("keeper-bytes-by-routers", Routers)},
			Mechanism: "long polls, answered when there is news or after 2 s", Packages: keeperPackages,
		},
		{
			Role: "operator", Subject: "changes in the hour", Terms: []Term{Given(ChangesPerDay/24.0, "1,500 a day over 24")},
			Mechanism: "HTTP calls of any keeper", Packages: keeperPackages,
		},
	}}, {"ordinary day", []Row{
		{
			Role: "router", Subject: "processor time for control, files and signals", Unit: unitPercent, Budget: RouterPercent,
			Terms:     []Term{Line("router-cpu-by-engines", Engines), Rise("router-cpu-by-list-changes", eventsPerSecond), Rise("router-cpu-by-reloads", changesPerSecond)},
			Mechanism: "changes of the list, not lists", Packages: discoveryPackages,
		},
		{
			Role: "router", Subject: "bytes for control, link to the board", Unit: unitBytesPerSecond, Budget: RouterBytesPerSecond,
			Terms:     []Term{Line("router-bytes-by-list-changes", eventsPerSecond)},
			Mechanism: "changes of the list, not lists", Packages: discoveryPackages,
		},
		{
			Role: "router", Subject: "a restart: time to ready", Unit: unitMillis, Terms: []Term{Line("restart-ready-by-engines", Engines)},
			Mechanism: "the whole list from the board in one frame", Packages: []string{"internal/discovery", "internal/node"},
		},
		{
			Role: "router", Subject: "a restart: processor time", Unit: unitMillis, Terms: []Term{Line("restart-cpu-by-engines", Engines)},
			Mechanism: "files read once, the table of descriptors grown once", Packages: []string{"internal/node", "internal/descriptors"},
		},
		{
			Role: "router", Subject: "a restart: bytes", Unit: unitBytes, Terms: []Term{Line("restart-bytes-by-engines", Engines)},
			Mechanism: "the whole list from the board in one frame", Packages: []string{"internal/discovery"},
		},
		{
			Role: "router", Subject: "a restart: processor time of 2,000 clients that come back", Unit: unitMillis, Terms: []Term{Line("return-cpu-by-clients", Sessions)},
			Mechanism: "bounded accepts, one poller", Packages: sessionPackages,
		},
		{
			Role: "router", Subject: "a restart: until the last of 2,000 clients is served", Unit: unitMillis, Terms: []Term{Line("return-time-by-clients", Sessions)},
			Mechanism: "bounded accepts, one poller", Packages: sessionPackages,
		},
		{
			Role: "board", Subject: "bytes of whole lists to routers that restart, mean of the day", Unit: unitBytesPerSecond,
			Terms:     []Term{Line("list-wire-bytes-by-engines", Engines).Times(restartedRoutersPerDay / secondsPerDay)},
			Mechanism: "the whole list in one frame, by the follower's last event", Packages: []string{"internal/discovery"},
		},
		{
			Role: "control machine", Subject: "bytes of whole configurations to routers that restart, mean of the day", Unit: unitBytesPerSecond,
			Terms:     []Term{Line("whole-configuration-bytes-by-entries", Tenants).Times(restartedRoutersPerDay / secondsPerDay)},
			Mechanism: "a copy on the follower's disk, a delta from there; a snapshot without one", Packages: keeperPackages,
		},
		{
			Role: "board", Subject: "processor time at a change a second, a hundred times the day's mean", Unit: unitPercent, Terms: []Term{Line("board-cpu-by-routers-at-1-change", Routers)},
			Mechanism: "one frame for all followers", Packages: []string{"internal/discovery"},
		},
		{
			Role: "board", Subject: "bytes at a change a second, a hundred times the day's mean", Unit: unitBytesPerSecond, Terms: []Term{Line("board-bytes-by-routers-at-1-change", Routers)},
			Mechanism: "records of fixed length", Packages: []string{"internal/discovery"},
		},
		{
			Role: "engine", Subject: "sends to cold ones, over all of a day of 430 in 15 s", Unit: unitShare, Terms: []Term{Simulated("machines restarted and replaced in a row", "sends_to_cold_share")},
			Mechanism: "rations that add up", Packages: slowStartPackages,
		},
		{
			Role: "engine", Subject: "the most sent to a cold one, over what it may be sent", Unit: unitShare, Budget: 1, Terms: []Term{Simulated("machines restarted and replaced in a row", "most_to_cold_of_what_it_may")},
			Mechanism: "rations that add up", Packages: slowStartPackages,
		},
		{
			Role: "operator", Subject: "share of worth served, 430 machines restarted and replaced in 15 s", Unit: unitShare, Terms: []Term{Simulated("machines restarted and replaced in a row", "served")},
			Mechanism: "drains, rations, queries that go elsewhere", Packages: []string{"dispatch", "internal/decide/slowstart"},
		},
		{
			Role: "operator", Subject: "share of worth served, 430 routers restarted in 15 s, nothing handed over", Unit: unitShare, Terms: []Term{Simulated("gateways restarted in a row", "served")},
			Mechanism: "nothing is known that the list does not say", Packages: []string{"dispatch"},
		},
	}}, {"burst of changes", []Row{
		{
			Role: "router", Subject: "processor time for control at 20 changes a second, a whole file for each", Unit: unitPercent, Budget: RouterPercent,
			Terms:     []Term{Line("router-cpu-by-reloads", burstChangesPerSecond)},
			Mechanism: "files and signals, as without keepers", Packages: []string{"internal/settings", "internal/node"},
		},
		{
			Role: "router", Subject: "bytes for control at 20 changes a second, a whole file for each", Unit: unitBytesPerSecond, Budget: RouterBytesPerSecond,
			Terms:     []Term{Line("configuration-bytes-by-tenants", Tenants).Times(burstChangesPerSecond)},
			Mechanism: "files and signals, as without keepers", Packages: []string{"internal/settings", "internal/node"},
		},
		{
			Role: "router", Subject: "processor time for control, two reloads a second of a whole file", Unit: unitPercent, Budget: RouterPercent,
			Terms:     []Term{Line("router-cpu-by-reloads", maxReloadsPerSecond)},
			Mechanism: "a least gap of 500 ms between calls that bring changes", Packages: configurationPackages,
		},
		{
			Role: "router", Subject: "processor time for control at 20 changes a second, configuration by revision, two reloads a second", Unit: unitPercent, Budget: RouterPercent,
			Terms:     []Term{Line("router-cpu-by-configuration-changes", maxReloadsPerSecond)},
			Mechanism: "a least gap of 500 ms between calls that bring changes", Packages: configurationPackages,
		},
		{
			Role: "router", Subject: "bytes for control at 20 changes a second of one entry, configuration by revision", Unit: unitBytesPerSecond, Budget: RouterBytesPerSecond,
			Terms:     []Term{Line("router-bytes-by-engines", Engines), Line("follower-bytes-by-routers-in-a-burst", Routers)},
			Mechanism: "deltas: the last value of an entry that changed twice", Packages: configurationPackages,
		},
		{
			Role: "router", Subject: "bytes for control at 20 changes a second of as many entries, configuration by revision", Unit: unitBytesPerSecond, Budget: RouterBytesPerSecond,
			Terms:     []Term{Line("router-bytes-by-engines", Engines), Line("follower-bytes-by-routers-in-a-burst", Routers), Rise("whole-configuration-bytes-by-entries", burstChangesPerSecond-maxReloadsPerSecond)},
			Mechanism: "deltas; each entry has to get there", Packages: configurationPackages,
		},
		{
			Role: "control machine", Subject: "the busiest keeper's processor time at 20 changes a second, 600 followers over 5", Unit: unitPercent, Terms: []Term{Line("keeper-cpu-by-routers-in-a-burst", Routers)},
			Mechanism: "one entry of the log a change, one fsync for several", Packages: keeperPackages,
		},
		{
			Role: "control machine", Subject: "a keeper's bytes at 20 changes a second, 600 followers over 5", Unit: unitBytesPerSecond, Terms: []Term{Line("keeper-bytes-by-routers-in-a-burst", Routers)},
			Mechanism: "deltas to followers, entries to keepers", Packages: keeperPackages,
		},
		{
			Role: "router", Subject: "processor time in that day's burst, the busiest of its real routers", Unit: unitPercent, Budget: RouterPercent, Terms: []Term{Simulated(revisionDay, "a burst, busiest router, % of a core")},
			Mechanism: "prepared beside the loop, put in force in it", Packages: configurationPackages,
		},
		{
			Role: "router", Subject: "memory in that day's burst, the most of its real routers", Unit: unitMB, Budget: RouterMB, Terms: []Term{Simulated(revisionDay, "a burst, busiest router, MB")},
			Mechanism: "the content in force and no past", Packages: configurationPackages,
		},
		{
			Role: "control machine", Subject: "processor time in that day's burst, the busiest keeper", Unit: unitPercent, Terms: []Term{Simulated(revisionDay, "a burst, busiest keeper, % of a core")},
			Mechanism: "one entry of the log a change", Packages: keeperPackages,
		},
		{
			Role: "operator", Subject: "from the call to in force at the last of 600 routers, the slowest of 40 changes one by one", Unit: unitSeconds, Budget: InForceSeconds, Terms: []Term{Line("in-force-worst-ms-by-routers", Routers).Times(0.001)},
			Mechanism: "long polls that are answered at once", Packages: keeperPackages,
		},
		{
			Role: "operator", Subject: "from the call to in force at the last router, burst", Unit: unitSeconds, Budget: InForceSeconds, Terms: inForce("a burst"),
			Mechanism: "a least gap of 500 ms between calls that bring changes", Packages: keeperPackages,
		},
		{
			Role: "operator", Subject: "from the call to in force at the last router, burst, the leader killed", Unit: unitSeconds, Budget: InForceSeconds, Terms: inForce("a burst, the leader killed halfway"),
			Mechanism: "another leader within a second; calls are made again with their id", Packages: keeperPackages,
		},
	}}}
}
