package pressure

import (
	"maps"
	"slices"
)

const (
	// reportLag is the maximum delay of a load report, in milliseconds: queries sent less than this time before the
	// report arrived may be missing from it.
	reportLag = 300.0
	// reportMaxAge is how long a load report is used, in milliseconds. spareReportMaxAge is how long it counts as
	// evidence of spare capacity; it is longer, since such a report is no reason to make queries wait.
	reportMaxAge, spareReportMaxAge = 1000.0, 2000.0
	// maxSpareUtilization is the share of cores, disks and memory in use below which an engine has spare capacity.
	maxSpareUtilization = 0.8
	// maxWaitingFactor limits what waiting queries add to the cost factor of an engine.
	maxWaitingFactor = 5.0
	// grantFactor is the ratio of the memory that an engine grants to the estimate, where the engine chooses the
	// grant.
	grantFactor = 1.25
	// maxObservedLocks limits the number of groups for which loads of other routers are remembered.
	maxObservedLocks = 256
	// pagingMemoryShare is the share of granted memory up to which an engine that pages is sent queries. Grants follow
	// estimates, of which queries use only a part: even if the grants add up to one fifth more than the memory, the
	// memory in use does not exceed it.
	pagingMemoryShare = 1.2
)

// Engine is the view that one router has of one engine. The zero Engine has no running queries and no load report.
type Engine struct {
	loads         map[int64]int     // running loads of this router, by group
	observedLocks map[int64]float64 // when loads of other routers are expected to release a group
	report        LoadReport        // the latest report
	reportedAt    float64
	reported      bool
	unreported    []sentGrant
}

// sentGrant is the memory grant of a query that may be missing from the latest report.
type sentGrant struct{ at, mb float64 }

// AttemptStarted counts a query that this router sends to the engine.
func (e *Engine) AttemptStarted(query Query, limits Limits, now float64) {
	if query.LocksTableGroup && query.TableGroup != 0 {
		if e.loads == nil {
			e.loads = map[int64]int{}
		}
		e.loads[query.TableGroup]++
	}
	if mb := limits.memoryGrant(query); mb > 0 {
		e.unreported = append(e.unreported, sentGrant{now, mb})
	}
	// Grants for which this is false are included in every report that is still in use.
	mayBeUnreported := func(s sentGrant) bool { return now-s.at <= reportMaxAge+reportLag }
	if i := slices.IndexFunc(e.unreported, mayBeUnreported); i > 0 {
		e.unreported = slices.Delete(e.unreported, 0, i)
	}
}

// AttemptEnded removes a query that has ended on the engine, or for which this router no longer waits.
func (e *Engine) AttemptEnded(query Query) {
	if !query.LocksTableGroup || e.loads[query.TableGroup] == 0 {
		return
	}
	e.loads[query.TableGroup]--
	if e.loads[query.TableGroup] == 0 {
		delete(e.loads, query.TableGroup)
	}
}

// LockObserved records that a load of another router blocks queries of a group, and when that load is expected to end.
func (e *Engine) LockObserved(group int64, now, until float64) {
	if group == 0 || !(until > now) {
		return
	}
	if len(e.observedLocks) >= maxObservedLocks {
		maps.DeleteFunc(e.observedLocks, func(_ int64, end float64) bool { return end <= now })
		if len(e.observedLocks) >= maxObservedLocks {
			return
		}
	}
	if e.observedLocks == nil {
		e.observedLocks = map[int64]float64{}
	}
	e.observedLocks[group] = until
}

// LoadReported stores the engine's load report and removes the grants that it includes.
func (e *Engine) LoadReported(report LoadReport, now float64) {
	e.report, e.reportedAt, e.reported = report.sanitized(), now, true
	e.unreported = slices.DeleteFunc(e.unreported, func(s sentGrant) bool { return s.at < now-reportLag })
}

// Headroom returns what an additional query would find on the engine.
func (e *Engine) Headroom(query Query, limits Limits, now float64) (headroom Headroom) {
	if query.TableGroup != 0 && (query.LocksTableGroup || query.BlockedByLoad) {
		headroom.BlockedByLock = e.loads[query.TableGroup] > 0 || e.observedLocks[query.TableGroup] > now
	}
	if limits.MemoryMB > 0 && e.reported && now-e.reportedAt < reportMaxAge && e.report.Memory >= 0 {
		mb := limits.memoryGrant(query)
		for _, sent := range e.unreported {
			mb += sent.mb
		}
		headroom.MemoryShare = e.report.Memory + mb/limits.MemoryMB
	}
	return headroom
}

// HasSpareCapacity reports whether the engine's latest load report shows spare capacity of all kinds. cores is the
// number of cores of the engine.
func (e *Engine) HasSpareCapacity(cores, now float64) bool {
	report := &e.report
	return e.reported && now-e.reportedAt < spareReportMaxAge && (report.Busy >= 0 || report.InFlight >= 0) &&
		report.Waiting < 1 &&
		max(report.Busy, report.Disk, report.Memory, report.InFlight/cores) < maxSpareUtilization
}

// CostFactor returns by what factor this engine is a worse choice than an idle one, according to its load report; 1
// without a recent report. cores is the number of cores of the engine.
func (e *Engine) CostFactor(cores, now float64) float64 {
	report := &e.report
	if !e.reported || now-e.reportedAt >= reportMaxAge {
		return 1
	}
	factor := 1 + max(report.Busy, 0) + max(report.Disk, 0) + max(report.Memory, 0) +
		min(max(report.Waiting, 0), maxWaitingFactor)
	if report.InFlight >= 0 {
		factor *= 1 + report.InFlight/cores
	}
	return factor
}
