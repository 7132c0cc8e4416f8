package capacity

// The size of the fleet to design for, expected within two years.
const (
	Routers             = 600
	Engines             = 1200
	Zones               = 6
	Regions             = 2
	ControlMachines     = 5
	Sessions            = 2000 // per router: 1.2 million connections over 600 routers
	StatementsPerSecond = 450  // per router: 270,000 over 600 routers
	Tenants             = 1000
	ChangesPerDay       = 1500 // of the configuration
	FailuresPerDay      = 3    // machines that fail on an ordinary day
	RestartsPerDay      = 430  // machines restarted or replaced on an ordinary day
)

// The budgets: the largest allowed figures.
const (
	RouterPercent        = 2.1  // of a core, for control work, not for clients
	RouterMB             = 128  // for control work
	RouterBytesPerSecond = 2000 // for control work
	PrimarySeconds       = 9    // until a change of primary is complete
	InForceSeconds       = 7    // until a configuration change is in force at all routers
)

const (
	secondsPerDay         = 86400.0
	hoursPerDay           = 24.0
	secondsPerMillisecond = 0.001
	percentPerMillisecond = 0.1 // of a core, for one millisecond per second
	changesPerSecond      = ChangesPerDay / secondsPerDay
	burstChangesPerSecond = 20.0 // of the configuration
	maxReloadsPerSecond   = 2.0  // of a follower, which waits 500 ms between calls that return changes

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

	// eventsPerReplacement is the number of changes of the endpoint list for an engine that is replaced: it is draining,
	// it is removed, and another one is added.
	eventsPerReplacement = 3
	// eventsPerFailure is the number of changes of the endpoint list for an engine that fails: it is removed and added.
	eventsPerFailure = 2
	// eventsPerSecond is the mean rate of changes of the endpoint list on an ordinary day.
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

// Packages that implement the mechanisms of several rows.
var (
	backoffPackages       = []string{"internal/decide/backoff", "dispatch"}
	configurationPackages = []string{"internal/decide/configlog", "internal/configclient"}
	discoveryPackages     = []string{"internal/discovery", "dispatch"}
	keeperPackages        = []string{"internal/decide/configlog", "internal/keeper"}
	sessionPackages       = []string{"internal/mysql", "internal/netio"}
	slowStartPackages     = []string{"internal/decide/slowstart", "dispatch"}
)

// Scenarios returns the scenarios of docs/CAPACITY.md, each of which has a table there.
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
