package capacity

func troubleRows() []Scenario {
	drained, lost, zone := "rack drained", "rack lost", "zone lost, back cold"
	region, less, apart := "region lost, back cold", "region lost, back cold, a third less load", "regions apart, joined"
	news := func(engines float64) []Term { // of engines in one second, each in a change of its own
		return []Term{Line("router-cpu-by-list-changes", engines)}
	}
	frame := func(engines float64) []Term { // of engines in one frame in that second
		return []Term{Line("router-cpu-by-engines", Engines), Line("router-frame-cost-by-engines-told", engines).By(msAsPercent)}
	}
	return []Scenario{{"change of primary", []Row{
		{
			Role: "router", What: "told: the last of 600 has an engine's change, the most of 20", Unit: inSeconds, Budget: PrimarySeconds, Terms: []Term{Line("board-told-worst-ms-by-routers", Routers).By(0.001)},
			Mechanism: "one frame for all followers", Packages: onList,
		},
		{
			Role: "router", What: "engines drained: last load at the old", Unit: inSeconds, Budget: PrimarySeconds, Terms: []Term{Played(drained, "last load at the old, s")},
			Mechanism: "what is told of as draining gets nothing more, what waits for it is taken back", Packages: onList,
		},
		{
			Role: "router", What: "engines drained: first load at the new", Unit: inSeconds, Budget: PrimarySeconds, Terms: []Term{Played(drained, "first load at the new, s")},
			Mechanism: "homes of a table group ranked anew", Packages: []string{"internal/decide/pressure", "dispatch"},
		},
		{
			Role: "router", What: "engines drained: first load at the new, at the last of 600", Unit: inSeconds, Budget: PrimarySeconds, Terms: []Term{Played(drained, "first load at the new at the last gateway, s")},
			Mechanism: "each router decides for itself from the same list", Packages: []string{"internal/decide/pressure", "dispatch"},
		},
		{
			Role: "router", What: "engines dead and silent: last load at the old", Unit: inSeconds, Budget: PrimarySeconds, Terms: []Term{Played(lost, "last load at the old, s")},
			Mechanism: "engines that give no answer rest", Packages: onRests,
		},
		{
			Role: "router", What: "engines dead and silent: first load at the new, at the last of 600", Unit: inSeconds, Budget: PrimarySeconds, Terms: []Term{Played(lost, "first load at the new at the last gateway, s")},
			Mechanism: "engines that give no answer rest", Packages: onRests,
		},
		{
			Role: "board", What: "messages for an engine's drain, end and follower", Terms: []Term{Given(newsOfAnother*Routers, "3 changes to 600 links")},
			Mechanism: "one frame for all followers", Packages: []string{"internal/discovery"},
		},
	}}, {"rack", []Row{
		{
			Role: "router", What: "processor time for control in the second in which a rack's 24 engines go", Unit: inPercent, Budget: RouterPercent, Terms: news(rackEngines),
			Mechanism: "changes of the list, not lists", Packages: onList,
		},
		{
			Role: "router", What: "clients that come from a rack's routers, each", Terms: []Term{Given(rackRouters*Sessions/float64(Routers-rackRouters), "24,000 over 588")},
			Mechanism: "bounded accepts, one poller", Packages: onSessions,
		},
		{
			Role: "engine", What: "up and without a send after it", Terms: []Term{Played(lost, "without it: idle")},
			Mechanism: "near sets dealt out evenly", Packages: onRations,
		},
		{
			Role: "operator", What: "share of worth served, rack lost", Unit: inShare, Terms: []Term{Played(lost, "served")},
			Mechanism: "engines that give no answer rest", Packages: onRests,
		},
		{
			Role: "operator", What: "share of worth served, rack drained", Unit: inShare, Terms: []Term{Played(drained, "served")},
			Mechanism: "drains", Packages: []string{"dispatch"},
		},
	}}, {"zone", []Row{
		{
			Role: "router", What: "processor time for control in the second in which a zone's 200 engines go or come, a change each", Unit: inPercent, Budget: RouterPercent, Terms: news(zoneEngines),
			Mechanism: "changes of the list, not lists", Packages: onList,
		},
		{
			Role: "router", What: "processor time for control in the second in which a zone's 200 engines go or come, in one frame", Unit: inPercent, Budget: RouterPercent, Terms: frame(zoneEngines),
			Mechanism: "one pass over the list for a frame", Packages: onList,
		},
		{
			Role: "router", What: "processor time for control, a change each, mean of the ten seconds around", Unit: inPercent, Budget: RouterPercent, Terms: news(zoneEngines / 10.0),
			Mechanism: "changes of the list, not lists", Packages: onList,
		},
		{
			Role: "router", What: "bytes for control in that second, in one frame", Unit: inBytesASec, Budget: RouterBytes,
			Terms:     []Term{Line("router-bytes-by-engines", Engines), Line("router-frame-bytes-by-engines-told", zoneEngines)},
			Mechanism: "records of fixed length, many in a frame", Packages: onList,
		},
		{
			Role: "router", What: "bytes for control, in one frame, mean of the ten seconds around", Unit: inBytesASec, Budget: RouterBytes,
			Terms:     []Term{Line("router-bytes-by-engines", Engines), Line("router-frame-bytes-by-engines-told", zoneEngines).By(0.1)},
			Mechanism: "records of fixed length, many in a frame", Packages: onList,
		},
		{
			Role: "router", What: "bytes for control in that second, a change each", Unit: inBytesASec, Budget: RouterBytes, Terms: []Term{Line("router-bytes-by-list-changes", zoneEngines)},
			Mechanism: "records of fixed length, many in a frame", Packages: onList,
		},
		{
			Role: "router", What: "clients that come from a zone's routers, each", Terms: []Term{Given(zoneRouters*Sessions/float64(Routers-zoneRouters), "200,000 over 500")},
			Mechanism: "bounded accepts, one poller", Packages: onSessions,
		},
		{
			Role: "router", What: "processor time of these clients' return", Unit: inMillis, Terms: []Term{Line("return-cpu-by-clients", zoneRouters*Sessions/float64(Routers-zoneRouters))},
			Mechanism: "bounded accepts, one poller", Packages: onSessions,
		},
		{
			Role: "board", What: "bytes of whole lists as a zone's 100 routers are back", Unit: inBytes, Terms: []Term{Line("list-wire-bytes-by-engines", Engines).By(zoneRouters)},
			Mechanism: "the whole list in one frame", Packages: []string{"internal/discovery"},
		},
		{
			Role: "control machine", What: "bytes of whole configurations as a zone's 100 routers are back without their folders", Unit: inBytes, Terms: []Term{Line("whole-configuration-bytes-by-entries", Tenants).By(zoneRouters)},
			Mechanism: "back-off with jitter, any keeper serves", Packages: byKeepers,
		},
		{
			Role: "operator", What: "a zone's routers are back: the last revision in force at the last of them", Unit: inSeconds, Budget: InForceSeconds, Terms: inForce("a zone is back"),
			Mechanism: "back-off with jitter, any keeper serves", Packages: onConfig,
		},
		{
			Role: "engine", What: "warm ones without a send while the zone is gone", Terms: []Term{Played(zone, "lost and told: idle")},
			Mechanism: "near sets dealt out anew", Packages: onRations,
		},
		{
			Role: "engine", What: "the most sends over the mean while the zone is gone", Terms: []Term{Played(zone, "lost and told: most over mean")},
			Mechanism: "near sets dealt out anew", Packages: onRations,
		},
		{
			Role: "engine", What: "cold ones without a send while they warm up", Terms: []Term{Played(zone, "back, cold ones: idle")},
			Mechanism: "rations that add up", Packages: onRations,
		},
		{
			Role: "engine", What: "the most sent to a cold one, over what it may be sent", Unit: inShare, Budget: 1, Terms: []Term{Played(zone, "most_to_cold_of_what_it_may")},
			Mechanism: "rations that add up", Packages: onRations,
		},
		{
			Role: "operator", What: "share of worth served, from the loss to warm again", Unit: inShare, Terms: []Term{Played(zone, "served")},
			Mechanism: "zones that give no answer rest, cold ones get rations", Packages: []string{"internal/decide/backoff", "internal/decide/slowstart"},
		},
	}}, {"near sets", []Row{
		{
			Role: "engine", What: "places in near sets that move when one engine goes, of 22,200", Unit: inShare, Terms: []Term{Played("near sets", "one engine less: share of places moved")},
			Mechanism: "places dealt out by number in the list: a known gap", Packages: onRations,
		},
		{
			Role: "engine", What: "near to nobody once lists say that 17% are gone", Terms: []Term{Played("near sets", "17% dead: idle")},
			Mechanism: "near sets dealt out anew", Packages: onRations,
		},
		{
			Role: "engine", What: "near to nobody once lists say that 50% are gone", Terms: []Term{Played("near sets", "50% dead: idle")},
			Mechanism: "near sets dealt out anew", Packages: onRations,
		},
		{
			Role: "engine", What: "near to nobody once lists say that 70% are gone", Terms: []Term{Played("near sets", "70% dead: idle")},
			Mechanism: "near sets dealt out anew", Packages: onRations,
		},
		{
			Role: "engine", What: "routers near the most used at 70% gone, over the mean", Terms: []Term{Played("near sets", "70% dead: most over mean")},
			Mechanism: "near sets dealt out anew", Packages: onRations,
		},
	}}, {"region", []Row{
		{
			Role: "router", What: "sessions of each of the 300 that are left", Terms: []Term{Given(2*Sessions, "1.2 million over 300")},
			Mechanism: "`sockets` set for them", Packages: onSessions,
		},
		{
			Role: "router", What: "memory of these sessions at rest", Unit: inMB, Terms: []Term{Rise("router-memory-by-sessions-at-rest", 2*Sessions)},
			Mechanism: "buffers by need, bounded in sum", Packages: onSessions,
		},
		{
			Role: "router", What: "processor time in all at 900 statements a second, 64 sessions", Unit: inPercent, Terms: []Term{Line("router-cpu-by-statements", 2*Statements)},
			Mechanism: "a decision that costs the same at any size of the fleet", Packages: []string{"dispatch", "internal/router"},
		},
		{
			Role: "router", What: "processor time for control in the second in which 600 engines go or come, a change each", Unit: inPercent, Budget: RouterPercent, Terms: news(Engines / Regions),
			Mechanism: "changes of the list, not lists", Packages: onList,
		},
		{
			Role: "router", What: "processor time for control in the second in which 600 engines go or come, in one frame", Unit: inPercent, Budget: RouterPercent, Terms: frame(Engines / Regions),
			Mechanism: "one pass over the list for a frame", Packages: onList,
		},
		{
			Role: "router", What: "bytes for control in that second, in one frame", Unit: inBytesASec, Budget: RouterBytes,
			Terms:     []Term{Line("router-bytes-by-engines", Engines), Line("router-frame-bytes-by-engines-told", Engines/Regions)},
			Mechanism: "records of fixed length, many in a frame", Packages: onList,
		},
		{
			Role: "engine", What: "warm ones without a send while the region is gone", Terms: []Term{Played(less, "lost and told: idle")},
			Mechanism: "near sets dealt out anew", Packages: onRations,
		},
		{
			Role: "engine", What: "the most sends over the mean while the region is gone", Terms: []Term{Played(less, "lost and told: most over mean")},
			Mechanism: "near sets dealt out anew", Packages: onRations,
		},
		{
			Role: "operator", What: "share of worth served, load 0.6 of the whole fleet", Unit: inShare, Terms: []Term{Played(region, "served")},
			Mechanism: "refusals at once of what would be over too late", Packages: []string{"dispatch"},
		},
		{
			Role: "operator", What: "share of worth served, load 0.4 of the whole fleet", Unit: inShare, Terms: []Term{Played(less, "served")},
			Mechanism: "zones that give no answer rest, cold ones get rations", Packages: []string{"internal/decide/backoff", "internal/decide/slowstart"},
		},
	}}, {"regions apart", []Row{
		{
			Role: "router", What: "revisions behind after an hour in the region without a majority", Terms: []Term{Given(ChangesADay/24.0, "1,500 a day over 24")},
			Mechanism: "the last good revision stays in force", Packages: onConfig,
		},
		{
			Role: "control machine", What: "changes taken in the region without a majority", Terms: []Term{Given(0, "none: no majority, no revision")},
			Mechanism: "a majority for each revision", Packages: byKeepers,
		},
		{
			Role: "control machine", What: "bytes to 300 followers as the regions join, an entry for each revision", Unit: inBytes, Terms: []Term{Line("whole-configuration-bytes-by-entries", ChangesADay/24.0).By(regionRouters)},
			Mechanism: "a delta or a snapshot, by cost", Packages: byKeepers,
		},
		{
			Role: "operator", What: "in force at the last router of the region with the majority", Unit: inSeconds, Budget: InForceSeconds, Terms: inForce("changes in the region with the majority, the other one cut off"),
			Mechanism: "a majority for each revision", Packages: byKeepers,
		},
		{
			Role: "operator", What: "regions joined: the last revision in force at the last router of the other", Unit: inSeconds, Budget: InForceSeconds, Terms: inForce("the region that was cut off, from the joining on"),
			Mechanism: "back-off with jitter, a delta or a snapshot", Packages: onConfig,
		},
		{
			Role: "operator", What: "share of worth served while apart and after, 8 s apart", Unit: inShare, Terms: []Term{Played(apart, "served")},
			Mechanism: "zones that give no answer rest", Packages: onRests,
		},
		{
			Role: "engine", What: "without a send while apart", Terms: []Term{Played(apart, "apart: idle")},
			Mechanism: "all of the other zones are looked at while zones rest", Packages: onRests,
		},
	}}}
}
