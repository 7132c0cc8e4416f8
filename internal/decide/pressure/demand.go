package pressure

import "math"

const (
	// demandTimeConstant is the time constant, in milliseconds, with which demand is averaged. It is long because one
	// router sees a load of one group only every few seconds.
	demandTimeConstant = 30_000.0
	// minObservation is how long, in milliseconds, demand is observed before it is used.
	minObservation = 5000.0
	// maxLockUtilization is the maximum share of the time for which loads may lock a group on its loading engines, and
	// maxCoreUtilization the maximum share of the cores that readers may use on the other engines. Above these shares
	// queries wait long.
	maxLockUtilization, maxCoreUtilization = 0.6, 0.6
	// defaultLoaderShare is the share of the engines that load a group unless its demand requires more.
	defaultLoaderShare = 0.5
	// maxDemandGroups limits the number of groups whose demand is kept, since statements may name any number of
	// groups.
	maxDemandGroups = 1024
	// maxQueryMS limits the demand counted for one query: one estimate that is far too high would otherwise outweigh
	// all others for minutes.
	maxQueryMS = 600_000.0
	// minGroupDemandMS is the demand below which a group is forgotten.
	minGroupDemandMS = 1
)

// groupDemand is the recent demand of one group in milliseconds, decayed to Demand.decayedTo.
type groupDemand struct {
	lockTime float64 // time for which loads lock the group
	readWork float64 // work on one core of queries that loads block
}

// Demand tracks by table group the demand that reaches one router, and divides the engines of a group into those that
// load it and those that read it. All routers see about the same mix of queries, so their divisions differ by at most
// about one engine.
type Demand struct {
	startedAt float64
	decayedTo float64
	started   bool
	groups    map[int64]groupDemand
}

// Add counts a query of a group: lockTime is the time for which it would lock the group; readWork is the work on one
// core if it is a query that loads block. Both are in milliseconds. Negative values, NaN and group 0 are ignored.
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

// hasRoomFor reports whether the demand of a group can be kept.
func (d *Demand) hasRoomFor(group int64, now float64) bool {
	if _, known := d.groups[group]; known || len(d.groups) < maxDemandGroups {
		return true
	}
	d.Decay(now)
	return len(d.groups) < maxDemandGroups
}

// Decay decays all demand to the time now and forgets groups with almost no demand.
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

// Fleet describes the engines that are available for a group and the routers that share them.
type Fleet struct {
	Engines int     // engines of the fleet
	Subset  int     // engines of the fleet that this router uses
	Cores   float64 // cores of each engine
	Routers int     // routers that share the engines, each with about the same traffic
}

// LoaderCount returns how many engines of the subset load a group; the others read it. The result is half of the
// subset, rounded down but at least one. It is higher when the group's loads would wait for each other and its readers
// do not need all of the remaining capacity. A single engine both loads and reads. A subset of a larger fleet is
// always halved: other routers share each of its engines in other subsets, so the demand of the group on this subset
// is not known.
func (d *Demand) LoaderCount(group int64, fleet Fleet, now float64) int {
	defaultCount := max(int(defaultLoaderShare*float64(fleet.Subset)), 1)
	sum, known := d.groups[group]
	observed := now - d.startedAt
	if !known || observed < minObservation || !(fleet.Cores > 0) || fleet.Subset < fleet.Engines {
		return defaultCount
	}
	// With a constant rate, the demand after an observed time is
	// rate*demandTimeConstant*(1-exp(-time/demandTimeConstant)).
	rate := math.Exp((d.decayedTo-now)/demandTimeConstant) * float64(max(fleet.Routers, 1)) /
		(demandTimeConstant * (1 - math.Exp((d.startedAt-now)/demandTimeConstant)))
	locked, busyCores := sum.lockTime*rate, sum.readWork*rate
	engines := float64(fleet.Engines)
	readers := max(int(math.Ceil(min(busyCores/(maxCoreUtilization*fleet.Cores), engines))), 1)
	loaders := int(math.Ceil(min(locked/maxLockUtilization, engines)))
	return max(min(loaders, fleet.Engines-readers), defaultCount)
}
