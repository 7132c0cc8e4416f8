package capacity

import "slices"

// The size to design for, within two years.
const (
	Routers         = 600
	Engines         = 1200
	Zones           = 6
	Regions         = 2
	ControlMachines = 5
	Sessions        = 2000 // of a router: 1.2 million connections over 600
	Statements      = 450  // a second of a router: 270,000 over 600
	Tenants         = 1000
	ChangesADay     = 1500 // of configuration
	Failures        = 3    // machines on an ordinary day
	Restarts        = 430  // machines on an ordinary day, restarted or replaced
)

// The budgets.
const (
	RouterPercent  = 2.1  // of a core, for control
	RouterMB       = 128  // for control
	RouterBytes    = 2000 // a second, for control
	PrimarySeconds = 9    // a change of primary
	InForceSeconds = 7    // a change of configuration
)

const (
	day           = 86400.0 // seconds
	changesASec   = ChangesADay / day
	burstASec     = 20.0 // changes of configuration
	reloadsASec   = 2.0  // at most, by a follower's least gap of 500 ms
	msAsPercent   = 0.1  // of a core, of a millisecond in one second
	machines      = Routers + Engines
	enginesADay   = Restarts * Engines / machines
	routersADay   = Restarts - enginesADay
	newsOfAnother = 3 // list changes of an engine that is replaced: draining, gone, another
	zoneEngines   = Engines / Zones
	zoneRouters   = Routers / Zones
	regionRouters = Routers / Regions
	// rackEngines and rackRouters are a rack of fifty in the fleet.
	rackEngines = Engines / 50
	rackRouters = Routers / 50
	// newsASec is list changes a second on the ordinary day: of engines that are replaced, and of those that fail, which go and come.
	newsASec = (enginesADay*newsOfAnother + Failures*2) / day
)

const (
	inMB        = "MB"
	inBytes     = "bytes"
	inBytesASec = "bytes a second"
	inPercent   = "% of a core"
	inSeconds   = "s"
	inShare     = "of 1"
	inMillis    = "ms"
)

var (
	onList     = []string{"internal/discovery", "dispatch"}
	onConfig   = []string{"internal/decide/configlog", "internal/configclient"}
	byKeepers  = []string{"internal/decide/configlog", "internal/keeper"}
	onSessions = []string{"internal/mysql", "internal/netio"}
	onRations  = []string{"internal/decide/slowstart", "dispatch"}
	onRests    = []string{"internal/decide/backoff", "dispatch"}
)

// revisions is the day on which configuration by revision reaches a fleet of real and hollow routers.
const revisions = "configuration by revision"

// inForce is how long it took until the last router had a revision in force.
func inForce(while string) []Term { return []Term{Played(revisions, while+", last ms").By(0.001)} }

// Scenarios are the tables of docs/CAPACITY.md.
func Scenarios() []Scenario {
	return slices.Concat(sizeRows(), quietRows(), troubleRows())
}

