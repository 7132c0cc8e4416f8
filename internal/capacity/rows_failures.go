package capacity

// removalCost returns the processor time of a router in a second in which engines are removed from the endpoint list,
// each by a separate change.
func removalCost(engines float64) []Term {
	return []Term{Line("router-cpu-by-list-changes", engines)}
}

// removalCostInFrame returns the processor time of a router in a second in which engines are removed from the endpoint
// list by one frame.
func removalCostInFrame(engines float64) []Term {
	return []Term{
		Line("router-cpu-by-engines", Engines),
		Line("router-frame-cost-by-engines-told", engines).Times(percentPerMillisecond),
	}
}

// primaryChangeRows are the rows for a change of the primary, the engine that runs the loads of a table group.
var primaryChangeRows = []Row{
	{
		Role: "router", Subject: "the last of 600 routers receives an engine's change, the slowest of 20",
		Unit: unitSeconds, Budget: PrimarySeconds,
		Terms:     []Term{Line("board-told-worst-ms-by-routers", Routers).Times(secondsPerMillisecond)},
		Mechanism: "one frame for all watchers", Packages: discoveryPackages,
	},
	{
		Role: "router", Subject: "engines drained: last load at the old primary", Unit: unitSeconds,
		Budget: PrimarySeconds, Terms: []Term{Simulated(dayRackDrained, "last load at the old, s")},
		Mechanism: "no attempts at draining engines; queued ones are cancelled", Packages: discoveryPackages,
	},
	{
		Role: "router", Subject: "engines drained: first load at the new primary", Unit: unitSeconds,
		Budget: PrimarySeconds, Terms: []Term{Simulated(dayRackDrained, "first load at the new, s")},
		Mechanism: "affinity of a table group ranked again", Packages: []string{"internal/decide/pressure", "dispatch"},
	},
	{
		Role: "router", Subject: "engines drained: first load at the new primary, at the last of 600 routers",
		Unit: unitSeconds, Budget: PrimarySeconds,
		Terms:     []Term{Simulated(dayRackDrained, "first load at the new at the last gateway, s")},
		Mechanism: "independent decisions from the same list",
		Packages:  []string{"internal/decide/pressure", "dispatch"},
	},
	{
		Role: "router", Subject: "engines that stopped responding: last load at the old primary", Unit: unitSeconds,
		Budget: PrimarySeconds, Terms: []Term{Simulated(dayRackLost, "last load at the old, s")},
		Mechanism: "backoff of engines that don't respond", Packages: backoffPackages,
	},
	{
		Role:    "router",
		Subject: "engines that stopped responding: first load at the new primary, at the last of 600 routers",
		Unit:    unitSeconds, Budget: PrimarySeconds,
		Terms:     []Term{Simulated(dayRackLost, "first load at the new at the last gateway, s")},
		Mechanism: "backoff of engines that don't respond", Packages: backoffPackages,
	},
	{
		Role: "discovery", Subject: "messages for an engine's draining, removal and replacement",
		Terms:     []Term{Given(eventsPerReplacement*Routers, "3 changes to 600 links")},
		Mechanism: "one frame for all watchers", Packages: []string{"internal/discovery"},
	},
}

// rackRows are the rows for the loss of a rack.
var rackRows = []Row{
	{
		Role: "router", Subject: "processor time for control in the second in which a rack's 24 engines are removed",
		Unit: unitPercent, Budget: RouterPercent, Terms: removalCost(rackEngines),
		Mechanism: "changes in place of lists", Packages: discoveryPackages,
	},
	{
		Role: "router", Subject: "clients that move from a rack's routers to each other router",
		Terms:     []Term{Given(rackRouters*Sessions/float64(Routers-rackRouters), "24,000 over 588")},
		Mechanism: "bounded accept rate, one poller", Packages: sessionPackages,
	},
	{
		Role: "engine", Subject: "up and without an attempt after it",
		Terms:     []Term{Simulated(dayRackLost, "without it: idle")},
		Mechanism: "subsets distributed evenly", Packages: slowStartPackages,
	},
	{
		Role: "operator", Subject: "share of value served, rack lost", Unit: unitShare,
		Terms:     []Term{Simulated(dayRackLost, "served")},
		Mechanism: "backoff of engines that don't respond", Packages: backoffPackages,
	},
	{
		Role: "operator", Subject: "share of value served, rack drained", Unit: unitShare,
		Terms:     []Term{Simulated(dayRackDrained, "served")},
		Mechanism: "draining", Packages: []string{"dispatch"},
	},
}

// subsetRows are the rows for the subsets of engines that routers use.
var subsetRows = []Row{
	{
		Role: "engine", Subject: "members of subsets that change when one engine is removed, of 22,200",
		Unit: unitShare, Terms: []Term{Simulated(daySubsets, "one engine less: share of places moved")},
		Mechanism: "assignment by position in the list: a known gap", Packages: slowStartPackages,
	},
	{
		Role: "engine", Subject: "in no subset once lists show that 17% are removed",
		Terms:     []Term{Simulated(daySubsets, "17% dead: idle")},
		Mechanism: "subsets distributed again", Packages: slowStartPackages,
	},
	{
		Role: "engine", Subject: "in no subset once lists show that 50% are removed",
		Terms:     []Term{Simulated(daySubsets, "50% dead: idle")},
		Mechanism: "subsets distributed again", Packages: slowStartPackages,
	},
	{
		Role: "engine", Subject: "in no subset once lists show that 70% are removed",
		Terms:     []Term{Simulated(daySubsets, "70% dead: idle")},
		Mechanism: "subsets distributed again", Packages: slowStartPackages,
	},
	{
		Role: "engine", Subject: "routers with the most used engine in their subset at 70% removed, over the mean",
		Terms:     []Term{Simulated(daySubsets, "70% dead: most over mean")},
		Mechanism: "subsets distributed again", Packages: slowStartPackages,
	},
}
