package capacity

import "math"

// What the options for configuration are reckoned with and nobody measured.
const (
	callBytes            = 700 // of an HTTP call and its answer on a standing connection, with headers, that brings nothing
	datagramBytes        = 160 // of a revision and a hash, with headers
	entryBytes           = 80  // of a tenant's entry, as pointer and value
	acknowledgementBytes = 40  // of a router's word on a revision
	peers                = 3   // that a router talks to in a round of gossip, a second long
	relays               = 2 * Zones
)

// Options is the table of docs/design/capacity.md.
func Options() []Scenario {
	const exchanges = 2 * peers // out and in
	burstAtFollower := maxReloadsPerSecond*callBytes + burstChangesPerSecond*entryBytes
	files, gossip, store, byZone, keepers := "files and signals", "gossip", "store outside", "relays by zone", "keepers, long poll"
	today, unbuilt := []string{"internal/settings", "internal/node"}, []string{NotBuilt}
	calls := func(aSecond float64) []Term {
		return []Term{Rise("return-cpu-by-clients", aSecond).Times(percentPerMillisecond)}
	}
	return []Scenario{{"options", []Row{
		{
			Role: files, Subject: "bytes at a router, mean of the day", Unit: unitBytesPerSecond, Budget: RouterBytesPerSecond, Terms: []Term{Line("configuration-bytes-by-tenants", Tenants).Times(changesPerSecond)},
			Mechanism: "a whole file a change", Packages: today,
		},
		{
			Role: files, Subject: "bytes at a router, burst", Unit: unitBytesPerSecond, Budget: RouterBytesPerSecond, Terms: []Term{Line("configuration-bytes-by-tenants", Tenants).Times(burstChangesPerSecond)},
			Mechanism: "a whole file a change", Packages: today,
		},
		{
			Role: files, Subject: "bytes out of the control machines, burst", Unit: unitBytesPerSecond, Terms: []Term{Line("configuration-bytes-by-tenants", Tenants).Times(burstChangesPerSecond * Routers)},
			Mechanism: "a whole file to each router a change", Packages: today,
		},
		{
			Role: files, Subject: "processor time at a router, burst", Unit: unitPercent, Budget: RouterPercent, Terms: []Term{Line("router-cpu-by-reloads", burstChangesPerSecond)},
			Mechanism: "a reload a change", Packages: today,
		},
		{
			Role: gossip, Subject: "rounds of a second until the last of 600 has it", Unit: unitSeconds, Budget: InForceSeconds, Terms: []Term{Given(math.Ceil(math.Log(Routers)/math.Log(peers+1)), "logarithm of 600 to the base 4, none lost")},
			Mechanism: "3 peers a round", Packages: unbuilt,
		},
		{
			Role: gossip, Subject: "bytes at a router at rest, HTTP", Unit: unitBytesPerSecond, Budget: RouterBytesPerSecond, Terms: []Term{Assumed(exchanges*callBytes, "6 calls of 700 bytes")},
			Mechanism: "3 peers a round, out and in", Packages: unbuilt,
		},
		{
			Role: gossip, Subject: "bytes at a router at rest, datagrams", Unit: unitBytesPerSecond, Budget: RouterBytesPerSecond, Terms: []Term{Assumed(exchanges*datagramBytes, "6 datagrams of 160 bytes")},
			Mechanism: "3 peers a round, out and in", Packages: unbuilt,
		},
		{
			Role: gossip, Subject: "bytes at a router, burst, datagrams, nobody's word", Unit: unitBytesPerSecond, Budget: RouterBytesPerSecond,
			Terms:     []Term{Assumed(exchanges*datagramBytes+2*burstChangesPerSecond*entryBytes, "as at rest, 20 entries of 80 bytes in and out")},
			Mechanism: "entries fetched once, handed on once", Packages: unbuilt,
		},
		{
			Role: gossip, Subject: "bytes at a router, burst, for the words of all that have it", Unit: unitBytesPerSecond, Budget: RouterBytesPerSecond,
			Terms:     []Term{Assumed(burstChangesPerSecond*Routers*acknowledgementBytes, "600 words of 40 bytes for each of 20 changes")},
			Mechanism: "each word reaches each router", Packages: unbuilt,
		},
		{
			Role: gossip, Subject: "processor time at a router at rest", Unit: unitPercent, Budget: RouterPercent, Terms: calls(exchanges),
			Mechanism: "6 calls a second", Packages: unbuilt,
		},
		{
			Role: store, Subject: "replicated writes a second for the routers' words, mean of the day", Terms: []Term{Given(Routers*changesPerSecond, "600 for each of 1,500 changes a day")},
			Mechanism: "a key a router and revision", Packages: unbuilt,
		},
		{
			Role: store, Subject: "replicated writes a second for the routers' words, burst", Terms: []Term{Given(Routers*maxReloadsPerSecond, "2 a second of each router")},
			Mechanism: "a key a router and revision", Packages: unbuilt,
		},
		{
			Role: byZone, Subject: "processes beside the keepers", Terms: []Term{Given(relays, "2 in each zone")},
			Mechanism: "a relay follows a keeper and is followed", Packages: unbuilt,
		},
		{
			Role: byZone, Subject: "bytes out of the control machines, burst", Unit: unitBytesPerSecond, Terms: []Term{Assumed(relays*burstAtFollower, "12 followers")},
			Mechanism: "a relay follows a keeper and is followed", Packages: unbuilt,
		},
		{
			Role: keepers, Subject: "bytes at a router at rest", Unit: unitBytesPerSecond, Budget: RouterBytesPerSecond, Terms: []Term{Line("router-bytes-by-engines", Engines), Line("follower-bytes-by-routers", Routers)},
			Mechanism: "a long poll", Packages: configurationPackages,
		},
		{
			Role: keepers, Subject: "bytes at a router, burst, as many entries", Unit: unitBytesPerSecond, Budget: RouterBytesPerSecond,
			Terms:     []Term{Line("router-bytes-by-engines", Engines), Line("follower-bytes-by-routers-in-a-burst", Routers), Rise("whole-configuration-bytes-by-entries", burstChangesPerSecond-maxReloadsPerSecond)},
			Mechanism: "deltas, a least gap of 500 ms", Packages: configurationPackages,
		},
		{
			Role: keepers, Subject: "processor time at a router, burst", Unit: unitPercent, Budget: RouterPercent, Terms: []Term{Line("router-cpu-by-configuration-changes", maxReloadsPerSecond)},
			Mechanism: "a reload a call that brings changes", Packages: configurationPackages,
		},
		{
			Role: keepers, Subject: "bytes out of the control machines, burst", Unit: unitBytesPerSecond, Terms: []Term{Line("keeper-bytes-by-routers-in-a-burst", Routers).Times(ControlMachines)},
			Mechanism: "deltas, a least gap of 500 ms", Packages: keeperPackages,
		},
		{
			Role: keepers, Subject: "processor time of the busiest keeper, at rest, 600 over 5", Unit: unitPercent, Terms: []Term{Line("keeper-cpu-by-routers", Routers)},
			Mechanism: "long polls", Packages: keeperPackages,
		},
		{
			Role: keepers, Subject: "processor time of the busiest keeper, at rest, 2,400 over 5", Unit: unitPercent, Terms: []Term{Line("keeper-cpu-by-routers", 4*Routers)},
			Mechanism: "long polls", Packages: keeperPackages,
		},
		{
			Role: keepers, Subject: "processor time of the busiest keeper, burst, 600 over 5", Unit: unitPercent, Terms: []Term{Line("keeper-cpu-by-routers-in-a-burst", Routers)},
			Mechanism: "deltas, a least gap of 500 ms", Packages: keeperPackages,
		},
		{
			Role: keepers, Subject: "processor time of the busiest keeper, burst, 2,400 over 5", Unit: unitPercent, Terms: []Term{Line("keeper-cpu-by-routers-in-a-burst", 4*Routers)},
			Mechanism: "deltas, a least gap of 500 ms", Packages: keeperPackages,
		},
	}}}
}