func sizeRows() []Scenario {
	return []Scenario{{"state", []Row{
		{
			Role: "router", What: "memory for control: 1,200 engines, 1,000 tenants, no clients", Unit: inMB, Budget: RouterMB,
			Terms:     []Term{Line("router-memory-by-engines", Engines), Rise("router-memory-by-tenants", Tenants)},
			Mechanism: "one list of engines and one table of tenants, kept by one loop", Packages: []string{"dispatch", "internal/router"},
		},
		{
			Role: "router", What: "memory for control with configuration by revision", Unit: inMB, Budget: RouterMB,
			Terms:     []Term{Line("router-memory-by-configuration-changes", changesASec)},
			Mechanism: "the content in force and no past", Packages: onConfig,
		},
		{
			Role: "router", What: "memory of 2,000 sessions at rest", Unit: inMB, Terms: []Term{Rise("router-memory-by-sessions-at-rest", Sessions)},
			Mechanism: "buffers by need, bounded in sum", Packages: onSessions,
		},
		{
			Role: "router", What: "processor time of 2,000 sessions at rest", Unit: inPercent, Terms: []Term{Rise("router-cpu-by-sessions-at-rest", Sessions)},
			Mechanism: "one poller for all, idle sessions closed by one timer each", Packages: onSessions,
		},
		{
			Role: "router", What: "processor time in all at 450 statements a second, 64 sessions", Unit: inPercent, Terms: []Term{Line("router-cpu-by-statements", Statements)},
			Mechanism: "a decision that costs the same at any size of the fleet", Packages: []string{"dispatch", "internal/router"},
		},
		{
			Role: "router", What: "processor time in all of 2,000 busy sessions, 450 statements a second", Unit: inPercent, Terms: []Term{Line("router-cpu-by-busy-sessions", Sessions)},
			Mechanism: "one poller, one loop", Packages: []string{"internal/netio", "internal/router"},
		},
		{
			Role: "router", What: "memory in all of 2,000 busy sessions, 450 statements a second", Unit: inMB, Terms: []Term{Line("router-memory-by-busy-sessions", Sessions)},
			Mechanism: "buffers by need, bounded in sum", Packages: onSessions,
		},
		{
			Role: "router", What: "bytes of 450 statements a second, clients' and engines' links", Unit: inBytesASec, Terms: []Term{Line("router-bytes-by-statements", Statements)},
			Mechanism: "one POST and its pages on one connection", Packages: []string{"internal/enginehttp", "internal/mysql"},
		},
		{
			Role: "router", What: "a whole list of 1,200 engines", Unit: inBytes, Terms: []Term{Line("list-wire-bytes-by-engines", Engines)},
			Mechanism: "records of fixed length, changes alone from then on", Packages: onList,
		},
		{
			Role: "router", What: "a whole configuration of 1,000 tenants as a file", Unit: inBytes, Terms: []Term{Line("configuration-bytes-by-tenants", Tenants)},
			Mechanism: "read at the start and on SIGHUP; by revision only what changed", Packages: []string{"internal/settings", "internal/node"},
		},
		{
			Role: "board", What: "links held", Terms: []Term{Given(Routers, "one of each router")},
			Mechanism: "one follower in a router, which comes back with its last event", Packages: []string{"internal/discovery"},
		},
		{
			Role: "board", What: "memory, our stand-in of one", Unit: inMB, Terms: []Term{Line("board-memory-by-routers", Routers)},
			Mechanism: "one frame for all followers", Packages: []string{"internal/discovery"},
		},
		{
			Role: "control machine", What: "machines used", Budget: ControlMachines, Terms: []Term{Given(ControlMachines, "a keeper on each")},
			Mechanism: "replicated log, any keeper serves", Packages: byKeepers,
		},
		{
			Role: "control machine", What: "a keeper's memory, 600 followers over 5, 1,000 tenants as entries", Unit: inMB, Terms: []Term{Line("keeper-memory-by-routers", Routers), Rise("keeper-memory-by-entries", Tenants)},
			Mechanism: "the content once, the past bounded in revisions and bytes, a lease a follower", Packages: byKeepers,
		},
		{
			Role: "engine", What: "statements a second of all engines in the days played, of 270,000", Terms: []Term{Played("calm", "statements_per_second")},
			Mechanism: "the fleet's world of the module's tests", Packages: []string{"dispatch"},
		},
		{
			Role: "engine", What: "statements a second, mean", Terms: []Term{Given(Routers*Statements/Engines, "270,000 over 1,200")},
			Mechanism: "near sets dealt out evenly", Packages: onRations,
		},
		{
			Role: "engine", What: "statements a second, the most loaded", Terms: []Term{Played("calm", "calm: most over mean").By(Routers * Statements / Engines)},
			Mechanism: "the better of two of a near set", Packages: []string{"dispatch"},
		},
		{
			Role: "engine", What: "routers near it, mean", Terms: []Term{Played("near sets", "0% dead: routers near an engine")},
			Mechanism: "a near set of as many engines as a router may run widest queries", Packages: onRations,
		},
		{
			Role: "engine", What: "routers near the most used, over the mean", Terms: []Term{Played("near sets", "0% dead: most over mean")},
			Mechanism: "near sets dealt out evenly", Packages: onRations,
		},
		{
			Role: "operator", What: "calls for a change, with its wait until it is in force", Terms: []Term{Given(2, "one change, one wait")},
			Mechanism: "HTTP calls of any keeper", Packages: byKeepers,
		},
	}}}
}

