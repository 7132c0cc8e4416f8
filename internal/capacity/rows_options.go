package capacity

import "math"

// What the options for configuration are reckoned with and nobody measured.
const (
	callBytes     = 700 // of an HTTP call and its answer on a standing connection, with headers, that brings nothing
	datagramBytes = 160 // of a revision and a hash, with headers
	entryBytes    = 80  // of a tenant's entry, as pointer and value
	wordBytes     = 40  // of a router's word on a revision
	peers         = 3   // that a router talks to in a round of gossip, a second long
	relays        = 2 * Zones
)

// Options is the table of docs/design/capacity.md.
func Options() []Scenario {
	const exchanges = 2 * peers // out and in
	burstAtFollower := reloadsASec*callBytes + burstASec*entryBytes
	files, gossip, store, byZone, keepers := "files and signals", "gossip", "store outside", "relays by zone", "keepers, long poll"
	today, unbuilt := []string{"internal/settings", "internal/node"}, []string{NotBuilt}
	calls := func(aSecond float64) []Term { return []Term{Rise("return-cpu-by-clients", aSecond).By(msAsPercent)} }
	return []Scenario{{"options", []Row{
		{
			Role: files, What: "bytes at a router, mean of the day", Unit: inBytesASec, Budget: RouterBytes, Terms: []Term{Line("configuration-bytes-by-tenants", Tenants).By(changesASec)},
			Mechanism: "a whole file a change", Packages: today,
		},
		{
			Role: files, What: "bytes at a router, burst", Unit: inBytesASec, Budget: RouterBytes, Terms: []Term{Line("configuration-bytes-by-tenants", Tenants).By(burstASec)},
			Mechanism: "a whole file a change", Packages: today,
		},
		{
			Role: files, What: "bytes out of the control machines, burst", Unit: inBytesASec, Terms: []Term{Line("configuration-bytes-by-tenants", Tenants).By(burstASec * Routers)},
			Mechanism: "a whole file to each router a change", Packages: today,
		},
		{
			Role: files, What: "processor time at a router, burst", Unit: inPercent, Budget: RouterPercent, Terms: []Term{Line("router-cpu-by-reloads", burstASec)},
			Mechanism: "a reload a change", Packages: today,
		},
		{
			Role: gossip, What: "rounds of a second until the last of 600 has it", Unit: inSeconds, Budget: InForceSeconds, Terms: []Term{Given(math.Ceil(math.Log(Routers)/math.Log(peers+1)), "logarithm of 600 to the base 4, none lost")},
			Mechanism: "3 peers a round", Packages: unbuilt,
		},
		{
			Role: gossip, What: "bytes at a router at rest, HTTP", Unit: inBytesASec, Budget: RouterBytes, Terms: []Term{Assumed(exchanges*callBytes, "6 calls of 700 bytes")},
			Mechanism: "3 peers a round, out and in", Packages: unbuilt,
		},
		{
			Role: gossip, What: "bytes at a router at rest, datagrams", Unit: inBytesASec, Budget: RouterBytes, Terms: []Term{Assumed(exchanges*datagramBytes, "6 datagrams of 160 bytes")},
			Mechanism: "3 peers a round, out and in", Packages: unbuilt,
		},
		{
			Role: gossip, What: "bytes at a router, burst, datagrams, nobody's word", Unit: inBytesASec, Budget: RouterBytes,
			Terms:     []Term{Assumed(exchanges*datagramBytes+2*burstASec*entryBytes, "as at rest, 20 entries of 80 bytes in and out")},
			Mechanism: "entries fetched once, handed on once", Packages: unbuilt,
		},
		{
			Role: gossip, What: "bytes at a router, burst, for the words of all that have it", Unit: inBytesASec, Budget: RouterBytes,
			Terms:     []Term{Assumed(burstASec*Routers*wordBytes, "600 words of 40 bytes for each of 20 changes")},
			Mechanism: "each word reaches each router", Packages: unbuilt,
		},
		{
			Role: gossip, What: "processor time at a router at rest", Unit: inPercent, Budget: RouterPercent, Terms: calls(exchanges),
			Mechanism: "6 calls a second", Packages: unbuilt,
		},
		{
			Role: store, What: "replicated writes a second for the routers' words, mean of the day", Terms: []Term{Given(Routers*changesASec, "600 for each of 1,500 changes a day")},
			Mechanism: "a key a router and revision", Packages: unbuilt,
		},
		{
			Role: store, What: "replicated writes a second for the routers' words, burst", Terms: []Term{Given(Routers*reloadsASec, "2 a second of each router")},
			Mechanism: "a key a router and revision", Packages: unbuilt,
		},
		{
			Role: byZone, What: "processes beside the keepers", Terms: []Term{Given(relays, "2 in each zone")},
			Mechanism: "a relay follows a keeper and is followed", Packages: unbuilt,
		},
		{
			Role: byZone, What: "bytes out of the control machines, burst", Unit: inBytesASec, Terms: []Term{Assumed(relays*burstAtFollower, "12 followers")},
			Mechanism: "a relay follows a keeper and is followed", Packages: unbuilt,
		},
		{
			Role: keepers, What: "bytes at a router at rest", Unit: inBytesASec, Budget: RouterBytes, Terms: []Term{Line("router-bytes-by-engines", Engines), Line("follower-bytes-by-routers", Routers)},
			Mechanism: "a long poll", Packages: onConfig,
		},
		{
			Role: keepers, What: "bytes at a router, burst, as many entries", Unit: inBytesASec, Budget: RouterBytes,
			Terms:     []Term{Line("router-bytes-by-engines", Engines), Line("follower-bytes-by-routers-in-a-burst", Routers), Rise("whole-configuration-bytes-by-entries", burstASec-reloadsASec)},
			Mechanism: "deltas, a least gap of 500 ms", Packages: onConfig,
		},
		{
			Role: keepers, What: "processor time at a router, burst", Unit: inPercent, Budget: RouterPercent, Terms: []Term{Line("router-cpu-by-configuration-changes", reloadsASec)},
			Mechanism: "a reload a call that brings changes", Packages: onConfig,
		},
		{
			Role: keepers, What: "bytes out of the control machines, burst", Unit: inBytesASec, Terms: []Term{Line("keeper-bytes-by-routers-in-a-burst", Routers).By(ControlMachines)},
			Mechanism: "deltas, a least gap of 500 ms", Packages: byKeepers,
		},
		{
			Role: keepers, What: "processor time of the busiest keeper, at rest, 600 over 5", Unit: inPercent, Terms: []Term{Line("keeper-cpu-by-routers", Routers)},
			Mechanism: "long polls", Packages: byKeepers,
		},
		{
			Role: keepers, What: "processor time of the busiest keeper, at rest, 2,400 over 5", Unit: inPercent, Terms: []Term{Line("keeper-cpu-by-routers", 4*Routers)},
			Mechanism: "long polls", Packages: byKeepers,
		},
		{
			Role: keepers, What: "processor time of the busiest keeper, burst, 600 over 5", Unit: inPercent, Terms: []Term{Line("keeper-cpu-by-routers-in-a-burst", Routers)},
			Mechanism: "deltas, a least gap of 500 ms", Packages: byKeepers,
		},
		{
			Role: keepers, What: "processor time of the busiest keeper, burst, 2,400 over 5", Unit: inPercent, Terms: []Term{Line("keeper-cpu-by-routers-in-a-burst", 4*Routers)},
			Mechanism: "deltas, a least gap of 500 ms", Packages: byKeepers,
		},
	}}}
}
