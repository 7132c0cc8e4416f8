package capacity

func troubleRows() []Scenario {
	drained, lost, zone := "rack drained", "rack lost", "zone lost, back cold"
	region, less, apart := "region lost, back cold", "region lost, back cold, a third less load", "regions apart, joined"
	news := func(engines float64) []Term { // of engines in one second, each in a change of its own
		return []Term{Line("router-cpu-by-list-changes", engines)}
	}
	frame := func(engines float64) []Term { // of engines in one frame in that second
		return []Term{Line("router-cpu-by-engines", Engines), Line("router-frame-cost-by-engines-told", engines).Times(percentPerMillisecond)}
	}
	return []Scenario{{"change of primary", []Row{
		{
			Role: "router", Subject: "told: the last of 600 has an engine's change, the most of 20", Unit: unitSeconds, Budget: PrimarySeconds, Terms: []Term{Line("board-told-worst-ms-by-routers", Routers).Times(0.001)},
			Mechanism: "one frame for all followers", Packages: discoveryPackages,
		},
		{
			Role: "router", Subject: "engines drained: last load at the old", Unit: unitSeconds, Budget: PrimarySeconds, Terms: []Term{Simulated(drained, "last load at the old, s")},
			Mechanism: "what is told of as draining gets nothing more, what waits for it is taken back", Packages: discoveryPackages,
		},
		{
			Role: "router", Subject: "engines drained: first load at the new", Unit: unitSeconds, Budget: PrimarySeconds, Terms: []Term{Simulated(drained, "first load at the new, s")},
			Mechanism: "homes of a table group ranked anew", Packages: []string{"internal/decide/pressure", "dispatch"},
		},
		{
			Role: "router", Subject: "engines drained: first load at the new, at the last of 600", Unit: unitSeconds, Budget: PrimarySeconds, Terms: []Term{Simulated(drained, "first load at the new at the last gateway, s")},
			Mechanism: "each router decides for itself from the same list", Packages: []string{"internal/decide/pressure", "dispatch"},
		},
		{
			Role: "router", Subject: "engines dead and silent: last load at the old", Unit: unitSeconds, Budget: PrimarySeconds, Terms: []Term{Simulated(lost, "last load at the old, s")},
			Mechanism: "engines that give no answer rest", Packages: backoffPackages,
		},
		{
			Role: "router", Subject: "engines dead and silent: first load at the new, at the last of 600", Unit: unitSeconds, Budget: PrimarySeconds, Terms: []Term{Simulated(lost, "first load at the new at the last gateway, s")},
			Mechanism: "engines that give no answer rest", Packages: backoffPackages,
		},
		{
			Role: "board", Subject: "messages for an engine's drain, end and follower", Terms: []Term{Given(eventsPerReplacement*Routers, "3 changes to 600 links")},
			Mechanism: "one frame for all followers", Packages: []string{"internal/discovery"},
		},
	}}, {"rack", []Row{
		{
			Role: "router", Subject: "processor time for control in the second in which a rack's 24 engines go", Unit: unitPercent, Budget: RouterPercent, Terms: news(rackEngines),
			Mechanism: "changes of the list, not lists", Packages: discoveryPackages,
		},
		{
			Role: "router", Subject: "clients that come from a rack's routers, each", Terms: []Term{Given(rackRouters*Sessions/float64(Routers-rackRouters), "24,000 over 588")},
			Mechanism: "bounded accepts, one poller", Packages: sessionPackages,
		},
		{
			Role: "engine", Subject: "up and without a send after it", Terms: []Term{Simulated(lost, "without it: idle")},
			Mechanism: "near sets dealt out evenly", Packages: slowStartPackages,
		},
		{
			Role: "operator", Subject: "share of worth served, rack lost", Unit: unitShare, Terms: []Term{Simulated(lost, "served")},
			Mechanism: "engines that give no answer rest", Packages: backoffPackages,
		},
		{
			Role: "operator", Subject: "share of worth served, rack drained", Unit: unitShare, Terms: []Term{Simulated(drained, "served")},
			Mechanism: "drains", Packages: []string{"dispatch"},
		},
	}}, {"zone", []Row{
		{
			Role: "router", Subject: "processor time for control in the second in which a zone's 200 engines go or come, a change each", Unit: unitPercent, Budget: RouterPercent, Terms: news(zoneEngines),
			Mechanism: "changes of the list, not lists", Packages: discoveryPackages,
		},
		{
			Role: "router", Subject: "processor time for control in the second in which a zone's 200 engines go or come, in one frame", Unit: unitPercent, Budget: RouterPercent, Terms: frame(zoneEngines),
			Mechanism: "one pass over the list for a frame", Packages: discoveryPackages,
		},
		{
			Role: "router", Subject: "processor time for control, a change each, mean of the ten seconds around", Unit: unitPercent, Budget: RouterPercent, Terms: news(zoneEngines / 10.0),
			Mechanism: "changes of the list, not lists", Packages: discoveryPackages,
		},
		{
			Role: "router", Subject: "bytes for control in that second, in one frame", Unit: unitBytesPerSecond, Budget: RouterBytesPerSecond,
			Terms:     []Term{Line("router-bytes-by-engines", Engines), Line("router-frame-bytes-by-engines-told", zoneEngines)},
			Mechanism: "records of fixed length, many in a frame", Packages: discoveryPackages,
		},
		{
			Role: "router", Subject: "bytes for control, in one frame, mean of the ten seconds around", Unit: unitBytesPerSecond, Budget: RouterBytesPerSecond,
			Terms:     []Term{Line("router-bytes-by-engines", Engines), Line("router-frame-bytes-by-engines-told", zoneEngines).Times(0.1)},
			Mechanism: "records of fixed length, many in a frame", Packages: discoveryPackages,
		},
		{
			Role: "router", Subject: "bytes for control in that second, a change each", Unit: unitBytesPerSecond, Budget: RouterBytesPerSecond, Terms: []Term{Line("router-bytes-by-list-changes", zoneEngines)},
			Mechanism: "records of fixed length, many in a frame", Packages: discoveryPackages,
		},
		{
			Role: "router", Subject: "clients that come from a zone's routers, each", Terms: []Term{Given(zoneRouters*Sessions/float64(Routers-zoneRouters), "200,000 over 500")},
			Mechanism: "bounded accepts, one poller", Packages: sessionPackages,
		},
		{
			Role: "router", Subject: "processor time of these clients' return", Unit: unitMillis, Terms: []Term{Line("return-cpu-by-clients", zoneRouters*Sessions/float64(Routers-zoneRouters))},
			Mechanism: "bounded accepts, one poller", Packages: sessionPackages,
		},
		{
			Role: "board", Subject: "bytes of whole lists as a zone's 100 routers are back", Unit: unitBytes, Terms: []Term{Line("list-wire-bytes-by-engines", Engines).Times(zoneRouters)},
			Mechanism: "the whole list in one frame", Packages: []string{"internal/discovery"},
		},
		{
			Role: "control machine", Subject: "bytes of whole configurations as a zone's 100 routers are back without their folders", Unit: unitBytes, Terms: []Term{Line("whole-configuration-bytes-by-entries", Tenants).Times(zoneRouters)},
			Mechanism: "back-off with jitter, any keeper serves", Packages: keeperPackages,
		},
		{
			Role: "operator", Subject: "a zone's routers are back: the last revision in force at the last of them", Unit: unitSeconds, Budget: InForceSeconds, Terms: inForce("a zone is back"),
			Mechanism: "back-off with jitter, any keeper serves", Packages: configurationPackages,
		},
		{
			Role: "engine", Subject: "warm ones without a send while the zone is gone", Terms: []Term{Simulated(zone, "lost and told: idle")},
			Mechanism: "near sets dealt out anew", Packages: slowStartPackages,
		},
		{
			Role: "engine", Subject: "the most sends over the mean while the zone is gone", Terms: []Term{Simulated(zone, "lost and told: most over mean")},
			Mechanism: "near sets dealt out anew", Packages: slowStartPackages,
		},
		{
			Role: "engine", Subject: "cold ones without a send while they warm up", Terms: []Term{Simulated(zone, "back, cold ones: idle")},
			Mechanism: "rations that add up", Packages: slowStartPackages,
		},
		{
			Role: "engine", Subject: "the most sent to a cold one, over what it may be sent", Unit: unitShare, Budget: 1, Terms: []Term{Simulated(zone, "most_to_cold_of_what_it_may")},
			Mechanism: "rations that add up", Packages: slowStartPackages,
		},
		{
			Role: "operator", Subject: "share of worth served, from the loss to warm again", Unit: unitShare, Terms: []Term{Simulated(zone, "served")},
			Mechanism: "zones that give no answer rest, cold ones get rations", Packages: []string{"internal/decide/backoff", "internal/decide/slowstart"},
		},
	}}, {"near sets", []Row{
		{
			Role: "engine", Subject: "places in near sets that move when one engine goes, of 22,200", Unit: unitShare, Terms: []Term{Simulated("near sets", "one engine less: share of places moved")},
			Mechanism: "places dealt out by number in the list: a known gap", Packages: slowStartPackages,
		},
		{
			Role: "engine", Subject: "near to nobody once lists say that 17% are gone", Terms: []Term{Simulated("near sets", "17% dead: idle")},
			Mechanism: "near sets dealt out anew", Packages: slowStartPackages,
		},
		{
			Role: "engine", Subject: "near to nobody once lists say that 50% are gone", Terms: []Term{Simulated("near sets", "50% dead: idle")},
			Mechanism: "near sets dealt out anew", Packages: slowStartPackages,
		},
		{
			Role: "engine", Subject: "near to nobody once lists say that 70% are gone", Terms: []Term{Simulated("near sets", "70% dead: idle")},
			Mechanism: "near sets dealt out anew", Packages: slowStartPackages,
		},
		{
			Role: "engine", Subject: "routers near the most used at 70% gone, over the mean", Terms: []Term{Simulated("near sets", "70% dead: most over mean")},
			Mechanism: "near sets dealt out anew", Packages: slowStartPackages,
		},
	}}, {"region", []Row{
		{
			Role: "router", Subject: "sessions of each of the 300 that are left", Terms: []Term{Given(2*Sessions, "1.2 million over 300")},
			Mechanism: "`sockets` set for them", Packages: sessionPackages,
		},
		{
			Role: "router", Subject: "memory of these sessions at rest", Unit: unitMB, Terms: []Term{Rise("router-memory-by-sessions-at-rest", 2*Sessions)},
			Mechanism: "buffers by need, bounded in sum", Packages: sessionPackages,
		},
		{
			Role: "router", Subject: "processor time in all at 900 statements a second, 64 sessions", Unit: unitPercent, Terms: []Term{Line("router-cpu-by-statements", 2*StatementsPerSecond)},
			Mechanism: "a decision that costs the same at any size of the fleet", Packages: []string{"dispatch", "internal/router"},
		},
		{
			Role: "router", Subject: "processor time for control in the second in which 600 engines go or come, a change each", Unit: unitPercent, Budget: RouterPercent, Terms: news(Engines / Regions),
			Mechanism: "changes of the list, not lists", Packages: discoveryPackages,
		},
		{
			Role: "router", Subject: "processor time for control in the second in which 600 engines go or come, in one frame", Unit: unitPercent, Budget: RouterPercent, Terms: frame(Engines / Regions),
			Mechanism: "one pass over the list for a frame", Packages: discoveryPackages,
		},
		{
			Role: "router", Subject: "bytes for control in that second, in one frame", Unit: unitBytesPerSecond, Budget: RouterBytesPerSecond,
			Terms:     []Term{Line("router-bytes-by-engines", Engines), Line("router-frame-bytes-by-engines-told", Engines/Regions)},
			Mechanism: "records of fixed length, many in a frame", Packages: discoveryPackages,
		},
		{
			Role: "engine", Subject: "warm ones without a send while the region is gone", Terms: []Term{Simulated(less, "lost and told: idle")},
			Mechanism: "near sets dealt out anew", Packages: slowStartPackages,
		},
		{
			Role: "engine", Subject: "the most sends over the mean while the region is gone", Terms: []Term{Simulated(less, "lost and told: most over mean")},
			Mechanism: "near sets dealt out anew", Packages: slowStartPackages,
		},
		{
			Role: "operator", Subject: "share of worth served, load 0.6 of the whole fleet", Unit: unitShare, Terms: []Term{Simulated(region, "served")},
			Mechanism: "refusals at once of what would be over too late", Packages: []string{"dispatch"},
		},
		{
			Role: "operator", Subject: "share of worth served, load 0.4 of the whole fleet", Unit: unitShare, Terms: []Term{Simulated(less, "served")},
			Mechanism: "zones that give no answer rest, cold ones get rations", Packages: []string{"internal/decide/backoff", "internal/decide/slowstart"},
		},
	}}, {"regions apart", []Row{
		{
			Role: "router", Subject: "revisions behind after an hour in the region without a majority", Terms: []Term{Given(ChangesPerDay/24.0, "1,500 a day over 24")},
			Mechanism: "the last good revision stays in force", Packages: configurationPackages,
		},
		{
			Role: "control machine", Subject: "changes taken in the region without a majority", Terms: []Term{Given(0, "none: no majority, no revision")},
			Mechanism: "a majority for each revision", Packages: keeperPackages,
		},
		{
			Role: "control machine", Subject: "bytes to 300 followers as the regions join, an entry for each revision", Unit: unitBytes, Terms: []Term{Line("whole-configuration-bytes-by-entries", ChangesPerDay/24.0).Times(regionRouters)},
			Mechanism: "a delta or a snapshot, by cost", Packages: keeperPackages,
		},
		{
			Role: "operator", Subject: "in force at the last router of the region with the majority", Unit: unitSeconds, Budget: InForceSeconds, Terms: inForce("changes in the region with the majority, the other one cut off"),
			Mechanism: "a majority for each revision", Packages: keeperPackages,
		},
		{
			Role: "operator", Subject: "regions joined: the last revision in force at the last router of the other", Unit: unitSeconds, Budget: InForceSeconds, Terms: inForce("the region that was cut off, from the joining on"),
			Mechanism: "back-off with jitter, a delta or a snapshot", Packages: configurationPackages,
		},
		{
			Role: "operator", Subject: "share of worth served while apart and after, 8 s apart", Unit: unitShare, Terms: []Term{Simulated(apart, "served")},
			Mechanism: "zones that give no answer rest", Packages: backoffPackages,
		},
		{
			Role: "engine", Subject: "without a send while apart", Terms: []Term{Simulated(apart, "apart: idle")},
			Mechanism: "all of the other zones are looked at while zones rest", Packages: backoffPackages,
		},
	}}}
}
