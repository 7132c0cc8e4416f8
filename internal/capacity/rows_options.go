package capacity

import "math"

// Assumed sizes for the comparison of the options for the distribution of configuration. They were not measured.
const (
	callBytes            = 700 // of an HTTP call and its response without changes, including headers, on an open connection
	datagramBytes        = 160 // of a datagram with a revision and a hash, including headers
	entryBytes           = 80  // of a tenant's entry: a JSON pointer and a value
	acknowledgementBytes = 40  // of a router's acknowledgement of a revision
	gossipPeers          = 3   // of a router in a gossip round, which takes a second
	exchangesPerSecond   = 2 * gossipPeers
	relays               = 2 * Zones
	burstBytesAtFollower = maxReloadsPerSecond*callBytes + burstChangesPerSecond*entryBytes
)

// Options for the distribution of configuration.
const (
	optionFiles   = "files and signals"
	optionGossip  = "gossip"
	optionStore   = "external store"
	optionRelays  = "relays by zone"
	optionKeepers = "keepers, long poll"
)

var (
	filePackages = []string{"internal/settings", "internal/node"}
	notBuiltYet  = []string{NotBuilt}
)

// Options returns the scenarios of docs/design/capacity.md, which has one table.
func Options() []Scenario { return []Scenario{{"options", optionRows}} }

