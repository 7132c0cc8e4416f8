package dispatch

import "time"

// fleetScenario is a time on a fleet, with faults from faultAt on for faultFor. Zone z0 is the first one.
type fleetScenario struct {
	seed             uint64
	routers, engines int
	zones            int
	cores            int // of an engine
	duration         time.Duration

	offeredLoad       float64 // offered, as a share of the capacity of all engines
	slowShare         float64 // share of the engines that take three times as long
	impatientShare    float64 // share of clients that cancel early, from faultAt on
	burstFactor       float64 // traffic during the fault over the usual; 0 for no burst
	heavyRouterFactor float64 // traffic of the first router over the mean; 0 for a random one

	faultAt, faultDuration time.Duration
	infrastructureFaults

	replacedShare  float64 // share of the engines that are replaced during the fault
	restartedShare float64 // share of the routers that restart at faultAt
	// connectInterval has connections to warming engines come up once in that time, with all attempts that wait for
	// them. Attempts that have to start sooner end without having run.
	connectInterval time.Duration
}

// wideFaults are faults of zones and racks, and of machines one by one.
type infrastructureFaults struct {
	// zoneLost has zone z0 lost at faultAt, silent, and back after faultFor with warming engines.
	zoneLost bool
	// partitioned has zone z0 cut off from the others during the fault: its routers reach its engines only.
	partitioned bool
	// lostZones is how many zones are lost or cut off, with their routers, and named in one list. With 0, z0 loses its
	// engines only, each named in a list of its own.
	lostZones int
	// listDelay is how long after the fault endpoint lists name what is lost; 0 for never.
	listDelay time.Duration
	// rackSize is how many engines of z0, with half as many of its routers, are lost at faultAt. With rackDrained only
	// the engines are, after lists have named them as draining for three seconds.
	rackSize    int
	rackDrained bool
	// rollingRestarts and rollingReplacements are how many routers restart and engines are replaced one by one during
	// the fault.
	rollingRestarts, rollingReplacements int
}

// isLost reports whether a zone is among those that a scenario loses or cuts off.
func (s *fleetScenario) isLost(zone int) bool { return zone < max(1, s.lostZones) }

// maxWarmingWork is what an engine at a share of its capacity can take in a window, in core seconds.
func (s *fleetScenario) maxWarmingWork(share float64) float64 {
	return fleetOverloadFactor * share * float64(s.cores) * fleetUtilization * fleetDiskWorkFactor *
		fleetOverloadWindow.Seconds()
}

const (
	fleetTick           = 5 * ms
	fleetQueriesPerCore = 4    // queries a core at most
	fleetThreadsPerCore = 2.0  // threads a core beyond which an engine does less
	fleetUtilization    = 0.85 // of the cores at an engine's capacity
	fleetDiskWorkFactor = 1.5  // a query's work over the part that needs a core: the remainder waits for disks

	fleetWarmUpInitialShare = 0.36
	fleetWarmUpDuration     = 12 * time.Second
	fleetOverloadWindow     = 1500 * ms
	fleetOverloadFactor     = 2
)

// fleetClass is the traffic of one class.
type fleetClass struct {
	share float64 // of all requests
	work  float64 // mean, in core seconds
	sigma float64 // of the logarithm of the work
}

var fleetClasses = []fleetClass{{0.78, 0.085, 0.8}, {0.16, 0.9, 1.0}, {0.06, 0.9, 0.6}}

// meanFleetWork is the mean work of a query.
func meanFleetWork() (sum float64) {
	for _, class := range fleetClasses {
		sum += class.share * class.work
	}
	return sum
}

// fleetConfig returns the settings of one router.
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