func quietRows() []Scenario {
	return []Scenario{{"quiet hour", []Row{
		{
			Role: "router", What: "processor time for control, files and signals", Unit: inPercent, Budget: RouterPercent,
			Terms:     []Term{Line("router-cpu-by-engines", Engines), Rise("router-cpu-by-reloads", changesASec)},
			Mechanism: "a loop that sleeps until something is due", Packages: []string{"internal/router", "internal/node"},
		},
		{
			Role: "router", What: "processor time for control, configuration by revision", Unit: inPercent, Budget: RouterPercent,
			Terms:     []Term{Line("router-cpu-by-configuration-changes", changesASec)},
			Mechanism: "one long poll in 2 s", Packages: onConfig,
		},
		{
			Role: "router", What: "bytes for control, link to the board", Unit: inBytesASec, Budget: RouterBytes,
			Terms:     []Term{Line("router-bytes-by-engines", Engines)},
			Mechanism: "a beat a second and no lists", Packages: onList,
		},
		{
			Role: "router", What: "bytes for control, a whole file to each router for each change", Unit: inBytesASec, Budget: RouterBytes,
			Terms:     []Term{Line("router-bytes-by-engines", Engines), Line("configuration-bytes-by-tenants", Tenants).By(changesASec)},
			Mechanism: "files and signals, as without keepers", Packages: []string{"internal/settings", "internal/node"},
		},
		{
			Role: "router", What: "bytes for control, with configuration by revision", Unit: inBytesASec, Budget: RouterBytes,
			Terms:     []Term{Line("router-bytes-by-engines", Engines), Line("follower-bytes-by-routers", Routers), Rise("follower-bytes-by-changes", changesASec)},
			Mechanism: "one long poll in 2 s, deltas alone", Packages: onConfig,
		},
		{
			Role: "board", What: "processor time, our stand-in of one", Unit: inPercent, Terms: []Term{Line("board-cpu-by-routers", Routers)},
			Mechanism: "one frame for all followers", Packages: []string{"internal/discovery"},
		},
		{
			Role: "board", What: "bytes of 600 links", Unit: inBytesASec, Terms: []Term{Line("board-bytes-by-routers", Routers)},
			Mechanism: "a beat a second", Packages: []string{"internal/discovery"},
		},
		{
			Role: "control machine", What: "the busiest keeper's processor time, 600 followers over 5", Unit: inPercent, Terms: []Term{Line("keeper-cpu-by-routers", Routers)},
			Mechanism: "long polls, answered from memory", Packages: byKeepers,
		},
		{
			Role: "control machine", What: "a keeper's bytes, 600 followers over 5", Unit: inBytesASec, Terms: []Term{Line("keeper-bytes-by-routers", Routers)},
			Mechanism: "long polls, answered when there is news or after 2 s", Packages: byKeepers,
		},
		{
			Role: "operator", What: "changes in the hour", Terms: []Term{Given(ChangesADay/24.0, "1,500 a day over 24")},
			Mechanism: "HTTP calls of any keeper", Packages: byKeepers,
		},
	}}, {"ordinary day", []Row{
		{
			Role: "router", What: "processor time for control, files and signals", Unit: inPercent, Budget: RouterPercent,
			Terms:     []Term{Line("router-cpu-by-engines", Engines), Rise("router-cpu-by-list-changes", newsASec), Rise("router-cpu-by-reloads", changesASec)},
			Mechanism: "changes of the list, not lists", Packages: onList,
		},
		{
			Role: "router", What: "bytes for control, link to the board", Unit: inBytesASec, Budget: RouterBytes,
			Terms:     []Term{Line("router-bytes-by-list-changes", newsASec)},
			Mechanism: "changes of the list, not lists", Packages: onList,
		},
		{
			Role: "router", What: "a restart: time to ready", Unit: inMillis, Terms: []Term{Line("restart-ready-by-engines", Engines)},
			Mechanism: "the whole list from the board in one frame", Packages: []string{"internal/discovery", "internal/node"},
		},
		{
			Role: "router", What: "a restart: processor time", Unit: inMillis, Terms: []Term{Line("restart-cpu-by-engines", Engines)},
			Mechanism: "files read once, the table of descriptors grown once", Packages: []string{"internal/node", "internal/descriptors"},
		},
		{
			Role: "router", What: "a restart: bytes", Unit: inBytes, Terms: []Term{Line("restart-bytes-by-engines", Engines)},
			Mechanism: "the whole list from the board in one frame", Packages: []string{"internal/discovery"},
		},
		{
			Role: "router", What: "a restart: processor time of 2,000 clients that come back", Unit: inMillis, Terms: []Term{Line("return-cpu-by-clients", Sessions)},
			Mechanism: "bounded accepts, one poller", Packages: onSessions,
		},
		{
			Role: "router", What: "a restart: until the last of 2,000 clients is served", Unit: inMillis, Terms: []Term{Line("return-time-by-clients", Sessions)},
			Mechanism: "bounded accepts, one poller", Packages: onSessions,
		},
		{
			Role: "board", What: "bytes of whole lists to routers that restart, mean of the day", Unit: inBytesASec,
			Terms:     []Term{Line("list-wire-bytes-by-engines", Engines).By(routersADay / day)},
			Mechanism: "the whole list in one frame, by the follower's last event", Packages: []string{"internal/discovery"},
		},
		{
			Role: "control machine", What: "bytes of whole configurations to routers that restart, mean of the day", Unit: inBytesASec,
			Terms:     []Term{Line("whole-configuration-bytes-by-entries", Tenants).By(routersADay / day)},
			Mechanism: "a copy on the follower's disk, a delta from there; a snapshot without one", Packages: byKeepers,
		},
		{
			Role: "board", What: "processor time at a change a second, a hundred times the day's mean", Unit: inPercent, Terms: []Term{Line("board-cpu-by-routers-at-1-change", Routers)},
			Mechanism: "one frame for all followers", Packages: []string{"internal/discovery"},
		},
		{
			Role: "board", What: "bytes at a change a second, a hundred times the day's mean", Unit: inBytesASec, Terms: []Term{Line("board-bytes-by-routers-at-1-change", Routers)},
			Mechanism: "records of fixed length", Packages: []string{"internal/discovery"},
		},
		{
			Role: "engine", What: "sends to cold ones, over all of a day of 430 in 15 s", Unit: inShare, Terms: []Term{Played("machines restarted and replaced in a row", "sends_to_cold_share")},
			Mechanism: "rations that add up", Packages: onRations,
		},
		{
			Role: "engine", What: "the most sent to a cold one, over what it may be sent", Unit: inShare, Budget: 1, Terms: []Term{Played("machines restarted and replaced in a row", "most_to_cold_of_what_it_may")},
			Mechanism: "rations that add up", Packages: onRations,
		},
		{
			Role: "operator", What: "share of worth served, 430 machines restarted and replaced in 15 s", Unit: inShare, Terms: []Term{Played("machines restarted and replaced in a row", "served")},
			Mechanism: "drains, rations, queries that go elsewhere", Packages: []string{"dispatch", "internal/decide/slowstart"},
		},
		{
			Role: "operator", What: "share of worth served, 430 routers restarted in 15 s, nothing handed over", Unit: inShare, Terms: []Term{Played("gateways restarted in a row", "served")},
			Mechanism: "nothing is known that the list does not say", Packages: []string{"dispatch"},
		},
	}}, {"burst of changes", []Row{
		{
			Role: "router", What: "processor time for control at 20 changes a second, a whole file for each", Unit: inPercent, Budget: RouterPercent,
			Terms:     []Term{Line("router-cpu-by-reloads", burstASec)},
			Mechanism: "files and signals, as without keepers", Packages: []string{"internal/settings", "internal/node"},
		},
		{
			Role: "router", What: "bytes for control at 20 changes a second, a whole file for each", Unit: inBytesASec, Budget: RouterBytes,
			Terms:     []Term{Line("configuration-bytes-by-tenants", Tenants).By(burstASec)},
			Mechanism: "files and signals, as without keepers", Packages: []string{"internal/settings", "internal/node"},
		},
		{
			Role: "router", What: "processor time for control, two reloads a second of a whole file", Unit: inPercent, Budget: RouterPercent,
			Terms:     []Term{Line("router-cpu-by-reloads", reloadsASec)},
			Mechanism: "a least gap of 500 ms between calls that bring changes", Packages: onConfig,
		},
		{
			Role: "router", What: "processor time for control at 20 changes a second, configuration by revision, two reloads a second", Unit: inPercent, Budget: RouterPercent,
			Terms:     []Term{Line("router-cpu-by-configuration-changes", reloadsASec)},
			Mechanism: "a least gap of 500 ms between calls that bring changes", Packages: onConfig,
		},
		{
			Role: "router", What: "bytes for control at 20 changes a second of one entry, configuration by revision", Unit: inBytesASec, Budget: RouterBytes,
			Terms:     []Term{Line("router-bytes-by-engines", Engines), Line("follower-bytes-by-routers-in-a-burst", Routers)},
			Mechanism: "deltas: the last value of an entry that changed twice", Packages: onConfig,
		},
		{
			Role: "router", What: "bytes for control at 20 changes a second of as many entries, configuration by revision", Unit: inBytesASec, Budget: RouterBytes,
			Terms:     []Term{Line("router-bytes-by-engines", Engines), Line("follower-bytes-by-routers-in-a-burst", Routers), Rise("whole-configuration-bytes-by-entries", burstASec-reloadsASec)},
			Mechanism: "deltas; each entry has to get there", Packages: onConfig,
		},
		{
			Role: "control machine", What: "the busiest keeper's processor time at 20 changes a second, 600 followers over 5", Unit: inPercent, Terms: []Term{Line("keeper-cpu-by-routers-in-a-burst", Routers)},
			Mechanism: "one entry of the log a change, one fsync for several", Packages: byKeepers,
		},
		{
			Role: "control machine", What: "a keeper's bytes at 20 changes a second, 600 followers over 5", Unit: inBytesASec, Terms: []Term{Line("keeper-bytes-by-routers-in-a-burst", Routers)},
			Mechanism: "deltas to followers, entries to keepers", Packages: byKeepers,
		},
		{
			Role: "router", What: "processor time in that day's burst, the busiest of its real routers", Unit: inPercent, Budget: RouterPercent, Terms: []Term{Played(revisions, "a burst, busiest router, % of a core")},
			Mechanism: "prepared beside the loop, put in force in it", Packages: onConfig,
		},
		{
			Role: "router", What: "memory in that day's burst, the most of its real routers", Unit: inMB, Budget: RouterMB, Terms: []Term{Played(revisions, "a burst, busiest router, MB")},
			Mechanism: "the content in force and no past", Packages: onConfig,
		},
		{
			Role: "control machine", What: "processor time in that day's burst, the busiest keeper", Unit: inPercent, Terms: []Term{Played(revisions, "a burst, busiest keeper, % of a core")},
			Mechanism: "one entry of the log a change", Packages: byKeepers,
		},
		{
			Role: "operator", What: "from the call to in force at the last of 600 routers, the slowest of 40 changes one by one", Unit: inSeconds, Budget: InForceSeconds, Terms: []Term{Line("in-force-worst-ms-by-routers", Routers).By(0.001)},
			Mechanism: "long polls that are answered at once", Packages: byKeepers,
		},
		{
			Role: "operator", What: "from the call to in force at the last router, burst", Unit: inSeconds, Budget: InForceSeconds, Terms: inForce("a burst"),
			Mechanism: "a least gap of 500 ms between calls that bring changes", Packages: byKeepers,
		},
		{
			Role: "operator", What: "from the call to in force at the last router, burst, the leader killed", Unit: inSeconds, Budget: InForceSeconds, Terms: inForce("a burst, the leader killed halfway"),
			Mechanism: "another leader within a second; calls are made again with their id", Packages: byKeepers,
		},
	}}}
}
