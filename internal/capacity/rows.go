package capacity

// The size to design for, within two years.
const (
	Routers             = 600
	Engines             = 1200
	Zones               = 6
	Regions             = 2
	ControlMachines     = 5
	Sessions            = 2000 // of a router: 1.2 million connections over 600
	StatementsPerSecond = 450  // of a router: 270,000 over 600
	Tenants             = 1000
	ChangesPerDay       = 1500 // of configuration
	FailuresPerDay      = 3    // machines on an ordinary day
	RestartsPerDay      = 430  // machines on an ordinary day, restarted or replaced
)

// The budgets.
const (
	RouterPercent        = 2.1  // of a core, for control
	RouterMB             = 128  // for control
	RouterBytesPerSecond = 2000 // for control
	PrimarySeconds       = 9    // for a change of primary
	InForceSeconds       = 7    // for a change of configuration
)

const (
	secondsPerDay         = 86400.0
	hoursPerDay           = 24.0
	secondsPerMillisecond = 0.001
	percentPerMillisecond = 0.1 // of a core, in one second
	changesPerSecond      = ChangesPerDay / secondsPerDay
	burstChangesPerSecond = 20.0 // of configuration
	maxReloadsPerSecond   = 2.0  // of a follower, which waits 500 ms between calls that bring changes

	totalMachines          = Routers + Engines
	replacedEnginesPerDay  = RestartsPerDay * Engines / totalMachines
	restartedRoutersPerDay = RestartsPerDay - replacedEnginesPerDay
	zoneEngines            = Engines / Zones
	zoneRouters            = Routers / Zones
	regionEngines          = Engines / Regions
	regionRouters          = Routers / Regions
	racks                  = 50
	rackEngines            = Engines / racks
	rackRouters            = Routers / racks

	// eventsPerReplacement are the list changes for an engine that is replaced: draining, removed, another added.
	eventsPerReplacement = 3
	// eventsPerFailure are the list changes for an engine that fails: removed, added.
	eventsPerFailure = 2
	// eventsPerSecond are the list changes on an ordinary day.
	eventsPerSecond = (replacedEnginesPerDay*eventsPerReplacement + FailuresPerDay*eventsPerFailure) / secondsPerDay
)

// Units of figures.
const (
	unitMB             = "MB"
	unitBytes          = "bytes"
	unitBytesPerSecond = "bytes a second"
	unitPercent        = "% of a core"
	unitSeconds        = "s"
	unitShare          = "of 1"
	unitMillis         = "ms"
)

// Names of the simulated days in docs/capacity/scale.json.
const (
	dayCalm               = "calm"
	dayConfiguration      = "configuration by revision"
	dayMachinesRestarted  = "machines restarted and replaced in a row"
	dayRackDrained        = "rack drained"
	dayRackLost           = "rack lost"
	dayRegionLost         = "region lost, back cold"
	dayRegionLostLessLoad = "region lost, back cold, a third less load"
	dayRegionsApart       = "regions apart, joined"
	dayRoutersRestarted   = "gateways restarted in a row"
	daySubsets            = "near sets"
	dayZoneLost           = "zone lost, back cold"
)

// Packages that carry a demand.
var (
	backoffPackages       = []string{"internal/decide/backoff", "dispatch"}
	configurationPackages = []string{"internal/decide/configlog", "internal/configclient"}
	discoveryPackages     = []string{"internal/discovery", "dispatch"}
	keeperPackages        = []string{"internal/decide/configlog", "internal/keeper"}
	sessionPackages       = []string{"internal/mysql", "internal/netio"}
	slowStartPackages     = []string{"internal/decide/slowstart", "dispatch"}
)

// Scenarios returns the tables of docs/CAPACITY.md.
func Scenarios() []Scenario {
	return []Scenario{
		{"state", stateRows},
		{"quiet hour", quietHourRows},
		{"ordinary day", ordinaryDayRows},
		{"burst of changes", configurationBurstRows},
		{"change of primary", primaryChangeRows},
		{"rack", rackRows},
		{"zone", zoneRows},
		{"subsets", subsetRows},
		{"region", regionRows},
		{"region partition", regionPartitionRows},
	}
}