// optionRows are the rows for the options for the distribution of configuration that docs/design/capacity.md compares.
var optionRows = []Row{
	{
		Role: optionFiles, Subject: "bytes at a router, mean of the day", Unit: unitBytesPerSecond,
		Budget:    RouterBytesPerSecond,
		Terms:     []Term{Line("configuration-bytes-by-tenants", Tenants).Times(changesPerSecond)},
		Mechanism: "a complete file per change", Packages: filePackages,
	},
	{
		Role: optionFiles, Subject: "bytes at a router, burst", Unit: unitBytesPerSecond, Budget: RouterBytesPerSecond,
		Terms:     []Term{Line("configuration-bytes-by-tenants", Tenants).Times(burstChangesPerSecond)},
		Mechanism: "a complete file per change", Packages: filePackages,
	},
	{
		Role: optionFiles, Subject: "bytes out of the control machines, burst", Unit: unitBytesPerSecond,
		Terms:     []Term{Line("configuration-bytes-by-tenants", Tenants).Times(burstChangesPerSecond * Routers)},
		Mechanism: "a complete file to each router per change", Packages: filePackages,
	},
	{
		Role: optionFiles, Subject: "processor time at a router, burst", Unit: unitPercent, Budget: RouterPercent,
		Terms:     []Term{Line("router-cpu-by-reloads", burstChangesPerSecond)},
		Mechanism: "a reload per change", Packages: filePackages,
	},
	{
		Role: optionGossip, Subject: "rounds of a second until the last of 600 routers has it", Unit: unitSeconds,
		Budget: InForceSeconds,
		Terms: []Term{
			Given(math.Ceil(math.Log(Routers)/math.Log(gossipPeers+1)), "logarithm of 600 to the base 4, none lost"),
		},
		Mechanism: "3 peers per round", Packages: notBuiltYet,
	},
	{
		Role: optionGossip, Subject: "bytes at a router idle, HTTP", Unit: unitBytesPerSecond,
		Budget: RouterBytesPerSecond, Terms: []Term{Assumed(exchangesPerSecond*callBytes, "6 calls of 700 bytes")},
		Mechanism: "3 peers per round, out and in", Packages: notBuiltYet,
	},
	{
		Role: optionGossip, Subject: "bytes at a router idle, datagrams", Unit: unitBytesPerSecond,
		Budget:    RouterBytesPerSecond,
		Terms:     []Term{Assumed(exchangesPerSecond*datagramBytes, "6 datagrams of 160 bytes")},
		Mechanism: "3 peers per round, out and in", Packages: notBuiltYet,
	},
	{
		Role: optionGossip, Subject: "bytes at a router, burst, datagrams, without acknowledgements",
		Unit: unitBytesPerSecond, Budget: RouterBytesPerSecond,
		Terms: []Term{
			Assumed(exchangesPerSecond*datagramBytes+2*burstChangesPerSecond*entryBytes, "as idle, 20 entries of 80 "+
				"bytes in and out"),
		},
		Mechanism: "entries fetched once, forwarded once", Packages: notBuiltYet,
	},
	{
		Role: optionGossip, Subject: "bytes at a router, burst, for the acknowledgements of all that have it",
		Unit: unitBytesPerSecond, Budget: RouterBytesPerSecond,
		Terms: []Term{
			Assumed(burstChangesPerSecond*Routers*acknowledgementBytes, "600 acknowledgements of 40 bytes for each "+
				"of 20 changes"),
		},
		Mechanism: "each acknowledgement reaches each router", Packages: notBuiltYet,
	},
	{
		Role: optionGossip, Subject: "processor time at a router, idle", Unit: unitPercent, Budget: RouterPercent,
		Terms:     []Term{Rise("return-cpu-by-clients", exchangesPerSecond).Times(percentPerMillisecond)},
		Mechanism: "6 calls a second", Packages: notBuiltYet,
	},
	{
		Role: optionStore, Subject: "replicated writes a second for the routers' acknowledgements, mean of the day",
		Terms:     []Term{Given(Routers*changesPerSecond, "600 for each of 1,500 changes a day")},
		Mechanism: "a key per router and revision", Packages: notBuiltYet,
	},
	{
		Role: optionStore, Subject: "replicated writes a second for the routers' acknowledgements, burst",
		Terms:     []Term{Given(Routers*maxReloadsPerSecond, "2 a second of each router")},
		Mechanism: "a key per router and revision", Packages: notBuiltYet,
	},
	{
		Role: optionRelays, Subject: "processes beside the keepers", Terms: []Term{Given(relays, "2 in each zone")},
		Mechanism: "a relay follows a keeper and has followers", Packages: notBuiltYet,
	},
	{
		Role: optionRelays, Subject: "bytes out of the control machines, burst", Unit: unitBytesPerSecond,
		Terms:     []Term{Assumed(relays*burstBytesAtFollower, "12 followers")},
		Mechanism: "a relay follows a keeper and has followers", Packages: notBuiltYet,
	},
	{
		Role: optionKeepers, Subject: "bytes at a router, idle", Unit: unitBytesPerSecond, Budget: RouterBytesPerSecond,
		Terms:     []Term{Line("router-bytes-by-engines", Engines), Line("follower-bytes-by-routers", Routers)},
		Mechanism: "a long poll", Packages: configurationPackages,
	},
	{
		Role: optionKeepers, Subject: "bytes at a router, burst, as many entries", Unit: unitBytesPerSecond,
		Budget: RouterBytesPerSecond,
		Terms: []Term{
			Line("router-bytes-by-engines", Engines), Line("follower-bytes-by-routers-in-a-burst", Routers),
			Rise("whole-configuration-bytes-by-entries", burstChangesPerSecond-maxReloadsPerSecond),
		},
		Mechanism: "deltas, at least 500 ms between calls", Packages: configurationPackages,
	},
	{
		Role: optionKeepers, Subject: "processor time at a router, burst", Unit: unitPercent, Budget: RouterPercent,
		Terms:     []Term{Line("router-cpu-by-configuration-changes", maxReloadsPerSecond)},
		Mechanism: "a reload per call that brings changes", Packages: configurationPackages,
	},
	{
		Role: optionKeepers, Subject: "bytes out of the control machines, burst", Unit: unitBytesPerSecond,
		Terms:     []Term{Line("keeper-bytes-by-routers-in-a-burst", Routers).Times(ControlMachines)},
		Mechanism: "deltas, at least 500 ms between calls", Packages: keeperPackages,
	},
	{
		Role: optionKeepers, Subject: "processor time of the busiest keeper, idle, 600 over 5", Unit: unitPercent,
		Terms:     []Term{Line("keeper-cpu-by-routers", Routers)},
		Mechanism: "long polls", Packages: keeperPackages,
	},
	{
		Role: optionKeepers, Subject: "processor time of the busiest keeper, idle, 2,400 over 5", Unit: unitPercent,
		Terms:     []Term{Line("keeper-cpu-by-routers", 4*Routers)},
		Mechanism: "long polls", Packages: keeperPackages,
	},
	{
		Role: optionKeepers, Subject: "processor time of the busiest keeper, burst, 600 over 5", Unit: unitPercent,
		Terms:     []Term{Line("keeper-cpu-by-routers-in-a-burst", Routers)},
		Mechanism: "deltas, at least 500 ms between calls", Packages: keeperPackages,
	},
	{
		Role: optionKeepers, Subject: "processor time of the busiest keeper, burst, 2,400 over 5", Unit: unitPercent,
		Terms:     []Term{Line("keeper-cpu-by-routers-in-a-burst", 4*Routers)},
		Mechanism: "deltas, at least 500 ms between calls", Packages: keeperPackages,
	},
}
