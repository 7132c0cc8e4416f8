package dispatch

import "time"

// fleetScenario describes a simulated fleet and its faults, which begin at faultAt and last for faultDuration. Zones
// are numbered from z0.
type fleetScenario struct {
	seed             uint64
	routers, engines int
	zones            int
	cores            int // per engine
	duration         time.Duration

	offeredLoad       float64 // offered work as a share of the capacity of all engines
	slowShare         float64 // share of the engines that run at a third of their speed
	impatientShare    float64 // share of the requests from faultAt on that have less than 30% of the class deadline
	burstFactor       float64 // traffic during the fault relative to the usual traffic; 0 for no burst
	heavyRouterFactor float64 // traffic of the first router relative to the mean; 0 for a random factor

	faultAt, faultDuration time.Duration
	infrastructureFaults

	replacedShare  float64 // share of the engines that are replaced during the fault
	restartedShare float64 // share of the routers that restart at faultAt
	// connectInterval is the interval at which connections to warming engines are established. All attempts that wait
	// for a connection start together then. Attempts that would have to start earlier end without having run. With 0,
	// attempts do not wait for connections.
	connectInterval time.Duration
}

// infrastructureFaults describes faults of zones and racks, and rolling changes of machines.
type infrastructureFaults struct {
	// zoneLost makes the lost zones unreachable at faultAt. After faultDuration they return with warming engines.
	zoneLost bool
	// partitioned separates the lost zones from the others during the fault: routers reach only the engines on their
	// own side.
	partitioned bool
	// lostZones is the number of zones, from z0 on, that are lost or separated. Lost zones lose their routers too, and
	// one endpoint list names all their engines. With 0, a lost zone z0 loses only its engines, and each engine is
	// named in an endpoint list of its own.
	lostZones int
	// listDelay is the time from the fault until endpoint lists name the lost engines as removed; 0 for never.
	listDelay time.Duration
	// rackSize is the number of engines of z0 that are lost at faultAt, together with half as many routers of z0. With
	// rackDrained only the engines are lost, after endpoint lists have named them as draining for three seconds.
	rackSize    int
	rackDrained bool
	// rollingRestarts is the number of routers that restart one by one during the fault, rollingReplacements the number
	// of engines that are replaced one by one.
	rollingRestarts, rollingReplacements int
}

// isLost reports whether a zone is one of those that the scenario loses or separates.
func (s *fleetScenario) isLost(zone int) bool { return zone < max(1, s.lostZones) }

// maxWarmingWork returns the work in core seconds that an engine with the given share of its capacity can handle in one
// overload window.
func (s *fleetScenario) maxWarmingWork(share float64) float64 {
	return fleetOverloadFactor * share * float64(s.cores) * fleetUtilization * fleetDiskWorkFactor *
		fleetOverloadWindow.Seconds()
}

const (
	fleetTick           = 5 * ms
	fleetQueriesPerCore = 4    // maximum number of queries per core; beyond it an engine is full
	fleetThreadsPerCore = 2.0  // threads per core above which the throughput of an engine falls
	fleetUtilization    = 0.85 // utilization of the cores at the capacity of an engine
	fleetDiskWorkFactor = 1.5  // total work of a query relative to its work on a core; the remainder waits for disks

	fleetWarmUpInitialShare = 0.36
	fleetWarmUpDuration     = 12 * time.Second
	fleetOverloadWindow     = 1500 * ms
	fleetOverloadFactor     = 2
)

// fleetClass describes the traffic of one class. Its work is log-normally distributed.
type fleetClass struct {
	share float64 // share of all requests
	work  float64 // mean work in core seconds
	sigma float64 // standard deviation of the logarithm of the work
}

var fleetClasses = []fleetClass{{0.78, 0.085, 0.8}, {0.16, 0.9, 1.0}, {0.06, 0.9, 0.6}}

// meanFleetWork returns the mean work of a query in core seconds.
func meanFleetWork() (sum float64) {
	for _, class := range fleetClasses {
		sum += class.share * class.work
	}
	return sum
}

// fleetConfig returns the configuration of the router with the given index.
func fleetConfig(scenario fleetScenario, index int) Config {
	return Config{
		Seed:            scenario.seed*1000 + uint64(index),
		RouterIndex:     index,
		Routers:         scenario.routers,
		Tick:            1 * ms,
		MaxAttempts:     5,
		RetryAfter:      RetryAfter{Allowed: true, Max: 2 * time.Second},
		HedgingAllowed:  true,
		MaxQueued:       50,
		OverQuotaWeight: 0.1,
		Kinds:           []EngineKind{{Name: "k", Cores: float64(scenario.cores), MemoryMB: 1 << 16}},
		Features:        EngineFeatures{Priorities: true, MaxGrantShare: 0.4},
		WarmUp: WarmUp{
			InitialShare: fleetWarmUpInitialShare, Duration: fleetWarmUpDuration,
			OverloadFactor: fleetOverloadFactor, OverloadWindow: fleetOverloadWindow,
		},
		Classes: []Class{
			{
				Name: "lookup", LatencyObjective: 400 * ms, ObjectiveStretch: 2, Deadline: 1960 * ms,
				PriorityWeight: 1, Threads: 1, BlockedByLoad: true,
			},
			{
				Name: "report", LatencyObjective: 590 * ms, ObjectiveStretch: 2.5, Deadline: 7800 * ms,
				PriorityWeight: 10, LateWeightShare: 0.4, Threads: 4, BlockedByLoad: true,
			},
			{
				Name: "load", LatencyObjective: 1180 * ms, ObjectiveStretch: 3, Deadline: 9800 * ms,
				PriorityWeight: 7.5, LateWeightShare: 0.5, Threads: 2, LocksTableGroup: true, Semantics: AtMostOnce,
			},
		},
	}
}
