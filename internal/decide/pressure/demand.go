package pressure

import "math"

const (
	// demandLife is the time over which demand is averaged, in milliseconds: a router sees a load of one group
	// once in seconds.
	demandTimeConstant = 30_000.0
	// minObservation is how long demand is observed before it counts, in milliseconds.
	minObservation = 5000.0
	// maxLockUtilization is the share of the time for which loads may lock a group on the engines that load it, and
	// maxCoreUtilization the share of their cores that its readers may use on theirs: beyond, queries wait long.
	maxLockUtilization, maxCoreUtilization = 0.6, 0.6
	// usualLoaderShare is the share of the engines that load a group where its demand does not need more.
	defaultLoaderShare = 0.5
	// maxDemandGroups bounds the groups whose demand is kept: statements may name any number.
	maxDemandGroups = 1024
	// maxQueryMS bounds what one query counts: one wild estimate would outweigh all others for minutes.
	maxQueryMS = 600_000.0
	// minGroupDemandMS is the demand below which a group is forgotten.
	minGroupDemandMS = 1
)

// groupDemand is the recent demand of one group in milliseconds, decayed to the time of its Demand.
type groupDemand struct {
	lockTime float64 // for which loads lock the group
	readWork float64 // of queries that loads block, on one core
}

// Demand keeps the demand that reaches one router by table group, and divides the engines of a group into those that
// load it and those that read it. All routers see about the same mix, so that their divisions agree within an engine.
type Demand struct {
	startedAt float64
	decayedTo float64
	started   bool
	groups    map[int64]groupDemand
}

// Add counts a query of a group: the time for which it would lock the group, or the work on one core of a query that
// loads block, both in milliseconds.
func (d *Demand) Add(group int64, lockTime, readWork, now float64) {
	if group == 0 || !(lockTime >= 0) || !(readWork >= 0) {
		return
	}
	lockTime, readWork = min(lockTime, maxQueryMS), min(readWork, maxQueryMS)
	if !d.started {
		*d = Demand{startedAt: now, decayedTo: now, started: true, groups: map[int64]groupDemand{}}
	}
	if !d.hasRoomFor(group, now) {
		return
	}
	sum, scale := d.groups[group], math.Exp((now-d.decayedTo)/demandTimeConstant) // later demand has decayed less
	if now-d.decayedTo > demandTimeConstant {
		d.Decay(now)
		sum, scale = d.groups[group], 1
	}
	d.groups[group] = groupDemand{sum.lockTime + lockTime*scale, sum.readWork + readWork*scale}
}

// hasRoomFor tells whether demand of a group can be kept.
func (d *Demand) hasRoomFor(group int64, now float64) bool {
	if _, known := d.groups[group]; known || len(d.groups) < maxDemandGroups {
		return true
	}
	d.Decay(now)
	return len(d.groups) < maxDemandGroups
}

// Decay decays all demand to a time, and forgets groups with next to none.
func (d *Demand) Decay(now float64) {
	scale := math.Exp((d.decayedTo - now) / demandTimeConstant)
	for id, group := range d.groups {
		group.lockTime *= scale
		group.readWork *= scale
		if group.lockTime+group.readWork < minGroupDemandMS {
			delete(d.groups, id)
		} else {
			d.groups[id] = group
		}
	}
	d.decayedTo = now
}

// Fleet is what there is for a group.
type Fleet struct {
	Engines int     // of the fleet
	Subset  int     // those of them that this router uses
	Cores   float64 // of each engine
	Routers int     // that share the engines, with about the same traffic
}

// LoaderCount returns how many engines of the subset load a group; the others read it. It is half of them, rounded down
// but at least one, and more where the group's loads would wait for each other while its readers leave capacity. One
// engine is not divided. A subset of a larger fleet is always halved, since other routers share each of its engines
// with other subsets: a group's demand on the subset is not known.
func (d *Demand) LoaderCount(group int64, fleet Fleet, now float64) int {
	defaultCount := max(int(defaultLoaderShare*float64(fleet.Subset)), 1)
	sum, known := d.groups[group]
	observed := now - d.startedAt
	if !known || observed < minObservation || !(fleet.Cores > 0) || fleet.Subset < fleet.Engines {
		return defaultCount
	}
	// A constant rate that is observed for a time has decayed to rate*demandLife*(1-exp(-time/demandLife)).
	rate := math.Exp((d.decayedTo-now)/demandTimeConstant) * float64(max(fleet.Routers, 1)) /
		(demandTimeConstant * (1 - math.Exp((d.startedAt-now)/demandTimeConstant)))
	locked, busyCores := sum.lockTime*rate, sum.readWork*rate
	engines := float64(fleet.Engines)
	readers := max(int(math.Ceil(min(busyCores/(maxCoreUtilization*fleet.Cores), engines))), 1)
	loaders := int(math.Ceil(min(locked/maxLockUtilization, engines)))
	return max(min(loaders, fleet.Engines-readers), defaultCount)
}
