package dispatch

import (
	"cmp"
	"slices"
	"time"

	"windflow/internal/decide/pressure"
	"windflow/internal/decide/subset"
)

const (
	// minSubset is how many engines a router uses at least, to lose some of them; minLargeFleetSubset in a large fleet.
	minSubset, minLargeFleetSubset = 8, 3
	// minAffinitySubset is from how many engines on a subset is divided into those that load a table group and those
	// that read it; in a large fleet from minLargeFleetAffinity on.
	minAffinitySubset, minLargeFleetAffinity = 3, 5
	// affinityLife is how long that division is used at least: demand shifts slowly.
	affinityLifetime = 5 * time.Second
	// maxAffinities bounds the table groups whose engines are remembered: statements may name any number.
	maxAffinities = 1024
)

// affinityKey names the engines that read a table group, or those that load it.
type affinityKey struct {
	tableGroup int64
	load       bool
}

// subsetChooser tells which engines this router uses: all of a small fleet, else a subset, and of these some for each
// table group.
type subsetChooser struct {
	env             *environment
	endpoints       *endpointTable
	classes         *classSet
	capacity        *capacityLimiter
	subset          []*engine
	size            int // of the subset; 0 has it chosen again
	demand          pressure.Demand
	affinities      map[affinityKey][]*engine
	affinitiesSince time.Duration
}

func newSubsetChooser(
	env *environment, endpoints *endpointTable, classes *classSet, capacity *capacityLimiter,
) subsetChooser {
	return subsetChooser{
		env: env, endpoints: endpoints, classes: classes, capacity: capacity,
		affinities: map[affinityKey][]*engine{},
	}
}

// endpointsChanged makes the next call choose the subset and its division again.
func (s *subsetChooser) endpointsChanged() {
	s.size = 0
	clear(s.affinities)
}

// recordDemand counts a request's demand on its table group.
func (s *subsetChooser) recordDemand(req *request) {
	lockTime, readWork := 0.0, 0.0
	if req.class.LocksTableGroup {
		lockTime = req.threadTimeMS()
	}
	if req.class.BlockedByLoad {
		readWork = req.threadTimeMS() * float64(req.class.Threads)
	}
	s.demand.Add(req.tableGroup, lockTime, readWork, s.env.nowMS())
}

// engines returns the subset: all engines of a small fleet, else as many as the threads that this router may run, and
// in a large one as many as it may run of the widest queries. Subsets are distributed evenly by the routers' numbers:
// the fewer routers share an engine, the more of its queries each of them knows.
func (s *subsetChooser) engines() []*engine {
	listed := s.endpoints.listedEngines()
	cores, _ := s.endpoints.total()
	share := s.env.fleetShare()
	size := max(int(threadsPerCore*share*cores), minSubset)
	if s.capacity.largeFleet() {
		widest := float64(s.classes.widestThreads)
		size = max(int(largeFleetThreadsPerCore*share*cores/widest)+1, minLargeFleetSubset)
	}
	size = min(size, len(listed))
	if size != s.size {
		s.subset, s.size = s.subset[:0], size
		for _, i := range subset.Choose(s.env.config.RouterIndex, s.env.config.Routers, len(listed), size) {
			s.subset = append(s.subset, listed[i])
		}
	}
	return s.subset
}

// spread is by how much this router's share of an engine grows since it uses few of them.
func (s *subsetChooser) shareFactor() float64 {
	return float64(len(s.endpoints.listedEngines())) / float64(max(len(s.subset), 1))
}

// forRequest returns the engines of the subset that a request's table group is read from or, for a load, loaded on:
// readers take one end of the group's order of engines, loads the other. A subset of few is not divided: halves of
// three or four engines would be congested.
func (s *subsetChooser) enginesFor(req *request) []*engine {
	subset := s.engines()
	tooFew := len(subset) < minAffinitySubset || s.capacity.largeFleet() && len(subset) < minLargeFleetAffinity
	if req.tableGroup == 0 || tooFew {
		return subset
	}
	if s.env.now-s.affinitiesSince > affinityLifetime {
		clear(s.affinities)
		s.affinitiesSince = s.env.now
	}
	key := affinityKey{req.tableGroup, req.class.LocksTableGroup}
	if s.affinities[key] == nil {
		if len(s.affinities) >= maxAffinities {
			clear(s.affinities)
		}
		s.affinities[key] = s.affinityEngines(subset, key)
	}
	return s.affinities[key]
}

// divide returns the engines of a subset that belong to one side of a table group.
func (s *subsetChooser) affinityEngines(subset []*engine, key affinityKey) []*engine {
	ranked := slices.Clone(subset)
	slices.SortFunc(ranked, func(a, b *engine) int {
		return cmp.Compare(rank(key.tableGroup, a.ID), rank(key.tableGroup, b.ID))
	})
	loaders := s.demand.LoaderCount(key.tableGroup, pressure.Fleet{
		Engines: len(s.endpoints.listedEngines()),
		Subset:  len(subset),
		Cores:   s.endpoints.averageCores(),
		Routers: s.env.config.Routers,
	}, s.env.nowMS())
	if key.load {
		slices.Reverse(ranked)
		return ranked[:loaders]
	}
	return ranked[:len(subset)-loaders]
}
