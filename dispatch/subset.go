package dispatch

import (
	"cmp"
	"slices"
	"time"

	"windflow/internal/decide/pressure"
	"windflow/internal/decide/subset"
)

const (
	// minSubset is the minimum number of engines that a router uses, so that it can lose some of them. In a large fleet
	// it is minLargeFleetSubset.
	minSubset, minLargeFleetSubset = 8, 3
	// minAffinitySubset is the size from which a subset is divided into engines that load a table group and engines
	// that read it. In a large fleet it is minLargeFleetAffinity.
	minAffinitySubset, minLargeFleetAffinity = 3, 5
	// affinityLifetime is the minimum time for which that division is used, as demand changes slowly.
	affinityLifetime = 5 * time.Second
	// maxAffinities is the maximum number of table groups whose engines are cached, because statements may name any
	// number of groups.
	maxAffinities = 1024
)

// affinityKey identifies the engines that read a table group, or those that load it.
type affinityKey struct {
	tableGroup int64
	load       bool
}

// subsetChooser determines which engines this router uses: all engines of a small fleet, otherwise a subset, and for
// each table group a part of that.
type subsetChooser struct {
	env             *environment
	endpoints       *endpointTable
	classes         *classSet
	capacity        *capacityLimiter
	subset          []*engine
	size            int // of the subset; 0 means that it is chosen again
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

// endpointsChanged makes the next use choose the subset and its division again.
func (s *subsetChooser) endpointsChanged() {
	s.size = 0
	clear(s.affinities)
}

// recordDemand records a request's demand on its table group.
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

// engines returns the subset: all engines of a small fleet, otherwise one engine for each thread that this router may
// run or, in a large fleet, for each query of the widest class that it may run. Subsets are distributed evenly by the
// router index. The fewer routers share an engine, the more of the engine's queries each of them knows.
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

// shareFactor returns the factor by which this router's share of an engine grows because the router uses only a
// subset.
func (s *subsetChooser) shareFactor() float64 {
	return float64(len(s.endpoints.listedEngines())) / float64(max(len(s.subset), 1))
}

// enginesFor returns the engines of the subset that a request's table group is read from or, for a load, loaded on.
// Readers use the first engines in the group's order and loads the last ones. A small subset is not divided, because
// halves of three or four engines would be congested.
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

// affinityEngines returns the engines of a subset that read or load a table group.
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
